// SPDX-License-Identifier: MIT

package node

import (
	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/peer"
)

// peerConnected is called when another node has opened a connection to this one. If this
// node has found the other one unresponsive, it dials it again at once. If the other node
// has restarted, this node exchanges records with it.
func (n *Node) peerConnected(who peer.Identity) {
	var record member.Record
	n.spread.View(func(v *member.View) { record, _ = v.Record(who.Host) })
	n.dialer.PeerConnected(record.Address) // An empty address of an unknown node has no effect.
	n.spread.InboundConnected(who)
}

// maxMemberLines is the number of changed member records up to which each gets a log line
// of its own; more are summarized in one line. Otherwise a node that starts among 300
// others would use up the log's rate limit for a second and log no requests meanwhile.
const maxMemberLines = 8

// logMemberChanges logs the changes of other nodes' records since the last call. It is
// called with the lock held.
func (n *Node) logMemberChanges(records map[string]member.Record) {
	var changed []member.Record
	for host, r := range records {
		before, known := n.members[host]
		if host != n.settings.Host && (!known || !sameLogFields(before, r)) {
			changed = append(changed, r)
		}
	}
	if len(changed) > maxMemberLines {
		n.recorder.Record(summarize(n.members, changed, len(records)))
	} else {
		for _, r := range changed {
			n.recorder.Record(memberEvent(r))
		}
	}
	n.members = records
}

func memberEvent(r member.Record) *event.Member {
	return &event.Member{
		Host:        r.Host,
		Address:     r.Address,
		Incarnation: r.Incarnation,
		State:       r.State.String(),
		Server:      r.Server.ID,
		ServerState: r.Server.State.String(),
	}
}

// summarize returns the event for many changes at once.
func summarize(before map[string]member.Record, changed []member.Record, known int) *event.Members {
	m := &event.Members{Changed: len(changed), Known: known}
	for _, r := range changed {
		old, wasKnown := before[r.Host]
		switch {
		case !wasKnown:
			m.New++
		case old.Incarnation != 0 && old.Incarnation != r.Incarnation:
			m.Restarted++
		}
		if r.State != member.Live {
			m.Leaving++
		}
		if r.Server.ID != old.Server.ID {
			m.Servers++
		}
	}
	return m
}

// sameLogFields reports whether two records have the same values in the fields that are
// logged.
func sameLogFields(a, b member.Record) bool {
	return a.Address == b.Address && a.Incarnation == b.Incarnation && a.State == b.State && a.Server == b.Server
}
