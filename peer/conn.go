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

// readBuffer is the size of a connection's read buffer, in bytes.
const readBuffer = 16 << 10

// Conn is a connection that this node opened to another.
type Conn struct {
	// Peer is the node that proved the key on the other side.
	Peer Identity

	// address is the address that was dialed, and id identifies the connection on both
	// sides. knowsFence and knowsWithdraw say whether the peer knows wire.Fence and
	// wire.Withdraw.
	address       string
	id            string
	knowsFence    bool
	knowsWithdraw bool
	// knowsRequirements says whether the peer knows wire.Requirements, and version is the
	// peer's protocol version.
	knowsRequirements bool
	version           int

	nc       net.Conn
	w        *writer
	counters *Counters
	opened   time.Time
	hooks    connHooks

	// starting is held while a request gets its ID and is queued, so that requests are
	// sent in the order of their IDs.
	starting sync.Mutex

	mu      sync.Mutex
	calls   map[uint64]*Call
	queries map[uint64]chan *wire.Reply
	nextID  uint64
	err     error
	// next is the connection that replaced this one and takes all new calls, and prev the
	// one that this one replaced. unconfirmed are calls moved from prev until the peer has
	// reported what became of them.
	next, prev  *Conn
	unconfirmed map[uint64]struct{}
	// fenceSent says that the peer was notified that no call remains on this connection.
	fenceSent bool
	// lastUsed is when the last call or query began or ended.
	lastUsed time.Time
	// busySince is when the connection last got a call while it had none, or took over the
	// calls of the connection that it replaced.
	busySince time.Time
	pingSent  time.Time
	pings     uint64
	probe     probe

	// watched says that the connection is in the dialer's watchList: it has work, had work
	// when the peer stopped responding, or is to be probed.
	//
	// lastReceived and unresponsiveSince count nanoseconds from opened; unresponsiveSince
	// is 0 while the peer responds.
	watched           atomic.Bool
	lastReceived      atomic.Int64
	suspicion         atomic.Pointer[suspicion]
	unresponsiveSince atomic.Int64
	// responded is closed once the peer has sent something after the handshake.
	responded     chan struct{}
	respondedOnce sync.Once
}

// connHooks are the callbacks of a connection; each may be nil.
type connHooks struct {
	onNotice   func(n *wire.Notice)
	onSlowness func(percent int)
	onHeadroom func(r *wire.Headroom)
	// onNotArrived is called when the peer reports that requests had not arrived on the
	// connection that this one replaced.
	onNotArrived func()
	// onWork is called when the connection gets work and was not watched.
	onWork func(c *Conn)
	// onChange is called when the peer becomes suspected or responds again, and when the
	// connection ends.
	onChange func()
}

func (h connHooks) changed() {
	if h.onChange != nil {
		h.onChange()
	}
}

func openConn(nc net.Conn, address string, self Identity, counters *Counters, limit time.Duration, hooks connHooks) (*Conn, error) {
	reader := wire.NewReader(bufio.NewReaderSize(nc, readBuffer))
	result, err := dialHandshake(nc, reader, self, limit)
	if err != nil {
		nc.Close()
		return nil, err
	}
	now := time.Now()
	c := &Conn{
		Peer:              result.peer,
		address:           address,
		id:                result.id,
		knowsFence:        result.version >= wire.VersionFence,
		knowsWithdraw:     result.version >= wire.VersionWithdraw,
		knowsRequirements: result.version >= wire.VersionRequirements,
		version:           result.version,
		responded:         make(chan struct{}),
		nc:                nc,
		w:                 newWriter(nc, counters),
		counters:          counters,
		opened:            result.sentAt,
		calls:             map[uint64]*Call{},
		queries:           map[uint64]chan *wire.Reply{},
		lastUsed:          now,
		hooks:             hooks,
	}
	c.suspicion.Store(newSuspicion())
	if c.version >= wire.VersionLargeHeaders {
		if err := c.w.send(&wire.Supports{Version: wire.VersionSupported}); err != nil {
			nc.Close()
			return nil, err
		}
	}
	counters.Dialed.Add(1)
	go c.w.run()
	go c.readAll(reader)
	return c, nil
}

// Start sends a request whose ID and SentMicros it fills in. If it returns an error,
// nothing of the request was sent.
func (c *Conn) Start(r *wire.Request) (*Call, error) {
	if len(r.Body) > Window {
		return nil, ErrOverflow // The peer would close the connection, and with it all calls.
	}
	if c.version < wire.VersionLargeHeaders && len(r.Header) > wire.MaxLegacyFields {
		return nil, eris.Wrapf(wire.ErrHeaderTooLarge, "%d fields, for a peer of version %d", len(r.Header), c.version)
	}
	call := &Call{head: make(chan Head, 1), in: newPipe(), out: newSendCredit(), whole: r.Last}
	call.conn.Store(c)
	c.starting.Lock()
	defer c.starting.Unlock()
	c.mu.Lock()
	if next, err := c.next, c.err; next != nil || err != nil {
		c.mu.Unlock()
		if next != nil {
			return next.Start(r)
		}
		return nil, err
	}
	c.nextID++
	call.id = c.nextID
	c.lastUsed = time.Now()
	if len(c.calls) == 0 {
		c.busySince = c.lastUsed
	}
	c.calls[call.id] = call
	c.mu.Unlock()
	c.addToWatch()
	r.ID = call.id
	r.SentMicros = time.Since(c.opened).Microseconds()
	if !c.knowsRequirements {
		r.Requirements = nil
	}
	call.out.left -= int64(len(r.Body))
	if err := c.w.send(r); err != nil {
		c.remove(call.id)
		return nil, err
	}
	return call, nil
}

// Version returns the protocol version that the peer knows.
func (c *Conn) Version() int { return c.version }

// Ask sends a query and waits up to limit for its reply.
func (c *Conn) Ask(topic wire.Topic, payload []byte, limit time.Duration) ([]byte, error) {
	reply := make(chan *wire.Reply, 1)
	sentAt := time.Now()
	c.mu.Lock()
	if next, err := c.next, c.err; next != nil || err != nil {
		c.mu.Unlock()
		if next != nil {
			return next.Ask(topic, payload, limit)
		}
		return nil, err
	}
	c.nextID++
	id := c.nextID
	c.queries[id] = reply
	c.lastUsed = time.Now()
	c.mu.Unlock()
	defer c.removeQuery(id)
	if err := c.w.send(&wire.Ask{ID: id, Topic: topic, Payload: payload}); err != nil {
		return nil, err
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case r, ok := <-reply:
		if !ok {
			return nil, ErrConnClosed
		}
		if r.Error != "" {
			return nil, eris.Errorf("peer replied with an error: %s", r.Error)
		}
		return r.Payload, nil
	case <-timer.C:
		c.noteUnanswered(sentAt)
		return nil, eris.Errorf("peer did not answer %q within %v", topic, limit)
	}
}

func (c *Conn) removeQuery(id uint64) {
	c.mu.Lock()
	delete(c.queries, id)
	c.lastUsed = time.Now()
	c.mu.Unlock()
}

// remove removes a call and reports whether it was still there.
func (c *Conn) remove(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.calls[id]
	delete(c.calls, id)
	c.lastUsed = time.Now()
	return ok
}

func (c *Conn) call(id uint64) *Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls[id]
}

// Close closes the connection; calls in flight end with an error.
func (c *Conn) Close() { c.end(ErrConnClosed) }

func (c *Conn) end(err error) {
	c.endIf(err, func() bool { return true })
}

// closeIfIdle closes the connection if it has had no work for longer than a limit.
func (c *Conn) closeIfIdle(now time.Time, limit time.Duration) {
	c.endIf(ErrConnClosed, func() bool {
		return len(c.calls)+len(c.queries) == 0 && now.Sub(c.lastUsed) > limit
	})
}

// endIf ends the connection if a condition holds. The condition is evaluated with the lock
// held: otherwise a request that begins between the check and the end would be lost.
func (c *Conn) endIf(err error, holds func() bool) {
	c.mu.Lock()
	if c.err != nil || !holds() {
		c.mu.Unlock()
		return
	}
	c.err = err
	calls, queries := c.calls, c.queries
	c.calls, c.queries = map[uint64]*Call{}, map[uint64]chan *wire.Reply{}
	c.prev = nil
	c.mu.Unlock()
	c.counters.Dialed.Add(-1)
	c.w.close(err)
	c.nc.Close()
	c.hooks.changed()
	for _, call := range calls {
		call.fail(err)
	}
	for _, reply := range queries {
		close(reply)
	}
}

// closed reports whether the connection has ended.
func (c *Conn) closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err != nil
}

// idleSince returns the time since which the connection has had no work, and the zero time
// if it has work.
func (c *Conn) idleSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls)+len(c.queries) > 0 {
		return time.Time{}
	}
	return c.lastUsed
}

func (c *Conn) readAll(r *wire.Reader) {
	for {
		m, err := r.Next(wire.MaxFrame)
		invalid, ok := errors.AsType[*wire.MessageError](err)
		if err != nil && !ok {
			c.end(eris.Wrap(err, "read from peer"))
			return
		}
		c.noteReceived()
		if ok {
			c.receiveInvalid(invalid)
			continue
		}
		c.counters.countReceived(m.Kind(), r.LastSize())
		if err := c.receive(m); err != nil {
			c.end(err)
			return
		}
	}
}

func (c *Conn) receive(m wire.Message) error {
	switch m := m.(type) {
	case *wire.Response:
		return c.receiveResponse(m)
	case *wire.Data:
		return c.receiveData(m)
	case *wire.Credit:
		if call := c.call(m.ID); call != nil {
			call.out.add(m.Bytes)
			return nil
		}
	case *wire.Refusal:
		if call := c.takeCall(m.ID); call != nil {
			call.answer(Head{Refusal: m, Moved: call.moved})
			call.fail(ErrClosed)
			return nil
		}
	case *wire.Reset:
		if call := c.takeCall(m.ID); call != nil {
			call.answer(Head{Reset: m, Moved: call.moved})
			call.fail(eris.Wrap(ErrReset, m.Message))
			return nil
		}
	case *wire.Reply:
		return c.receiveReply(m)
	case *wire.Notice:
		if c.hooks.onNotice != nil {
			c.hooks.onNotice(m)
		}
		return nil
	case *wire.Slowness:
		if c.hooks.onSlowness != nil {
			c.hooks.onSlowness(m.Percent)
		}
		return nil
	case *wire.Headroom:
		if c.hooks.onHeadroom != nil {
			c.hooks.onHeadroom(m)
		}
		return nil
	case *wire.Pong:
		return nil
	case *wire.Fenced:
		c.receiveFenced(m)
		return nil
	default:
		return eris.Wrapf(ErrProtocol, "got kind %d from the accepting side", m.Kind())
	}
	c.counters.LateFrames.Add(1)
	return nil
}

// takeCall removes a call and returns it, or nil if there is none.
func (c *Conn) takeCall(id uint64) *Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.calls[id]
	delete(c.calls, id)
	c.lastUsed = time.Now()
	return call
}

func (c *Conn) receiveResponse(m *wire.Response) error {
	call := c.takeAnswer(m.ID, m.Last)
	if call == nil {
		c.counters.LateFrames.Add(1)
		return nil
	}
	if err := call.in.push(m.Body, m.Last); err != nil {
		return err
	}
	call.answer(Head{Response: m, Moved: call.moved})
	return nil
}

// receiveInvalid ends the call whose answer cannot be decoded.
func (c *Conn) receiveInvalid(invalid *wire.MessageError) {
	c.counters.Undecodable.Add(1)
	m, ok := invalid.Message.(*wire.Response)
	if !ok {
		return
	}
	if call := c.takeCall(m.ID); call != nil {
		call.answer(Head{Reset: &wire.Reset{ID: m.ID, Message: invalid.Error(), Load: m.Load}, Moved: call.moved})
		call.fail(eris.Wrap(ErrReset, invalid.Error()))
		_ = c.w.send(&wire.Cancel{ID: m.ID}) // The gate need not send the rest of the answer.
	}
}

// takeAnswer returns the call whose answer begins, or nil, and removes the call if the
// answer is complete. The call is not moved to another connection from then on.
func (c *Conn) takeAnswer(id uint64, last bool) *Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.calls[id]
	if call == nil || call.answered {
		return nil
	}
	call.answered = true
	if last {
		delete(c.calls, id)
		c.lastUsed = time.Now()
	}
	return call
}

func (c *Conn) receiveData(m *wire.Data) error {
	call := c.call(m.ID)
	if call == nil {
		c.counters.LateFrames.Add(1)
		return nil
	}
	if m.Last {
		c.remove(m.ID)
	}
	return call.in.push(m.Bytes, m.Last)
}

func (c *Conn) receiveReply(m *wire.Reply) error {
	c.mu.Lock()
	reply := c.queries[m.ID]
	delete(c.queries, m.ID)
	c.mu.Unlock()
	if reply == nil {
		c.counters.LateFrames.Add(1)
		return nil
	}
	reply <- m
	return nil
}
