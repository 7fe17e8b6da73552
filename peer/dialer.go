// SPDX-License-Identifier: MIT

package peer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/internal/sock"
	"github.com/ryehaven/ryehaven/wire"
)

// ErrDialing is returned when a connection is still being opened at the caller's time
// limit.
var ErrDialing = eris.New("connection is still being opened")

// Dialer holds this node's connections to other nodes. Set the exported fields before the
// first use.
type Dialer struct {
	Self     Identity
	Counters *Counters
	// Limit bounds the time to open a connection, with its handshake.
	Limit time.Duration
	// IdleLimit is how long an unused connection is kept.
	IdleLimit time.Duration
	// PingAfter and SuspectAfter override the constants of the same name unless they are
	// 0.
	PingAfter, SuspectAfter time.Duration
	// OnPeer is called, in a goroutine of its own, with each node to which a connection
	// was opened, once Get returns that connection. It may be nil.
	OnPeer func(node Identity, address string)
	// OnNotice is called with each notice that a gate sends without a request. It must not
	// block and may be nil.
	OnNotice func(n *wire.Notice)
	// OnSlowness is called in the same way, with the address of the gate's node.
	OnSlowness func(address string, percent int)
	// OnHeadroom is called in the same way, with the address of the gate's node.
	OnHeadroom func(address string, r *wire.Headroom)
	// OnStalled is called, in a goroutine of its own, when requests had not arrived on a
	// connection whose node responds on another one, and when such a connection has stayed
	// stalled. It may be nil.
	OnStalled func()

	mu    sync.Mutex
	slots map[string]*slot
	// unreachable holds the nodes that stopped responding and have no connection.
	unreachable map[string]*unreachableNode
	lastCheck   time.Time
	// nextCheckWithin is the longest time until the next Check, as announced by
	// ExpectCheckWithin.
	nextCheckWithin time.Duration
	lastSweep       time.Time
	closed          bool
	// replacedConns are stalled connections that were replaced and still have calls in
	// flight.
	replacedConns map[*Conn]struct{}
	// lastRecheck is when all connections were last probed, and recheckPause the time
	// until they may be probed again.
	lastRecheck  time.Time
	recheckPause time.Duration
	recheckDue   atomic.Bool

	watched watchList
	changes atomic.Uint64
}

// Changes returns a number that increases whenever a peer becomes suspected or responds
// again, whenever a connection ends, and whenever a node becomes unreachable or reachable.
// While it does not change, Peek and Unresponsive return the same for each node, except
// for new connections, whose peers are not suspected.
func (d *Dialer) Changes() uint64 { return d.changes.Load() }

// slot is the connection to an address, open or being opened.
type slot struct {
	ready chan struct{}
	conn  *Conn
	err   error
	// lastReplaceTry is when a second connection was last opened to replace this one.
	lastReplaceTry time.Time
}

// Get returns the connection to an address and opens it if there is none. It waits up to
// limit; later callers can still get a connection that takes longer to open. For an
// unreachable node it returns ErrUnreachable at once.
func (d *Dialer) Get(address string, limit time.Duration) (*Conn, error) {
	s, err := d.slot(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-s.ready:
		return s.conn, s.err
	default:
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.ready:
		return s.conn, s.err
	case <-timer.C:
		return nil, eris.Wrap(ErrDialing, address)
	}
}

// Peek returns the open connection to an address, or nil.
func (d *Dialer) Peek(address string) *Conn {
	d.mu.Lock()
	s := d.slots[address]
	d.mu.Unlock()
	if s == nil {
		return nil
	}
	select {
	case <-s.ready:
	default:
		return nil
	}
	if s.conn == nil || s.conn.closed() {
		return nil
	}
	return s.conn
}

func (d *Dialer) slot(address string) (*slot, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, ErrConnClosed
	}
	if d.slots == nil {
		d.slots = map[string]*slot{}
	}
	s := d.slots[address]
	if s != nil && s.ended() {
		d.retire(time.Now(), address, s)
		s = nil
	}
	if s == nil && d.unreachable[address] != nil {
		return nil, eris.Wrap(ErrUnreachable, address)
	}
	if s == nil {
		s = &slot{ready: make(chan struct{})}
		d.slots[address] = s
		go d.openFor(address, s)
	}
	return s, nil
}

// ended reports whether the slot's connection failed to open or was lost.
func (s *slot) ended() bool {
	select {
	case <-s.ready:
		return s.err != nil || s.conn.closed()
	default:
		return false
	}
}

// openFor opens the connection that a caller of Get needs. If opening it timed out, the
// node is marked as unreachable before the callers that wait are released.
func (d *Dialer) openFor(address string, s *slot) {
	d.dial(address, s, d.Limit)
	if s.err == nil {
		d.notifyPeer(address, s.conn)
	}
	d.retireIfTimedOut(address, s)
	close(s.ready)
}

// notifyPeer calls OnPeer. It is called once the connection is in its slot, so that OnPeer
// gets this connection from the dialer, and not the stalled one before it.
func (d *Dialer) notifyPeer(address string, conn *Conn) {
	if d.OnPeer != nil {
		go d.OnPeer(conn.Peer, address)
	}
}

// retireIfTimedOut marks the node as unreachable if the connection attempt timed out,
// unless another caller has already done so and the slot is no longer in use.
func (d *Dialer) retireIfTimedOut(address string, s *slot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.slots[address] == s && timedOut(s.err) {
		d.retire(time.Now(), address, s)
	}
}

func (d *Dialer) open(address string, s *slot, limit time.Duration) {
	defer close(s.ready)
	d.dial(address, s, limit)
}

// dial is open without closing s.ready.
func (d *Dialer) dial(address string, s *slot, limit time.Duration) {
	d.Counters.Dials.Add(1)
	nc, err := sock.Dial(address, limit)
	if err == nil {
		s.conn, err = openConn(nc, address, d.Self, d.Counters, limit, d.hooksFor(address))
	}
	if err != nil {
		d.Counters.DialFailures.Add(1)
		s.err = eris.Wrapf(err, "connect to node at %s", address)
	}
}

// sweepInterval is how often idle and ended connections are looked for.
const sweepInterval = 250 * time.Millisecond

// Check pings and suspects peers from which nothing is received, replaces stalled
// connections, reconnects to unreachable nodes and closes idle connections. Call it every
// few milliseconds, or within the time announced by ExpectCheckWithin. A call that comes
// later by one and a half times PingAfter or more means that this node itself was paused;
// no peer is suspected in that round.
func (d *Dialer) Check(now time.Time) {
	d.mu.Lock()
	pingAfter, suspectAfter := d.watchTimeouts()
	paused := !d.lastCheck.IsZero() && now.Sub(d.lastCheck) >= d.nextCheckWithin+pingAfter+pingAfter/2
	d.lastCheck, d.nextCheckWithin = now, 0
	if now.Sub(d.lastSweep) >= sweepInterval {
		d.lastSweep = now
		d.sweep(now)
	}
	d.recheck(now)
	d.reconnectDue(now)
	d.mu.Unlock()
	for _, conn := range d.watched.all() {
		if paused {
			conn.DiscardPing()
		}
		conn.check(now, pingAfter, suspectAfter)
		d.replaceIfUnresponsive(now, conn)
	}
}

// ExpectCheckWithin announces the longest time until the next Check.
func (d *Dialer) ExpectCheckWithin(longest time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextCheckWithin = longest
}

// sweep removes ended connections, closes idle ones, and ends replaced ones that are done.
// It is called with the lock held.
func (d *Dialer) sweep(now time.Time) {
	for address, s := range d.slots {
		if s.ended() {
			d.retire(now, address, s)
			continue
		}
		if conn := s.opened(); conn != nil {
			conn.closeIfIdle(now, d.IdleLimit)
		}
	}
	for conn := range d.replacedConns {
		ended, stalled := conn.endIfDone(now)
		if ended {
			delete(d.replacedConns, conn)
		}
		if stalled {
			d.noteStalled()
		}
	}
}

// hooksFor returns the hooks for the connection to an address.
func (d *Dialer) hooksFor(address string) connHooks {
	hooks := connHooks{onNotice: d.OnNotice, onNotArrived: d.reportStalled, onWork: d.watched.add, onChange: func() { d.changes.Add(1) }}
	if d.OnSlowness != nil {
		hooks.onSlowness = func(percent int) { d.OnSlowness(address, percent) }
	}
	if d.OnHeadroom != nil {
		hooks.onHeadroom = func(r *wire.Headroom) { d.OnHeadroom(address, r) }
	}
	return hooks
}

func (d *Dialer) watchTimeouts() (pingAfter, suspectAfter time.Duration) {
	pingAfter, suspectAfter = d.PingAfter, d.SuspectAfter
	if pingAfter == 0 {
		pingAfter = PingAfter
	}
	if suspectAfter == 0 {
		suspectAfter = SuspectAfter
	}
	return pingAfter, suspectAfter
}

func (s *slot) opened() *Conn {
	select {
	case <-s.ready:
		return s.conn
	default:
		return nil
	}
}

// Close closes all connections; later calls of Get fail.
func (d *Dialer) Close() {
	d.mu.Lock()
	d.closed = true
	slots, replaced := d.slots, d.replacedConns
	d.slots, d.replacedConns = nil, nil
	d.mu.Unlock()
	for conn := range replaced {
		conn.Close()
	}
	for _, s := range slots {
		<-s.ready
		if s.conn != nil {
			s.conn.Close()
		}
	}
}
