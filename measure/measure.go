// SPDX-License-Identifier: MIT

// Package measure limits the rate at which a backend server is probed and
// parses the status report that the server returns.
//
// Only a server's own gate probes it, so the cost grows neither with the number
// of entries nor with the load. [Bucket] limits the probes: it starts empty and
// holds at most one token, so that a node that was restarted, replaced or
// paused never exceeds the rate of the server's table row in any period.
//
// A server's report is delayed and may be wrong. A [Report] can therefore only
// restrict the server: one that reports that it is draining gets no new work, and
// nothing that a server reports raises admission above what its gate observes.
//
// The package does no network I/O and reads no clock: callers pass the current time.
package measure

import (
	"encoding/json"
	"time"
)

// Bucket is a token bucket that holds at most one token: it allows probes at a
// rate, without bursts. It is empty at its first Take. It is not safe for
// concurrent use.
type Bucket struct {
	// Rate is the number of probes a second; 0 allows none.
	Rate float64

	// next is when the next probe is allowed.
	next    time.Time
	started bool
}

// Take reports whether a probe may be sent now, and if so takes the token.
func (b *Bucket) Take(now time.Time) bool {
	if b.Rate <= 0 {
		return false
	}
	interval := time.Duration(float64(time.Second) / b.Rate)
	if !b.started {
		b.started = true
		b.next = now.Add(interval)
		return false
	}
	if now.Before(b.next) {
		return false
	}
	b.next = now.Add(interval)
	return true
}

// Report is what a backend server reports about itself.
type Report struct {
	// Draining says that the server accepts no new work.
	Draining bool `json:"draining"`
	// Load is the busy share of the server's slots, from 0 to 1.
	Load float64 `json:"load"`
}

// Parse decodes a server's report; ok is false when that fails, which only means
// that the server offers no report. A server counts as draining only when its report
// says so: a status of 503 alone may mean that it is busy for a moment.
func Parse(body []byte) (r Report, ok bool) {
	if err := json.Unmarshal(body, &r); err != nil {
		return Report{}, false
	}
	r.Load = min(max(r.Load, 0), 1)
	return r, true
}
