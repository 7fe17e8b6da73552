// SPDX-License-Identifier: MIT

package peer

import (
	"sync"
	"time"

	"github.com/ryehaven/ryehaven/wire"
)

// Bounds of the answers that are kept in case their connection has stalled.
const (
	// keepAnswerFor is how long an answer is kept: a stalled connection is found within a
	// fraction of a second, and older answers have outlived most deadlines.
	keepAnswerFor = 2 * time.Second
	// maxKeptBytes bounds all kept answers together, in a node that takes some 16 MB of
	// memory. It holds keepAnswerFor of answers up to 6 kB at 77 a second, the mean per
	// server of the largest known site, 280 ms of 1 kB at 3,000 a second, and 110 ms of 90
	// kB at 100 a second, which is hardly longer than it takes to find a stalled
	// connection. Requests whose answers are no longer kept end with an unknown outcome if
	// their connection stalls.
	maxKeptBytes = 1 << 20
	// answerOverhead is roughly what a kept answer takes in addition to its fields and body, in
	// bytes.
	answerOverhead = 256
)

// sentAnswer is the last message of a request, which may not have reached the entry.
type sentAnswer struct {
	conn *acceptedConn
	id   uint64
	at   time.Time
	size int
	m    wire.Message
}

// sentAnswers holds the answers sent recently, the oldest first. The zero value is empty.
type sentAnswers struct {
	mu      sync.Mutex
	answers []sentAnswer
	size    int
}

func (l *sentAnswers) add(s sentAnswer) {
	s.size = answerOverhead
	if r, ok := s.m.(*wire.Response); ok {
		s.size += len(r.Body)
		for _, f := range r.Header {
			s.size += len(f.Name) + len(f.Value)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, s)
	l.size += s.size
	old := 0
	for l.size > maxKeptBytes || s.at.Sub(l.answers[old].at) > keepAnswerFor {
		l.size -= l.answers[old].size
		l.answers[old] = sentAnswer{}
		if old++; old == len(l.answers) {
			break
		}
	}
	l.answers = l.answers[old:]
}

// find returns the answer to a request of a connection, or nil if it is not kept.
func (l *sentAnswers) find(conn *acceptedConn, id uint64) wire.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.answers {
		if s.conn == conn && s.id == id {
			return s.m
		}
	}
	return nil
}
