// SPDX-License-Identifier: MIT

package spread

import (
	"github.com/ryehaven/ryehaven/calls"
	"github.com/ryehaven/ryehaven/wire"
)

// TopicCalls is the topic of a query with a callsMessage; the reply is one too. A node that
// does not support the topic replies with an error, which is ignored.
const TopicCalls wire.Topic = "calls"

// Calls holds a node's records of the calls of routes.
type Calls interface {
	// Sum returns a checksum of all records; 0 if there are none.
	Sum() uint64
	Records() []calls.Record
	// Merge adds another node's records and returns how many were new.
	Merge(records []calls.Record) (added int)
}

// callsMessage holds the sender's records of the calls of routes.
type callsMessage struct {
	Records []calls.Record
}

// emptyCallsSum is the checksum in a digest of a node that supports TopicCalls and has no
// records; 0 means that the node does not support the topic.
const emptyCallsSum = 1

// callsSum returns the checksum of the records of calls, as sent in a digest.
func (s *Spread) callsSum() uint64 {
	if s.settings.Calls == nil {
		return 0
	}
	return max(s.settings.Calls.Sum(), emptyCallsSum)
}

// syncCalls exchanges records of calls with a node if the checksum in its digest differs.
// Nothing is sent if both nodes have no records.
func (s *Spread) syncCalls(l link, theirs digest) {
	if s.settings.Calls == nil || theirs.Calls == 0 || theirs.Calls == s.callsSum() {
		return
	}
	var reply callsMessage
	request := callsMessage{Records: s.settings.Calls.Records()}
	if err := s.query(l, theirs.Host, TopicCalls, &request, &reply); err != nil {
		return // The next round tries another node.
	}
	s.settings.Calls.Merge(reply.Records)
}

// answerCalls merges another node's records and replies with those of this node that the other
// lacks.
func (s *Spread) answerCalls(payload []byte) ([]byte, error) {
	var m callsMessage
	if err := decode(payload, &m); err != nil {
		return nil, err
	}
	var reply callsMessage
	if s.settings.Calls != nil {
		s.settings.Calls.Merge(m.Records)
		reply.Records = missingFrom(m.Records, s.settings.Calls.Records())
	}
	return wire.EncodeControl(&reply), nil
}

// missingFrom returns the records that are not among those sent.
func missingFrom(sent, records []calls.Record) []calls.Record {
	had := make(map[calls.Record]bool, len(sent))
	for _, r := range sent {
		had[r] = true
	}
	var differ []calls.Record
	for _, r := range records {
		if !had[r] {
			differ = append(differ, r)
		}
	}
	return differ
}
