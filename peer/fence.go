// SPDX-License-Identifier: MIT

package peer

import (
	"time"

	"github.com/ryehaven/ryehaven/wire"
)

// moveCallsTo makes another connection to the same node take all new calls, and moves to
// it the calls whose request was sent in one frame and whose answer has not begun. A fence
// reports to the peer which calls these are, and that it must take nothing more from this
// connection that had not arrived before. Calls with bodies in transfer stay: this
// connection may only be slow. If it returns false, nothing has changed.
//
// Request IDs continue on the new connection, so that a moved call keeps its ID.
func (c *Conn) moveCallsTo(next *Conn) bool {
	c.starting.Lock() // No request has an ID and is not yet queued in the writer.
	defer c.starting.Unlock()
	next.mu.Lock()
	defer next.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || next.err != nil {
		return false
	}
	fence := &wire.Fence{Conn: []byte(c.id)}
	var unconfirmed []*Call
	for id, call := range c.calls {
		_, isUnconfirmed := c.unconfirmed[id]
		switch {
		case isUnconfirmed:
			unconfirmed = append(unconfirmed, call)
		case call.answered || !call.whole:
			fence.Stay = append(fence.Stay, id)
		default:
			fence.Move = append(fence.Move, id)
		}
	}
	if next.w.send(fence) != nil {
		return false
	}
	next.nextID, next.prev = c.nextID, c
	next.unconfirmed = map[uint64]struct{}{}
	next.busySince = time.Now()
	for _, id := range fence.Move {
		c.moveCall(id, next)
	}
	for _, call := range unconfirmed {
		// It is not known whether the peer has moved them to this connection.
		delete(c.calls, call.id)
		call.fail(ErrStalled)
	}
	c.next = next
	next.addToWatch()
	return true
}

// moveCall moves a call. It is called with the locks of both connections held.
func (c *Conn) moveCall(id uint64, next *Conn) {
	call := c.calls[id]
	delete(c.calls, id)
	next.calls[id] = call
	next.unconfirmed[id] = struct{}{}
	call.moved = true
	call.conn.Store(next)
	if call.canceled.Load() {
		_ = next.w.send(&wire.Cancel{ID: id}) // The earlier one may not have arrived.
	} else if call.withdrawn.Load() && next.knowsWithdraw {
		_ = next.w.send(&wire.Withdraw{ID: id})
	}
}

// receiveFenced handles the peer's report on the calls that were moved here.
func (c *Conn) receiveFenced(m *wire.Fenced) {
	c.mu.Lock()
	prev, moved := c.prev, len(c.unconfirmed)
	c.prev, c.unconfirmed = nil, nil
	c.mu.Unlock()
	c.counters.Moved.Add(int64(moved))
	for _, id := range m.NotArrived {
		call := c.takeCall(id)
		if call == nil && prev != nil {
			call = prev.takeCall(id)
		}
		if call != nil {
			c.counters.NotArrived.Add(1)
			call.fail(ErrNotArrived)
		}
	}
	if len(m.NotArrived) > 0 && c.hooks.onNotArrived != nil {
		c.hooks.onNotArrived()
	}
	for _, id := range m.Lost {
		if call := c.takeCall(id); call != nil {
			c.counters.MovedLost.Add(1)
			call.fail(ErrStalled)
		}
	}
}

// endIfDone ends a connection that was replaced once it has been unresponsive for
// stalledAfter, or once it responds and has no calls left. It reports whether the
// connection has ended, and whether it was stalled. It is called by one goroutine at a
// time.
func (c *Conn) endIfDone(now time.Time) (ended, stalled bool) {
	idle := !c.idleSince().IsZero()
	closed := c.closed()
	stalled = !closed && c.unresponsiveFor(now) >= stalledAfter
	responds := c.unresponsiveSince.Load() == 0
	ended = closed || stalled || (idle && responds)
	if (ended || idle) && !c.fenceSent {
		// No call remains here. Without this fence, requests whose callers have left would
		// continue to run at the gate, since neither their cancels nor the connection's
		// end may have got through.
		c.fenceSent = true
		_ = c.newest().w.send(&wire.Fence{Conn: []byte(c.id)})
	}
	if ended {
		c.end(ErrStalled)
	}
	return ended, stalled
}

// newest follows next and returns the connection that is in use now.
func (c *Conn) newest() *Conn {
	for {
		c.mu.Lock()
		next := c.next
		c.mu.Unlock()
		if next == nil {
			return c
		}
		c = next
	}
}

// receiveFence handles the peer's report that another of its connections to this node has
// stalled. Requests received there before are answered here; requests not received there
// are never taken.
func (a *acceptedConn) receiveFence(m *wire.Fence) error {
	old := a.server.findOlder(string(m.Conn), a)
	if old == nil {
		// It has ended on this side, and all its requests with it.
		return a.w.send(&wire.Fenced{Lost: m.Move})
	}
	old.receiving.Lock() // No frame from there is being handled.
	fenced, dropped := a.moveStreamsFrom(old, m)
	old.receiving.Unlock()
	err := a.w.send(fenced)
	for _, s := range dropped {
		s.abort(ErrStalled)
	}
	if len(fenced.NotArrived) > 0 && a.server.OnStalled != nil {
		go a.server.OnStalled()
	}
	return err
}

// moveStreamsFrom moves the requested streams from another connection, whose receiving
// lock is held. It returns the outcome of each request in the fence, and the streams that
// nothing waits for any more.
func (a *acceptedConn) moveStreamsFrom(old *acceptedConn, m *wire.Fence) (*wire.Fenced, []*Stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old.mu.Lock()
	defer old.mu.Unlock()
	old.fenced = true
	// A later fence must not report a request that arrived on the old connection as one
	// that has not arrived on this one.
	a.lastID = max(a.lastID, old.lastID)
	fenced := &wire.Fenced{}
	for _, id := range m.Move {
		s := old.streams[id]
		switch {
		case s != nil && !s.answerStarted && s.BodyComplete():
			s.conn.Store(a)
			a.streams[id] = s
			delete(old.streams, id)
		case s == nil && id > old.lastID:
			fenced.NotArrived = append(fenced.NotArrived, id)
		case s != nil || !a.resendAnswer(old, id):
			fenced.Lost = append(fenced.Lost, id)
		}
	}
	stay := map[uint64]bool{}
	for _, id := range m.Stay {
		stay[id] = id <= old.lastID
		if id > old.lastID {
			fenced.NotArrived = append(fenced.NotArrived, id)
		}
	}
	var dropped []*Stream
	for id, s := range old.streams {
		if !stay[id] {
			delete(old.streams, id)
			dropped = append(dropped, s)
		}
	}
	old.closeIfDrained()
	return fenced, dropped
}

// resendAnswer sends an answer again that was recently sent on another connection, and
// reports whether the answer is still kept.
func (a *acceptedConn) resendAnswer(old *acceptedConn, id uint64) bool {
	m := a.server.sent.find(old, id)
	if m == nil {
		return false
	}
	a.server.sent.add(sentAnswer{conn: a, id: id, at: time.Now(), m: m})
	_ = a.sendAnswer(m) // The reader notices a lost connection.
	return true
}

// closeIfDrained closes a fenced connection once it has no streams left. It does not wait
// for the dialing side to close, since that may not get through. It is called with the
// lock held.
func (a *acceptedConn) closeIfDrained() {
	if !a.fenced || len(a.streams) > 0 || a.closing {
		return
	}
	a.closing = true
	a.closeAfterFlush(fencedCloseTimeout)
}

// findOlder returns another open connection of the same node that was opened before, or
// nil.
func (s *Server) findOlder(id string, by *acceptedConn) *acceptedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.conns {
		if a.ready.Load() && a.id == id && a.opened < by.opened && samePeer(a.peer, by.peer) {
			return a
		}
	}
	return nil
}
