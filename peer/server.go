// SPDX-License-Identifier: MIT

package peer

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/wire"
)

// Handler handles what other nodes send.
type Handler interface {
	// Request handles a request. It is called from the connection's reader and must not
	// block.
	Request(s *Stream)
	// Canceled reports that the entry no longer needs the answer; lost says that its
	// connection is gone, so that no answer reaches it. It must not block.
	Canceled(s *Stream, lost bool)
	// Withdrawn reports that the request need not be begun any more. It must not block.
	Withdrawn(s *Stream)
	// Ask answers a query on a control topic. It runs in a goroutine of its own.
	Ask(from Identity, topic wire.Topic, payload []byte) ([]byte, error)
}

// Server accepts connections from other nodes. Set the exported fields before Serve.
type Server struct {
	Self     Identity
	Counters *Counters
	Handler  Handler
	// HandshakeLimit bounds the time that a peer may take for the handshake.
	HandshakeLimit time.Duration
	// MaxConns bounds the number of open connections.
	MaxConns int
	// IdleLimit is how long an idle connection is kept, if Check is called; 0 means no
	// limit.
	IdleLimit time.Duration
	// OnPeer is called, in a goroutine of its own, with each node that opened a
	// connection. It may be nil.
	OnPeer func(node Identity)
	// OnStalled is called, in a goroutine of its own, when a node reports that one of its
	// connections has stalled and requests had not arrived on it. It may be nil.
	OnStalled func()

	sent   sentAnswers
	opened atomic.Uint64

	mu     sync.Mutex
	conns  map[*acceptedConn]struct{}
	closed bool
	// lastSweep is when idle connections were last looked for.
	lastSweep time.Time
	wait      sync.WaitGroup

	// lastHeadroom is what was last sent to entries about the headroom of this node's
	// server; nil until something was sent.
	lastHeadroom atomic.Pointer[sentHeadroom]
}

// sentHeadroom is a wire.Headroom and when it was sent.
type sentHeadroom struct {
	headroom wire.Headroom
	sentAt   time.Time
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		nc, err := listener.Accept()
		if err != nil {
			return err
		}
		s.wait.Go(func() { s.serveConn(nc) })
	}
}

// How long the peer may take to read what is still being sent when a connection ends. A
// peer that takes longer is paused, or its connection is stalled.
const (
	// closeTimeout applies when the server is closed, which a planned stop waits for.
	closeTimeout = 200 * time.Millisecond
	// fencedCloseTimeout applies to a connection that another one has replaced.
	fencedCloseTimeout = 2 * time.Second
)

// Close ends all connections and waits for their readers. Nothing that was sent is lost if
// the peer reads it within closeTimeout.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for a := range s.conns {
		a.closeGracefully()
	}
	s.mu.Unlock()
	s.wait.Wait()
}

// closeGracefully ends the connection and takes no more requests from it.
func (a *acceptedConn) closeGracefully() {
	if !a.ready.Load() {
		a.nc.Close()
		return
	}
	a.mu.Lock()
	a.fenced = true
	a.mu.Unlock()
	a.closeAfterFlush(closeTimeout)
}

// closeAfterFlush closes the sending side once everything is written. The reader continues
// until the peer has closed its own side, for up to a limit: a connection that is closed
// with unread bytes is reset, and the end of an answer that is not delivered yet would be
// lost with it.
func (a *acceptedConn) closeAfterFlush(limit time.Duration) {
	a.w.close(ErrClosed)
	time.AfterFunc(limit, func() { a.nc.Close() })
	go func() {
		<-a.w.done
		half, ok := a.nc.(interface{ CloseWrite() error })
		if !ok || half.CloseWrite() != nil {
			a.nc.Close()
		}
	}()
}

func (s *Server) add(a *acceptedConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.MaxConns {
		return false
	}
	if s.conns == nil {
		s.conns = map[*acceptedConn]struct{}{}
	}
	s.conns[a] = struct{}{}
	return true
}

func (s *Server) remove(a *acceptedConn) {
	s.mu.Lock()
	delete(s.conns, a)
	s.mu.Unlock()
}

// idleChecks is how many checks in a row, over Server.IdleLimit, must find a connection
// idle: after a pause of this node that was longer, a single check finds it idle although
// frames wait unread.
const idleChecks = 8

// Check closes idle connections: the close of a connection that its dialer gave up may
// never have arrived.
func (s *Server) Check(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.IdleLimit == 0 || now.Sub(s.lastSweep) < s.IdleLimit/idleChecks {
		return
	}
	s.lastSweep = now
	for a := range s.conns {
		if a.ready.Load() && a.countIdleCheck() > idleChecks {
			a.nc.Close()
		}
	}
}

// countIdleCheck returns how many checks in a row, including this one, found the
// connection idle. It is called by one goroutine at a time.
func (a *acceptedConn) countIdleCheck() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.idle++
	if a.used.Swap(false) || len(a.streams) > 0 {
		a.idle = 0
	}
	return a.idle
}

func (s *Server) serveConn(nc net.Conn) {
	defer nc.Close()
	a := &acceptedConn{server: s, nc: nc, w: newWriter(nc, s.Counters), streams: map[uint64]*Stream{}}
	if !s.add(a) {
		return
	}
	defer s.remove(a)
	reader := wire.NewReader(bufio.NewReaderSize(nc, readBuffer))
	result, err := acceptHandshake(nc, reader, s.Self, s.HandshakeLimit)
	if err != nil {
		if eris.Is(err, ErrWrongKey) {
			s.Counters.WrongKeys.Add(1)
		}
		return
	}
	a.peer, a.id, a.opened = result.peer, result.id, s.opened.Add(1)
	if s.OnPeer != nil {
		go s.OnPeer(a.peer)
	}
	a.age.start(result.sentAt, time.Now())
	a.ready.Store(true)
	s.Counters.Accepted.Add(1)
	defer s.Counters.Accepted.Add(-1)
	go a.w.run()
	err = a.readAll(reader)
	a.w.close(err)
	a.abortStreams(err)
}

// acceptedConn is a connection that another node opened to this one.
type acceptedConn struct {
	server *Server
	peer   Identity
	// id identifies the connection on both sides, and opened is its number on this node.
	id     string
	opened uint64
	nc     net.Conn
	w      *writer
	age    ageClock

	// receiving is held while a frame is handled. A newer connection's is locked before an
	// older one's.
	receiving sync.Mutex

	// ready says that the handshake is complete, used that a frame was received since the
	// last check, and knowsRequirements that the peer knows wire.Requirements and
	// wire.Headroom.
	ready, used, knowsRequirements atomic.Bool
	// version is the version in the peer's wire.Supports, or 0 before that.
	version atomic.Int64

	mu      sync.Mutex
	streams map[uint64]*Stream
	// lastID is the highest request ID that has arrived.
	lastID uint64
	// fenced says that no more requests are taken, and closing that no request is in
	// flight any more either, so that the connection is being closed.
	fenced, closing bool
	// idle counts the checks in a row that found the connection idle.
	idle int
	// lastRequest is when the newest request arrived.
	lastRequest time.Time
}

// Notify sends a notice to at most limit entries that sent a request recently, and returns
// the number of recipients.
func (s *Server) Notify(now time.Time, n *wire.Notice, limit int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	notified := 0
	for a := range s.conns { // In random order, so that over time all are notified.
		if notified == limit {
			break
		}
		if a.requestedSince(now.Add(-recentRequest)) && a.w.send(n) == nil {
			notified++
		}
	}
	return notified
}

// NotifySlowness sends the slowness of the server to all nodes that have a connection
// here, and returns the number of recipients.
func (s *Server) NotifySlowness(m *wire.Slowness) int {
	return s.broadcast(m, func(a *acceptedConn) bool { return a.ready.Load() })
}

// NotifyHeadroom sends the headroom of the server to all nodes that have sent
// wire.Requirements here, and returns the number of recipients.
func (s *Server) NotifyHeadroom(m *wire.Headroom) int {
	s.lastHeadroom.Store(&sentHeadroom{headroom: *m, sentAt: time.Now()})
	return s.broadcast(m, func(a *acceptedConn) bool { return a.knowsRequirements.Load() })
}

// sendLastHeadroom sends the last known headroom of the server to a node that has just
// sent wire.Requirements for the first time.
func (a *acceptedConn) sendLastHeadroom(now time.Time) {
	if last := a.server.lastHeadroom.Load(); last != nil {
		headroom := last.headroom.After(now.Sub(last.sentAt))
		_ = a.w.send(&headroom) // The reader notices a lost connection.
	}
}

func (s *Server) broadcast(m wire.Message, wanted func(a *acceptedConn) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	notified := 0
	for a := range s.conns {
		if wanted(a) && a.w.send(m) == nil {
			notified++
		}
	}
	return notified
}

// recentRequest is how long after its last request an entry is notified of the gate's
// state.
const recentRequest = time.Second

func (a *acceptedConn) requestedSince(since time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastRequest.After(since)
}

func (a *acceptedConn) readAll(r *wire.Reader) error {
	for {
		m, err := r.Next(wire.MaxFrame)
		invalid, ok := errors.AsType[*wire.MessageError](err)
		if err != nil && !ok {
			return err
		}
		if _, opening := m.(*wire.Supports); !opening {
			a.used.Store(true)
		}
		a.receiving.Lock()
		if ok {
			err = a.receiveInvalid(invalid)
		} else {
			a.server.Counters.countReceived(m.Kind(), r.LastSize())
			err = a.receive(m)
		}
		a.receiving.Unlock()
		if err != nil {
			return err
		}
	}
}

func (a *acceptedConn) receive(m wire.Message) error {
	switch m := m.(type) {
	case *wire.Request:
		s, err := a.addStream(m)
		if s != nil {
			a.server.Handler.Request(s)
		}
		return err
	case *wire.Supports:
		a.version.Store(int64(m.Version))
		return nil
	case *wire.Data:
		if s := a.stream(m.ID); s != nil {
			return s.in.push(m.Bytes, m.Last)
		}
	case *wire.Credit:
		if s := a.stream(m.ID); s != nil {
			s.out.add(m.Bytes)
			return nil
		}
	case *wire.Cancel:
		if s := a.stream(m.ID); s != nil {
			a.server.Handler.Canceled(s, false)
			return nil
		}
	case *wire.Withdraw:
		if s := a.stream(m.ID); s != nil {
			a.server.Handler.Withdrawn(s)
			return nil
		}
	case *wire.Ping:
		_ = a.w.send(&wire.Pong{Seq: m.Seq}) // The reader notices a lost connection.
		return nil
	case *wire.Ask:
		go a.answer(m)
		return nil
	case *wire.Fence:
		return a.receiveFence(m)
	default:
		return eris.Wrapf(ErrProtocol, "got kind %d from the dialing side", m.Kind())
	}
	a.server.Counters.LateFrames.Add(1)
	return nil
}

// receiveInvalid refuses a request that cannot be decoded.
func (a *acceptedConn) receiveInvalid(invalid *wire.MessageError) error {
	a.server.Counters.Undecodable.Add(1)
	m, ok := invalid.Message.(*wire.Request)
	if !ok {
		return nil
	}
	s, err := a.addStream(m)
	if s != nil {
		s.Refuse(wire.ReasonUndecodable, 0, wire.Load{})
	}
	return err
}

// addStream adds the stream of a request, or returns nil if the request is not to be handled.
func (a *acceptedConn) addStream(m *wire.Request) (*Stream, error) {
	if ok, err := a.acceptID(m.ID); !ok {
		return nil, err
	}
	now := time.Now()
	youngest, oldest := a.age.age(now, time.Duration(m.SentMicros)*time.Microsecond)
	budget := time.Duration(m.BudgetMicros) * time.Microsecond
	s := &Stream{
		Request:  m,
		From:     a.peer,
		Received: now,
		Deadline: now.Add(budget - oldest),
		Expiry:   now.Add(budget - youngest),
		in:       newPipe(),
		out:      newSendCredit(),
	}
	if m.Requirements != nil && !a.knowsRequirements.Swap(true) {
		a.sendLastHeadroom(now)
	}
	s.conn.Store(a)
	if err := s.in.push(m.Body, m.Last); err != nil {
		return nil, err
	}
	a.mu.Lock()
	a.streams[m.ID] = s
	a.lastRequest = now
	a.mu.Unlock()
	return s, nil
}

// sendAnswer sends a message of a stream, unless the peer could not decode it.
func (a *acceptedConn) sendAnswer(m wire.Message) error {
	if r, ok := m.(*wire.Response); ok && len(r.Header) > wire.MaxLegacyFields && a.version.Load() < wire.VersionLargeHeaders {
		return eris.Wrapf(wire.ErrHeaderTooLarge, "%d fields, for a peer of an older version", len(r.Header))
	}
	return a.w.send(m)
}

// isTooLarge reports whether an error says that a message is too large to be sent.
func isTooLarge(err error) bool {
	return eris.Is(err, wire.ErrHeaderTooLarge) || eris.Is(err, wire.ErrFrameTooLarge)
}

// acceptID records a request's ID and reports whether the request is to be handled. It
// takes the lock because some readers of lastID and fenced do not hold receiving.
func (a *acceptedConn) acceptID(id uint64) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fenced {
		a.server.Counters.LateFrames.Add(1)
		return false, nil
	}
	if id <= a.lastID {
		return false, eris.Wrapf(ErrProtocol, "request ID %d after %d", id, a.lastID)
	}
	a.lastID = id
	return true, nil
}

func (a *acceptedConn) stream(id uint64) *Stream {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.streams[id]
}

// remove removes a stream and reports whether it was still open.
func (a *acceptedConn) remove(id uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.streams[id]
	delete(a.streams, id)
	a.closeIfDrained()
	return ok
}

func (a *acceptedConn) answer(m *wire.Ask) {
	payload, err := a.server.Handler.Ask(a.peer, m.Topic, m.Payload)
	reply := &wire.Reply{ID: m.ID, Payload: payload}
	if err != nil {
		reply.Error = err.Error()
	}
	// The asking node notices a lost connection itself.
	if err := a.w.send(reply); isTooLarge(err) {
		_ = a.w.send(&wire.Reply{ID: m.ID, Error: err.Error()})
	}
}

// abortStreams ends all streams after the connection was lost.
func (a *acceptedConn) abortStreams(err error) {
	a.mu.Lock()
	streams := a.streams
	a.streams = map[uint64]*Stream{}
	a.mu.Unlock()
	for _, s := range streams {
		s.abort(err)
	}
}
