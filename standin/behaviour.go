// SPDX-License-Identifier: MIT

package standin

import (
	"math/rand/v2"
	"time"
)

// Behaviour describes how a server treats requests. With the zero value it answers at
// once, one request at a time.
type Behaviour struct {
	// Slots is how many requests are executed at a time; others wait.
	Slots int `json:"slots"`
	// ServiceMicros is the mean service time of a request at the usual speed. With
	// Exponential, service times are drawn from an exponential distribution of that mean;
	// otherwise all are equal.
	ServiceMicros int64 `json:"service_us"`
	Exponential   bool  `json:"exponential"`
	// In each period of SlowEveryMillis, the server is SlowFactor times slower for
	// SlowForMillis, starting at SlowOffsetMillis.
	SlowFactor       float64 `json:"slow_factor"`
	SlowEveryMillis  int64   `json:"slow_every_ms"`
	SlowForMillis    int64   `json:"slow_for_ms"`
	SlowOffsetMillis int64   `json:"slow_offset_ms"`
	// FailShare is the share of requests that are answered with status 500 at once.
	FailShare float64 `json:"fail_share"`
	// Shed answers every request with 503 and Retry-After at once, without executing it.
	Shed bool `json:"shed"`
	// Frozen accepts requests and answers none.
	Frozen bool `json:"frozen"`
	// ColdMillis is for how long after its start the server is SlowFactor times slower.
	ColdMillis int64 `json:"cold_ms"`
	// Draining and ReportLoad are the values in the server's report. They need not match
	// its actual state.
	Draining   bool    `json:"draining"`
	ReportLoad float64 `json:"report_load"`
	// If NextService is set, the server calls that service, through the node with the
	// caller address NextEntry, before it answers. If the call fails, it answers with 503.
	NextEntry   string `json:"next_entry"`
	NextService string `json:"next_service"`
}

// requestWork returns the service time of one request at the usual speed.
func (b *Behaviour) requestWork() time.Duration {
	mean := time.Duration(b.ServiceMicros) * time.Microsecond
	if !b.Exponential {
		return mean
	}
	return time.Duration(rand.ExpFloat64() * float64(mean))
}

// slowdownAt returns the factor by which the server is slower than usual at a time, and
// for how long from then that factor is valid. started is the server's start.
func (b *Behaviour) slowdownAt(now, started time.Time) (factor float64, validFor time.Duration) {
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
	phase := time.Duration((now.UnixNano() - int64(offset)) % int64(period))
	if phase < 0 {
		phase += period
	}
	if phase < slow {
		return b.SlowFactor, slow - phase
	}
	return 1, period - phase
}
