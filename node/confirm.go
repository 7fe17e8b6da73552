// SPDX-License-Identifier: MIT

package node

import (
	"context"
	"time"

	"github.com/ryehaven/ryehaven/announce"
	"github.com/ryehaven/ryehaven/member"
)

// A departure that a node has acknowledged may be forgotten if the node's process ends, and an
// announcement that was sent before it may arrive after that. The server at the address is
// therefore asked before it gets the first request of a process.

const (
	// maxAnnouncementDelay is how late an announcement may arrive. A server whose announcement
	// arrives longer than that after the process has started has not left before the start.
	maxAnnouncementDelay = 5 * time.Second
	// confirmTimeout is how long after the start of the process a server that answers, but does
	// not say whether it accepts requests or leaves, is taken for one whose health check fails.
	confirmTimeout = 10 * time.Second
	// minConfirmInterval is the time between the first two queries. It doubles up to
	// maxConfirmInterval.
	minConfirmInterval = 50 * time.Millisecond
	maxConfirmInterval = time.Second
)

// confirmAnnounced asks the server that has announced itself, if that must be confirmed.
func (n *Node) confirmAnnounced(a announce.Announcement) {
	if !n.mustAskAgain() {
		return
	}
	if time.Since(n.started) < maxAnnouncementDelay {
		n.wakeConfirmation()
		return
	}
	name := member.ServerIncarnation{ID: a.ID, StartMillis: a.StartMillis}.Name()
	n.updateRegistry("announced long after the node started", func(r *announce.Registry) { r.Confirm(name) })
}

func (n *Node) wakeConfirmation() {
	select {
	case n.unconfirmed <- struct{}{}:
	default:
	}
}

// confirmServers asks servers that must be confirmed until they are or another one is current.
func (n *Node) confirmServers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.unconfirmed:
		}
		for pause := minConfirmInterval; n.mustAskAgain(); pause = min(2*pause, maxConfirmInterval) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
		}
	}
}

// mustAskAgain asks the server that must be confirmed, if there is one, and reports whether it must
// be asked again.
func (n *Node) mustAskAgain() bool {
	n.mu.Lock()
	name, path, hasTable := n.registry.Unconfirmed(), n.servicePath(), n.applied != nil
	n.mu.Unlock()
	if name == "" || !hasTable {
		return name != ""
	}
	if path == "" {
		n.updateRegistry("known, and its service has no health path", func(r *announce.Registry) { r.Confirm(name) })
		return false
	}
	found, ok := n.queryServer(path, serverQueryTimeout)
	switch {
	case !ok:
		return true
	case found.ID != member.ServerIncarnationOf(name).ID:
		n.serverDisplaced(name)
	case found.Leaving:
		n.serverLeaving(name)
	case found.Accepting || time.Since(n.started) >= confirmTimeout:
		n.updateRegistry("confirmed at its address", func(r *announce.Registry) { r.Confirm(name) })
	default:
		return true
	}
	return false
}
