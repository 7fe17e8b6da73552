// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/ryehaven/ryehaven/announce"
	"github.com/ryehaven/ryehaven/gate"
)

// ErrDisputed is returned for the announcement of a server while another one answers
// at its address, or nobody; its next announcement may be taken.
var ErrDisputed = eris.New("another server is known at this address")

// whoLimit bounds the question who stands at the server's address: it answers within a
// millisecond or two, and an announcement waits a second for its own answer.
const whoLimit = 300 * time.Millisecond

// disputeFor is how long after a disputed announcement another one of the same server
// is believed although nobody answers at the address: servers announce themselves each
// second or two, and late announcements come together.
const disputeFor = time.Second

// dispute is the last announcement that was not taken.
type dispute struct {
	id string
	at time.Time
}

// again reports whether a server insists.
func (d dispute) again(id string, now time.Time) bool {
	return d.id == id && now.Sub(d.at) >= disputeFor
}

// disputed reports whether an announcement is not to be taken, since another server
// stands at the address. It is late then: its sender crashed before the other came, and
// taking it would leave the node without the one that is there.
func (n *Node) disputed(a announce.Announcement) bool {
	n.mu.Lock()
	disputes, path := n.registry.Disputes(a), n.servicePath()
	n.mu.Unlock()
	if !disputes || path == "" {
		return false
	}
	id := gate.Who(n.settings.Sidecar.Server, path, n.settings.Sidecar.Service, &n.dialect, whoLimit)
	if id == a.ID {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if id == "" && n.dispute.again(a.ID, now) {
		return false
	}
	current := n.registry.Current().ID
	if id == current && id != "" {
		n.registry.Deny(a.ID)
	}
	n.dispute = dispute{id: a.ID, at: now}
	n.log.Info("announcement not taken, another server is at its address",
		zap.String("id", a.ID), zap.String("current", current), zap.String("answered", id))
	return true
}
