// SPDX-License-Identifier: MIT

// Package measure bounds what measuring a backend server costs and judges
// what the server says of itself.
//
// Only a server's own gate measures it, so the cost grows neither with the
// entries nor with the load. [Bucket] bounds the calls: it starts empty and
// holds at most one, so that a node that was restarted, replaced or frozen
// cannot spend more than the row's rate in any stretch of time.
//
// A server's report lags and may mislead. [Report] can therefore only lower
// trust: a server that says it is draining gets no new work, and nothing that a
// server says raises admission above what its gate sees.
//
// The package imports no network and reads no clock.
package measure

import (
	"encoding/json"
	"time"
)

// Bucket allows calls at a rate with a burst of one. The zero value starts
// empty at its first Take. It is not safe for concurrent use.
type Bucket struct {
	// Rate is the calls a second; 0 allows none.
	Rate float64

	next    time.Time
	started bool
}

// Take reports whether a call may be made now and pays for it.
func (b *Bucket) Take(now time.Time) bool {
	if b.Rate <= 0 {
		return false
	}
	gap := time.Duration(float64(time.Second) / b.Rate)
	if !b.started {
		b.started = true
		b.next = now.Add(gap)
		return false
	}
	if now.Before(b.next) {
		return false
	}
	b.next = now.Add(gap)
	return true
}

// Report is what a backend server says of itself.
type Report struct {
	// Draining says that the server wants no new work.
	Draining bool `json:"draining"`
	// Load is the busy share of the server's slots, from 0 to 1.
	Load float64 `json:"load"`
}

// Parse reads the answer of a server's report; ok is false when it cannot be
// read, which means no more than that the server offers none. A server drains
// only when it says so in words: a status of 503 alone may be a busy moment.
func Parse(body []byte) (r Report, ok bool) {
	if err := json.Unmarshal(body, &r); err != nil {
		return Report{}, false
	}
	r.Load = min(max(r.Load, 0), 1)
	return r, true
}
