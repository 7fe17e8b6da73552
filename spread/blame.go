// SPDX-License-Identifier: MIT

package spread

import (
	"time"

	"github.com/ryehaven/ryehaven/blame"
	"github.com/ryehaven/ryehaven/wire"
)

// TopicBlame is the topic of a query with a blameMessage; the reply is one too. A node that
// does not support the topic replies with an error, which is ignored.
const TopicBlame wire.Topic = "blame"

// Blame holds a node's records of requests under which backend servers have crashed.
type Blame interface {
	// Sum returns a checksum of all records; 0 if there are none.
	Sum(now time.Time) uint64
	Records(now time.Time) []blame.Record
	// Merge adds another node's records and reports whether any was new.
	Merge(now time.Time, records []blame.Record) (changed bool)
}

// blameMessage holds the sender's records of requests under which backend servers have
// crashed.
type blameMessage struct {
	// Sum is the checksum of all of the sender's records. Records is empty if the sender first
	// wants to know whether the checksums differ.
	Sum     uint64
	Records []blame.Record
}

// blameSyncTimeout bounds how long a request waits for the records of another node; it allows
// for some round trips between zones.
const blameSyncTimeout = 20 * time.Millisecond

// SyncBlame exchanges blame records with the node at an address.
func (s *Spread) SyncBlame(address string) {
	if l, err := s.connect(address, blameSyncTimeout); err == nil {
		s.syncBlame(l, "", blameSyncTimeout, true)
	}
}

// PublishBlame exchanges digests and blame records with nodes of every zone at once, after
// this node's blame records have changed.
func (s *Spread) PublishBlame() { wake(s.broadcast) }

// syncBlame exchanges blame records with one node. Unless the records are needed immediately,
// only the checksum is sent first: checksums are equal except for a short time after a crash.
func (s *Spread) syncBlame(l link, host string, limit time.Duration, immediate bool) {
	if s.settings.Blame == nil {
		return
	}
	now := time.Now()
	m := blameMessage{Sum: s.settings.Blame.Sum(now)}
	if m.Sum == 0 && !immediate && s.blameSynced.Load() {
		return // A node that has records sends them.
	}
	if immediate {
		m.Records = s.settings.Blame.Records(now)
	}
	reply, err := s.queryBlame(l, host, &m, limit)
	if err != nil {
		return // The next round tries another node.
	}
	s.blameSynced.Store(true)
	s.mergeBlame(reply.Records)
	if !immediate && m.Sum != 0 && reply.Sum != m.Sum {
		m.Records = s.settings.Blame.Records(now)
		_, _ = s.queryBlame(l, host, &m, limit) // On failure, the next round tries another node.
	}
}

func (s *Spread) queryBlame(l link, host string, m *blameMessage, limit time.Duration) (reply blameMessage, err error) {
	payload := wire.EncodeControl(m)
	s.countSent(host, len(payload))
	answer, err := l.Ask(TopicBlame, payload, limit)
	if err != nil {
		return reply, err
	}
	return reply, decode(answer, &reply)
}

// answerBlame merges another node's records and replies with this node's records if the
// checksums differ.
func (s *Spread) answerBlame(payload []byte) ([]byte, error) {
	var m blameMessage
	if err := decode(payload, &m); err != nil {
		return nil, err
	}
	if s.settings.Blame == nil {
		return wire.EncodeControl(&blameMessage{Sum: m.Sum}), nil
	}
	s.mergeBlame(m.Records)
	now := time.Now()
	reply := blameMessage{Sum: s.settings.Blame.Sum(now)}
	if reply.Sum != m.Sum {
		reply.Records = s.settings.Blame.Records(now)
	}
	return wire.EncodeControl(&reply), nil
}

// mergeBlame merges records and starts exchanges with other nodes if any was new.
func (s *Spread) mergeBlame(records []blame.Record) {
	if len(records) > 0 && s.settings.Blame.Merge(time.Now(), records) {
		s.requestGossip()
	}
}
