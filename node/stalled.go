// SPDX-License-Identifier: MIT

package node

import (
	"sync"
	"time"
)

// Connections rarely stall one at a time: a network device that has lost the state of one
// connection has usually lost that of all. When one connection is found stalled, the others
// are checked at once, so that no request has to wait on one of them before it is detected.

// renewInterval is the least time between two renewals of the connections to servers. A
// renewal replaces each idle connection by a new one.
const renewInterval = time.Second

// renewalLimiter limits how often connections to servers are renewed. The zero value is
// ready to use.
type renewalLimiter struct {
	mu      sync.Mutex
	renewed time.Time
}

// allow reports whether connections to servers may be renewed now.
func (l *renewalLimiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.renewed) < renewInterval {
		return false
	}
	l.renewed = now
	return true
}

// connectionStalled is called when either side of a connection between this node and another
// has found it stalled. It checks all other connections of this node.
func (n *Node) connectionStalled() {
	n.dialer.Recheck()
	n.spread.Recheck()
	if !n.renewals.allow(time.Now()) {
		return
	}
	for _, g := range n.allGates() {
		g.SuspectConnections()
	}
}
