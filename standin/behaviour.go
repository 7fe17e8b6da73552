// SPDX-License-Identifier: MIT

package standin

import (
	"math/rand/v2"
	"time"
)

// Behaviour is how a server acts. The zero value answers at once, one request
// at a time.
type Behaviour struct {
	// Slots is how many requests are worked on at a time; others wait.
	Slots int `json:"slots"`
	// ServiceMicros is the mean work of a request; Exponential draws it.
	ServiceMicros int64 `json:"service_us"`
	Exponential   bool  `json:"exponential"`
	// In each period of SlowEveryMillis, work goes SlowFactor times slower for
	// SlowForMillis, from SlowOffsetMillis on.
	SlowFactor       float64 `json:"slow_factor"`
	SlowEveryMillis  int64   `json:"slow_every_ms"`
	SlowForMillis    int64   `json:"slow_for_ms"`
	SlowOffsetMillis int64   `json:"slow_offset_ms"`
	// FailShare of the requests are answered 500 at once.
	FailShare float64 `json:"fail_share"`
	// Shed answers 503 with Retry-After at once, without running.
	Shed bool `json:"shed"`
	// Frozen takes requests and answers none.
	Frozen bool `json:"frozen"`
	// ColdMillis is how long after the start work goes SlowFactor times slower.
	ColdMillis int64 `json:"cold_ms"`
	// Draining and ReportLoad are what the server reports, true or not.
	Draining   bool    `json:"draining"`
	ReportLoad float64 `json:"report_load"`
	// NextEntry and NextService send a call on through the node at an address
	// before the answer; its failure is answered 503.
	NextEntry   string `json:"next_entry"`
	NextService string `json:"next_service"`
}

// work returns the drawn work of one request.
func (b *Behaviour) work() time.Duration {
	mean := time.Duration(b.ServiceMicros) * time.Microsecond
	if !b.Exponential {
		return mean
	}
	return time.Duration(rand.ExpFloat64() * float64(mean))
}

// pace returns how much slower than usual work goes at a time, and how long
// that holds.
func (b *Behaviour) pace(now, started time.Time) (factor float64, holds time.Duration) {
	const forever = time.Hour
	if cold := time.Duration(b.ColdMillis)*time.Millisecond - now.Sub(started); cold > 0 {
		return max(b.SlowFactor, 1), cold
	}
	if b.SlowFactor <= 1 || b.SlowEveryMillis <= 0 {
		return 1, forever
	}
	period := time.Duration(b.SlowEveryMillis) * time.Millisecond
	slow := time.Duration(b.SlowForMillis) * time.Millisecond
	offset := time.Duration(b.SlowOffsetMillis) * time.Millisecond
	at := time.Duration((now.UnixNano() - int64(offset)) % int64(period))
	if at < 0 {
		at += period
	}
	if at < slow {
		return b.SlowFactor, slow - at
	}
	return 1, period - at
}
