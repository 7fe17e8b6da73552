// SPDX-License-Identifier: MIT

package spread

import (
	"github.com/ryehaven/ryehaven/calls"
	"github.com/ryehaven/ryehaven/wire"
)

// TopicCalls carries a callsMessage and is answered with one. A node that does not know
// the topic answers with an error, and nothing is lost by that.
const TopicCalls wire.Topic = "calls"

// Calls is what a node knows of the calls of routes.
type Calls interface {
	// Sum is a number for all that is known, 0 if that is nothing.
	Sum() uint64
	Records() []calls.Record
	// Merge takes another node's records and returns how many were news.
	Merge(records []calls.Record) (news int)
}

// callsMessage carries what the sender knows of the calls of routes.
type callsMessage struct {
	Records []calls.Record
}

// knowsTopic is what a digest says of what is known of calls if that is nothing: 0 is said
// by nodes that don't know the topic.
const knowsTopic = 1

// callsSum is what a digest says of what is known of calls.
func (s *Spread) callsSum() uint64 {
	if s.settings.Calls == nil {
		return 0
	}
	return max(s.settings.Calls.Sum(), knowsTopic)
}

// compareCalls exchanges what is known of calls with a node whose digest says that it
// knows something else. Where neither knows anything, nothing is sent.
func (s *Spread) compareCalls(l link, theirs digest) {
	if s.settings.Calls == nil || theirs.Calls == 0 || theirs.Calls == s.callsSum() {
		return
	}
	var reply callsMessage
	question := callsMessage{Records: s.settings.Calls.Records()}
	if err := s.ask(l, theirs.Host, TopicCalls, &question, &reply); err != nil {
		return // The next round compares with another.
	}
	s.settings.Calls.Merge(reply.Records)
}

// answerCalls takes another node's records and returns this node's if they differ.
func (s *Spread) answerCalls(payload []byte) ([]byte, error) {
	var m callsMessage
	if err := decode(payload, &m); err != nil {
		return nil, err
	}
	var reply callsMessage
	if s.settings.Calls != nil {
		s.settings.Calls.Merge(m.Records)
		reply.Records = newerThan(m.Records, s.settings.Calls.Records())
	}
	return wire.EncodeControl(&reply), nil
}

// newerThan returns those of some records that are not among what was sent.
func newerThan(sent, records []calls.Record) []calls.Record {
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
