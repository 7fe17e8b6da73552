// SPDX-License-Identifier: MIT

package spread

import (
	"time"

	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/peer"
)

// OutboundConnected is called after this node has opened a connection to another node. If the
// other node is new or has restarted, it knows nothing yet, so digests are exchanged with it
// at once.
func (s *Spread) OutboundConnected(identity peer.Identity, address string) {
	s.mu.Lock()
	superseded := s.view.Supersede(time.Now(), identity.Host, address)
	s.mu.Unlock()
	if superseded {
		s.onViewChange()
		s.requestGossip()
	}
	record, known := s.recordOf(identity.Host)
	if known && record.Incarnation == identity.Incarnation && record.Address == address {
		return
	}
	s.handshake(member.Record{Host: identity.Host, Address: address})
}

// InboundConnected is called after another node has opened a connection to this one.
func (s *Spread) InboundConnected(identity peer.Identity) {
	record, known := s.recordOf(identity.Host)
	if !known || record.Incarnation == identity.Incarnation {
		return // An unknown node sends its record, with its address, in its own exchange.
	}
	s.handshake(record)
}

// handshake requests the record of a node's new incarnation and sends it the record of its
// previous one. It is an exchange of digests, and not the handshake in which package peer proves
// the shared key. Many nodes connect to a restarted node at the same time, so all records are
// compared only if the other node, or this one, knows no other nodes.
func (s *Spread) handshake(target member.Record) {
	s.exchange(target, !s.isolated(time.Now()))
}

func (s *Spread) recordOf(host string) (member.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, ok := s.view.Record(host)
	return record, ok
}
