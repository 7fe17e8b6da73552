// SPDX-License-Identifier: MIT

package peer

import (
	"sync"
	"time"

	"github.com/ryehaven/ryehaven/wire"
)

// Bounds of the answers that are kept in case that their connection has gone silent.
const (
	// sentFor is how long: a silence is found within a fraction of a second, and
	// what is older has outlived most deadlines.
	sentFor = 2 * time.Second
	// sentBytes bounds all of them together, in a node that takes some 16 MB: sentFor of
	// answers up to 6 kB at 77 a second, the mean per server of the largest known site,
	// 280 ms of 1 kB at 3,000 a second, and 110 ms of 90 kB at 100 a second, hardly
	// longer than a silence takes to be found. Older ones end as unknown then.
	sentBytes = 1 << 20
	// sentOverhead is what one takes beside its fields and body, about.
	sentOverhead = 256
)

// sentAnswer is a request's last message that may not have reached its entry.
type sentAnswer struct {
	conn *accepted
	id   uint64
	at   time.Time
	size int
	m    wire.Message
}

// sentList holds the answers of late, the oldest first. The zero value is empty.
type sentList struct {
	mu      sync.Mutex
	answers []sentAnswer
	size    int
}

func (l *sentList) add(s sentAnswer) {
	s.size = sentOverhead
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
	for l.size > sentBytes || s.at.Sub(l.answers[old].at) > sentFor {
		l.size -= l.answers[old].size
		l.answers[old] = sentAnswer{}
		if old++; old == len(l.answers) {
			break
		}
	}
	l.answers = l.answers[old:]
}

// of returns the answer to a request of a connection, or nil if it is not kept.
func (l *sentList) of(conn *accepted, id uint64) wire.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.answers {
		if s.conn == conn && s.id == id {
			return s.m
		}
	}
	return nil
}
