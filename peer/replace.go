// SPDX-License-Identifier: MIT

package peer

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/wire"
)

// A connection may stall for good while new connections to the same node work, for example
// when a device on the network path has dropped its state for it. On the connection itself
// that looks like a paused node, and the node would receive no requests for as long as the
// connection lives. So a second connection is opened at once, and replaces the first one
// if the node responds there.
const (
	// stalledAfter is how long a peer must have been unresponsive before the calls that
	// cannot be moved to another connection are given up: a node that is paused for a
	// moment, or a link that retransmits, responds earlier.
	stalledAfter = time.Second
	// replaceInterval is the time between two attempts to replace a connection, and the
	// time limit of each: a node may be paused for a moment while its connection is
	// stalled.
	replaceInterval = time.Second
	// minRecheckInterval is the least time between two probes of all connections. The
	// interval doubles up to maxRecheckInterval until a connection is found stalled: where
	// 3% of what is sent arrives late, each probe opens second connections to some nodes
	// that only seem unresponsive.
	minRecheckInterval = time.Second
	maxRecheckInterval = 30 * time.Second
)

// Errors of requests in flight on a connection that stalled while its node responds on
// another one.
var (
	// ErrStalled means that the request may have run.
	ErrStalled = eris.New("connection stalled while its node responds on another one")
	// ErrNotArrived means that the request was not run and never will be.
	ErrNotArrived = eris.New("request had not arrived when its connection was given up")
)

// unresponsiveFor returns how long the peer has been suspected, and 0 while it responds.
func (c *Conn) unresponsiveFor(now time.Time) time.Duration {
	began := c.unresponsiveSince.Load()
	if began == 0 {
		return 0
	}
	return now.Sub(c.opened) - time.Duration(began)
}

// noteUnanswered probes the peer after a query was not answered, if nothing was
// received since it was sent.
func (c *Conn) noteUnanswered(sentAt time.Time) {
	if c.lastReceived.Load() < int64(sentAt.Sub(c.opened)) {
		c.requestProbe()
	}
}

// Recheck probes all connections soon, also those without work: when one was found
// stalled, others may be too.
func (d *Dialer) Recheck() { d.recheckDue.Store(true) }

// recheck probes all connections if that is due. It is called with the lock held.
func (d *Dialer) recheck(now time.Time) {
	if !d.recheckDue.Load() || now.Sub(d.lastRecheck) < d.recheckPause {
		return
	}
	d.recheckDue.Store(false)
	d.lastRecheck = now
	d.recheckPause = max(minRecheckInterval, min(2*d.recheckPause, maxRecheckInterval))
	for _, s := range d.slots {
		if conn := s.opened(); conn != nil {
			conn.requestProbe()
		}
	}
}

// noteStalled is called when a connection has stayed stalled: it lets the next probe of
// all connections follow soon. It is called with the lock held.
func (d *Dialer) noteStalled() {
	d.recheckPause = min(d.recheckPause, minRecheckInterval)
	d.reportStalled()
}

// replaceIfUnresponsive starts to open a second connection in place of one whose peer is
// suspected.
func (d *Dialer) replaceIfUnresponsive(now time.Time, conn *Conn) {
	unresponsive := conn.unresponsiveFor(now)
	if unresponsive == 0 || (!conn.knowsFence && unresponsive < stalledAfter) {
		return // A peer without fences lets no call be moved.
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.slots[conn.address]
	if s == nil || s.opened() != conn || now.Sub(s.lastReplaceTry) < replaceInterval {
		return
	}
	s.lastReplaceTry = now
	go d.replace(conn.address, s)
}

// replace opens a connection and replaces an unresponsive one with it if the node
// responds.
func (d *Dialer) replace(address string, old *slot) {
	began := time.Now()
	next := &slot{ready: make(chan struct{})}
	d.open(address, next, replaceInterval)
	if next.err != nil || !next.conn.respondsToPing(replaceInterval) {
		d.Counters.UnresponsiveNodes.Add(1)
		if next.conn != nil {
			next.conn.Close()
		}
		return
	}
	pingAfter, suspectAfter := d.watchTimeouts()
	old.conn.waitForResponse(responseGrace(time.Since(began), pingAfter, suspectAfter))
	if !d.swapConn(address, old, next) {
		next.conn.Close()
		return
	}
	d.notifyPeer(address, next.conn)
}

// reportStalled is called when a connection seems to have stalled, and not only to have
// been late: it has all others probed.
func (d *Dialer) reportStalled() {
	d.Recheck()
	if d.OnStalled != nil {
		go d.OnStalled()
	}
}

// responseGrace returns how long an unresponsive connection may still take to respond once
// its peer has responded on another one, which took the time given. A node that was paused
// responds on both, and data on two connections arrives in no fixed order. The ping on the
// old connection was sent before the new one was opened, so its answer gets as much time
// as the new connection needed, but at least pingAfter and at most the larger of pingAfter
// and suspectAfter.
func responseGrace(took, pingAfter, suspectAfter time.Duration) time.Duration {
	return min(max(took, pingAfter), max(pingAfter, suspectAfter))
}

// waitForResponse waits until the suspected peer responds, up to a limit.
func (c *Conn) waitForResponse(limit time.Duration) {
	s := c.suspicion.Load()
	if !s.active.Load() {
		return
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.cleared:
	case <-timer.C:
	}
}

// respondsToPing reports whether the peer responds on a new connection within a limit. A
// node that was only paused does so too.
func (c *Conn) respondsToPing(limit time.Duration) bool {
	if c.w.send(&wire.Ping{}) != nil {
		return false
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-c.responded:
		return true
	case <-timer.C:
		return false
	}
}

// swapConn replaces a connection that is still unresponsive and reports whether it did.
func (d *Dialer) swapConn(address string, old, next *slot) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || d.slots[address] != old || old.conn.unresponsiveSince.Load() == 0 {
		return false
	}
	inFlight := old.conn.callsInFlight()
	canMove := samePeer(old.conn.Peer, next.conn.Peer) && next.conn.knowsFence
	if canMove && !old.conn.moveCallsTo(next.conn) {
		return false
	}
	d.slots[address] = next
	d.Counters.Replaced.Add(1)
	d.Counters.StalledRequests.Add(int64(inFlight))
	if !canMove {
		old.conn.end(ErrStalled) // This peer cannot report what arrived on the old connection.
		if !old.conn.knowsFence {
			d.noteStalled() // It has been unresponsive for stalledAfter.
		}
		return true
	}
	if d.replacedConns == nil {
		d.replacedConns = map[*Conn]struct{}{}
	}
	d.replacedConns[old.conn] = struct{}{}
	return true
}

// samePeer reports whether both are the same incarnation of a node.
func samePeer(a, b Identity) bool { return a.Host == b.Host && a.Incarnation == b.Incarnation }

// callsInFlight returns the number of calls in flight.
func (c *Conn) callsInFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls)
}
