// SPDX-License-Identifier: MIT

package peer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/ryehaven/ryehaven/wire"
)

// Timeouts for unresponsive peers.
const (
	// PingAfter is how long nothing may be received from a peer with outstanding work
	// before it is pinged.
	PingAfter = 20 * time.Millisecond
	// SuspectAfter is how long a ping may stay unanswered.
	SuspectAfter = 60 * time.Millisecond
)

// suspicion is the state of one phase in which a peer may become suspected: raised is
// closed when it is, and cleared when it responds again. A new value then replaces this
// one.
type suspicion struct {
	raised, cleared chan struct{}
	active          atomic.Bool
}

func newSuspicion() *suspicion {
	return &suspicion{raised: make(chan struct{}), cleared: make(chan struct{})}
}

// Suspected returns a channel that is closed when the peer is suspected.
func (c *Conn) Suspected() <-chan struct{} { return c.suspicion.Load().raised }

// IsSuspected reports whether the peer is suspected.
func (c *Conn) IsSuspected() bool { return c.suspicion.Load().active.Load() }

// Check pings or suspects a peer with outstanding work from which nothing is received.
func (c *Conn) Check(now time.Time) { c.check(now, PingAfter, SuspectAfter) }

func (c *Conn) check(now time.Time, pingAfter, suspectAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || (len(c.calls) == 0 && !c.IsSuspected() && c.probe == noProbe) {
		c.pingSent = time.Time{}
		c.watched.Store(false)
		return
	}
	received := c.opened.Add(time.Duration(c.lastReceived.Load()))
	if !c.pingSent.IsZero() && received.Before(c.pingSent) {
		if now.Sub(c.pingSent) >= suspectAfter {
			c.suspect(now)
		}
		return
	}
	if !c.pingSent.IsZero() && c.probe == probeSent {
		c.probe = noProbe
	}
	c.pingSent = time.Time{}
	waits := len(c.calls) > 0 && now.Sub(received) >= pingAfter && now.Sub(c.busySince) >= pingAfter
	if waits || c.probe == probeDue {
		if c.probe == probeDue {
			c.probe = probeSent
		}
		c.pingSent = now
		c.pings++
		_ = c.w.send(&wire.Ping{Seq: c.pings})
	}
}

// DiscardPing discards an unanswered ping after this node itself was paused.
func (c *Conn) DiscardPing() {
	c.mu.Lock()
	c.pingSent = time.Time{}
	if c.probe == probeSent {
		c.probe = probeDue
	}
	c.mu.Unlock()
}

// probe is the state of a probe, a ping on a connection without work.
type probe int

const (
	noProbe probe = iota
	probeDue
	probeSent
)

// requestProbe makes the next check ping the peer although it has no work.
func (c *Conn) requestProbe() {
	c.mu.Lock()
	if c.probe == noProbe {
		c.probe = probeDue
	}
	c.mu.Unlock()
	c.addToWatch()
}

// addToWatch puts the connection on the dialer's watchList.
func (c *Conn) addToWatch() {
	if c.watched.CompareAndSwap(false, true) && c.hooks.onWork != nil {
		c.hooks.onWork(c)
	}
}

func (c *Conn) suspect(now time.Time) {
	s := c.suspicion.Load()
	if s.active.CompareAndSwap(false, true) {
		c.counters.Suspicions.Add(1)
		c.unresponsiveSince.Store(max(int64(now.Sub(c.opened)), 1))
		close(s.raised)
		c.hooks.changed()
	}
}

func (c *Conn) noteReceived() {
	c.lastReceived.Store(int64(time.Since(c.opened)))
	c.unresponsiveSince.Store(0)
	c.respondedOnce.Do(func() { close(c.responded) })
	if s := c.suspicion.Load(); s.active.Load() && c.suspicion.CompareAndSwap(s, newSuspicion()) {
		close(s.cleared)
		c.hooks.changed()
	}
}

// watchList holds the connections that Dialer.Check has to check, which are few of the
// open ones. The zero value is empty.
type watchList struct {
	mu    sync.Mutex
	conns map[*Conn]struct{}
}

func (l *watchList) add(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*Conn]struct{}{}
	}
	l.conns[c] = struct{}{}
}

// all returns the listed connections, and removes those that need no more checks.
func (l *watchList) all() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		// A connection that gets work at this moment adds itself again.
		if !c.watched.Load() {
			delete(l.conns, c)
			continue
		}
		conns = append(conns, c)
	}
	return conns
}
