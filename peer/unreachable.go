// SPDX-License-Identifier: MIT

package peer

import (
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

// A node that stopped responding remains unreachable after its connection has ended, until
// it responds on another one. Requests must not be the ones to find that out: each would
// wait until its own connection attempt has failed. With half of a site's hosts cut off
// for nine seconds, 124 to 352 attempts a second waited like this, for 180 ms in the mean.
const (
	// minReconnectPause and maxReconnectPause bound the time between two attempts to
	// reconnect to such a node. The first covers a round trip and a handshake on a slow
	// link; the second is the longest time for which a node that is reachable again
	// remains unused.
	minReconnectPause = 250 * time.Millisecond
	maxReconnectPause = time.Second
	// reconnectFor is how long reconnecting to a node is attempted. After that, the next
	// request for the node opens a connection.
	reconnectFor = 10 * time.Minute
)

// ErrUnreachable is returned at once for a node that stopped responding and has not been
// reached since.
var ErrUnreachable = eris.New("node stopped responding and cannot be reached")

// unreachableNode is a node that stopped responding and to which there is no connection.
type unreachableNode struct {
	since time.Time
	next  time.Time
	pause time.Duration
	// trying says that an attempt is in progress, and connectedMeanwhile that the node has
	// opened a connection to this one since the attempt began.
	trying, connectedMeanwhile bool
}

// Unresponsive reports whether the node at an address does not respond: it is suspected,
// or its connection ended while it was suspected and no other could be opened since.
func (d *Dialer) Unresponsive(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.slots[address]
	if s == nil || s.opened() == nil {
		return d.unreachable[address] != nil
	}
	conn := s.opened()
	if conn.closed() {
		return conn.unresponsiveSince.Load() != 0
	}
	return conn.IsSuspected()
}

// retire removes a connection that has ended or could not be opened, and marks the node as
// unreachable if it did not respond. It is called with the lock held.
func (d *Dialer) retire(now time.Time, address string, s *slot) {
	delete(d.slots, address)
	if timedOut(s.err) || (s.conn != nil && s.conn.unresponsiveSince.Load() != 0) {
		d.markUnreachable(now, address)
	}
}

// markUnreachable is called with the lock held.
func (d *Dialer) markUnreachable(now time.Time, address string) {
	if d.closed || d.unreachable[address] != nil {
		return
	}
	if d.unreachable == nil {
		d.unreachable = map[string]*unreachableNode{}
	}
	d.unreachable[address] = &unreachableNode{since: now, next: now, pause: minReconnectPause}
	d.changes.Add(1)
}

// reconnectDue starts to reconnect to the unreachable nodes for which that is due. It is
// called with the lock held.
func (d *Dialer) reconnectDue(now time.Time) {
	for address, n := range d.unreachable {
		if n.trying || now.Before(n.next) {
			continue
		}
		if now.Sub(n.since) > reconnectFor {
			delete(d.unreachable, address)
			d.changes.Add(1)
			continue
		}
		d.startReconnect(address, n)
	}
}

// startReconnect is called with the lock held.
func (d *Dialer) startReconnect(address string, n *unreachableNode) {
	n.trying, n.connectedMeanwhile = true, false
	go d.reconnect(address, n)
}

// PeerConnected must be called when a node has opened a connection to this one: if it is
// marked as unreachable, it is reconnected to at once.
func (d *Dialer) PeerConnected(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.unreachable[address]
	switch {
	case n == nil || d.closed:
	case n.trying:
		n.connectedMeanwhile = true
	default:
		d.startReconnect(address, n)
	}
}

// reconnect attempts once to reach an unreachable node.
func (d *Dialer) reconnect(address string, n *unreachableNode) {
	s := &slot{ready: make(chan struct{})}
	d.open(address, s, d.Limit)
	d.mu.Lock()
	n.trying = false
	n.next = time.Now().Add(n.pause)
	n.pause = min(2*n.pause, maxReconnectPause)
	if n.connectedMeanwhile {
		n.next = time.Now()
	}
	current := d.slots[address]
	taken := current != nil && !current.ended()
	reconnected := s.err == nil && !d.closed && !taken
	if reconnected {
		d.slots[address] = s
	}
	if reconnected || taken || !timedOut(s.err) {
		// A refused connection fails at once, so requests need not wait: its host is up.
		delete(d.unreachable, address)
		d.changes.Add(1)
	}
	d.mu.Unlock()
	switch {
	case reconnected:
		d.notifyPeer(address, s.conn)
	case s.err == nil:
		s.conn.Close()
	}
}

// timedOut reports whether an error is a timeout, so that the peer did not respond in
// time.
func timedOut(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}
