// SPDX-License-Identifier: MIT

package peer

import (
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// A connection may go silent for good while new ones to the same node work: a device
// on the way has forgotten it. Nothing on it tells that from a node that stands still,
// and its node would be passed over for as long as the connection lives. So a second
// connection is tried, and takes its place if the node answers there.
const (
	// replaceAfter is how long a peer must have been silent for that: a node that is
	// held up for a moment speaks again before.
	replaceAfter = time.Second
	// replaceEvery is the time between two tries.
	replaceEvery = time.Second
)

// ErrSilent ends what is under way on a connection that went silent while its node
// answers on another.
var ErrSilent = eris.New("connection went silent, its node answers on another")

// silence is what a connection knows of its peer's silence.
type silence struct {
	// since is when the peer was suspected, in nanoseconds since the connection was
	// opened, 0 while it is not.
	since atomic.Int64
	// unanswered is when a question was put that was not answered, and nothing else
	// was heard since; 0 if there is none.
	unanswered atomic.Int64
}

// heard takes note that the peer spoke.
func (s *silence) heard() {
	s.since.Store(0)
	s.unanswered.Store(0)
}

// silentFor is how long the peer has been silent although it had to speak.
func (c *Conn) silentFor(now time.Time) time.Duration {
	began := c.silence.since.Load()
	if asked := c.silence.unanswered.Load(); began == 0 || (asked != 0 && asked < began) {
		began = asked
	}
	if began == 0 {
		return 0
	}
	return now.Sub(c.opened) - time.Duration(began)
}

// noteUnanswered takes note of a question that was put at a time and not answered.
func (c *Conn) noteUnanswered(asked time.Time) {
	at := int64(asked.Sub(c.opened))
	if c.lastReceived.Load() < at {
		c.silence.unanswered.CompareAndSwap(0, at)
	}
}

// underWay returns how many requests are.
func (c *Conn) underWay() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls)
}

// replaceSilent tries another connection in place of one that has gone silent. It is
// called with the dialer's lock held.
func (d *Dialer) replaceSilent(now time.Time, address string, s *slot) {
	if s.conn.silentFor(now) < replaceAfter || now.Sub(s.replaced) < replaceEvery {
		return
	}
	s.replaced = now
	go d.replace(address, s)
}

// replace opens a connection and puts it in the place of a silent one.
func (d *Dialer) replace(address string, old *slot) {
	next := &slot{ready: make(chan struct{})}
	d.open(address, next)
	if next.err != nil {
		d.Counters.SilentNodes.Add(1)
		return
	}
	d.mu.Lock()
	current := !d.closed && d.slots[address] == old && old.conn.silentFor(time.Now()) > 0
	if current {
		d.slots[address] = next
	}
	d.mu.Unlock()
	if !current {
		next.conn.Close()
		return
	}
	d.Counters.Replaced.Add(1)
	d.Counters.SilentRequests.Add(int64(old.conn.underWay()))
	old.conn.end(ErrSilent)
}
