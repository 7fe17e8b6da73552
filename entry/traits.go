// SPDX-License-Identifier: MIT

package entry

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/retry"
	"github.com/ryehaven/ryehaven/table"
)

// traits are what an entry has learned of a route's requests. The zero value
// has learned nothing.
type traits struct {
	mu    sync.Mutex
	delay retry.Delay
	bytes float64
	// latency holds the time of whole answers in histogramUnit; nil until there
	// is one.
	latency *hdrhistogram.Histogram
}

// The histograms of latency: their unit, their longest value in it and their
// digits, which make about 20 KB a route.
const (
	histogramUnit   = 100 * time.Microsecond
	histogramMost   = int64(time.Minute / histogramUnit)
	histogramDigits = 2
)

// Latency sums up the latency of one route's answers.
type Latency struct {
	Route string `json:"route"`
	Count int64  `json:"count"`
	// The quantiles are in milliseconds.
	P50 float64 `json:"p50_ms"`
	P90 float64 `json:"p90_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Latencies returns the latency of every route that had answers, by route.
func (e *Entry) Latencies() []Latency {
	e.traitsMu.Lock()
	defer e.traitsMu.Unlock()
	var all []Latency
	for route, t := range e.traits {
		if l, ok := t.summary(); ok {
			l.Route = route
			all = append(all, l)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Route < all[j].Route })
	return all
}

func (t *traits) summary() (Latency, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latency == nil {
		return Latency{}, false
	}
	at := func(quantile float64) float64 {
		return float64(t.latency.ValueAtQuantile(quantile)) * histogramUnit.Seconds() * 1000
	}
	return Latency{Count: t.latency.TotalCount(), P50: at(50), P90: at(90), P99: at(99), Max: at(100)}, true
}

// bytesShare weighs one request in the mean of bytes.
const bytesShare = 0.05

// observe takes an answer: its latency and the bytes of request and answer.
func (t *traits) observe(latency time.Duration, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delay.Observe(latency)
	if t.latency == nil {
		t.latency = hdrhistogram.New(1, histogramMost, histogramDigits)
	}
	_ = t.latency.RecordValue(min(max(int64(latency/histogramUnit), 1), histogramMost)) // Within its range.
	if t.bytes == 0 {
		t.bytes = float64(bytes)
	}
	t.bytes += bytesShare * (float64(bytes) - t.bytes)
}

// demand returns what a request of the route asks whose aim is at a time.
func (t *traits) demand(now, aim time.Time) balance.Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	usual, _ := t.delay.Median()
	return balance.Demand{Work: usual, Aim: max(aim.Sub(now), time.Millisecond), Bytes: t.bytes}
}

// after returns when such a request has waited unusually long.
func (t *traits) after() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.delay.After()
}

// longestQuantile is the percentile that longest goes by, once longestLeast answers
// tell of it.
const (
	longestQuantile = 99
	longestLeast    = 20
)

// longest is what all but a few answers of the route took, or as long as it takes
// while too little is known.
func (t *traits) longest() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latency == nil || t.latency.TotalCount() < longestLeast {
		return math.MaxInt64
	}
	return time.Duration(t.latency.ValueAtQuantile(longestQuantile)) * histogramUnit
}

// traitsOf returns what is known of a route's requests.
func (e *Entry) traitsOf(route *table.Route) *traits {
	key := route.Host + route.Prefix
	e.traitsMu.Lock()
	defer e.traitsMu.Unlock()
	t := e.traits[key]
	if t == nil {
		t = &traits{}
		e.traits[key] = t
	}
	return t
}

// dropTraits forgets routes that the table no longer has.
func (e *Entry) dropTraits(t *table.Table) {
	known := map[string]bool{}
	for _, r := range t.Routes() {
		known[r.Host+r.Prefix] = true
	}
	e.traitsMu.Lock()
	defer e.traitsMu.Unlock()
	for key := range e.traits {
		if !known[key] {
			delete(e.traits, key)
		}
	}
}
