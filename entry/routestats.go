// SPDX-License-Identifier: MIT

package entry

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ryehaven/ryehaven/age"
	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/calls"
	"github.com/ryehaven/ryehaven/retry"
	"github.com/ryehaven/ryehaven/table"
)

// routeStats is what an entry has learned about a route's requests. In the zero value
// nothing has been learned.
type routeStats struct {
	// callRoute identifies the route in package calls.
	callRoute calls.Route

	mu sync.Mutex
	// admission is the share of the route's requests that is admitted because there is
	// headroom for their calls.
	admission calls.Throttle
	delay     retry.LatencyEstimate
	// work is the time from sending a request to its answer, at a server of usual speed.
	// assumedWork takes its place until there is an answer.
	work        retry.LatencyEstimate
	assumedWork time.Duration
	meanBytes   float64
	split       split
	// callerTimeouts is what is known about the timeouts that callers state.
	callerTimeouts age.TimeoutHistogram
	// latency holds the latency of complete answers in histogramUnit; nil until there is
	// an answer.
	latency *hdrhistogram.Histogram
}

// The unit, the largest value (in that unit) and the significant digits of latency
// histograms, which take about 20 KB per route with these.
const (
	histogramUnit   = 100 * time.Microsecond
	histogramMax    = int64(time.Minute / histogramUnit)
	histogramDigits = 2
)

// Latency summarizes the latency of one route's answers.
type Latency struct {
	Route string `json:"route"`
	Count int64  `json:"count"`
	// The quantiles are in milliseconds.
	P50 float64 `json:"p50_ms"`
	P90 float64 `json:"p90_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Latencies returns the latency of every route that had answers, sorted by route.
func (e *Entry) Latencies() []Latency {
	e.routeStatsMu.Lock()
	defer e.routeStatsMu.Unlock()
	var all []Latency
	for route, t := range e.routeStats {
		if l, ok := t.summary(); ok {
			l.Route = route
			all = append(all, l)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Route < all[j].Route })
	return all
}

func (t *routeStats) summary() (Latency, bool) {
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

// meanBytesWeight is the weight of one request in the moving average of bytes.
const meanBytesWeight = 0.05

// atUsualSpeed converts a time into what it would have been at a server of usual speed.
// slowness is that of the server which took the time, in percent, or 0 if not known.
func atUsualSpeed(took time.Duration, slowness int) time.Duration {
	if slowness <= 0 {
		return took
	}
	return time.Duration(float64(took) * 100 / float64(slowness))
}

// observe records an answer: its latency, the slowness of its server when it began, in
// percent, and the size of request and answer in bytes.
func (t *routeStats) observe(latency time.Duration, slowness, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delay.Observe(latency)
	t.work.Observe(atUsualSpeed(latency, slowness))
	if t.latency == nil {
		t.latency = hdrhistogram.New(1, histogramMax, histogramDigits)
	}
	_ = t.latency.RecordValue(min(max(int64(latency/histogramUnit), 1), histogramMax)) // The value is within the histogram's range.
	if t.meanBytes == 0 {
		t.meanBytes = float64(bytes)
	}
	t.meanBytes += meanBytesWeight * (float64(bytes) - t.meanBytes)
}

// demand returns what a request of the route with the given aim needs from a server.
func (t *routeStats) demand(now, aim time.Time) balance.Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	usual, _ := t.work.Median()
	if usual == 0 {
		usual = t.assumedWork
	}
	return balance.Demand{Work: usual, Aim: max(aim.Sub(now), time.Millisecond), Bytes: t.meanBytes}
}

// fastQuartile is the time at a server of usual speed that a quarter of such requests
// stay below; 0 until there is an answer.
func (t *routeStats) fastQuartile() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	quick, _ := t.work.LowerQuartile()
	return quick
}

// drawShare draws the next request's position among the route's shares.
func (t *routeStats) drawShare(total int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.split.draw(total)
}

// unusualDelay returns after what time such a request is unusually slow.
func (t *routeStats) unusualDelay() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.delay.HedgeDelay()
}

// usualMaxPercentile is the percentile of latencies that usualMax returns, once there are
// usualMaxMinAnswers answers.
const (
	usualMaxPercentile = 99
	usualMaxMinAnswers = 20
)

// usualMax is the time that all but a few answers of the route took. It is the longest
// possible time until enough answers were seen.
func (t *routeStats) usualMax() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latency == nil || t.latency.TotalCount() < usualMaxMinAnswers {
		return math.MaxInt64
	}
	return time.Duration(t.latency.ValueAtQuantile(usualMaxPercentile)) * histogramUnit
}

// aimToWorkRatio is the assumed ratio of a route's aim to the usual work of its requests
// until there is an answer; operators' tables have aims of 2.6 to 4 times the work.
const aimToWorkRatio = 3

// routeStatsOf returns what is known about a route's requests.
func (e *Entry) routeStatsOf(route *table.Route) *routeStats {
	key := route.Host + route.Prefix
	e.routeStatsMu.Lock()
	defer e.routeStatsMu.Unlock()
	t := e.routeStats[key]
	if t == nil {
		t = &routeStats{callRoute: calls.RouteOf(key), assumedWork: route.Aim / aimToWorkRatio}
		e.routeStats[key] = t
	}
	return t
}

// dropRouteStats drops the statistics of routes that the table no longer has.
func (e *Entry) dropRouteStats(t *table.Table) {
	known := map[string]bool{}
	for _, r := range t.Routes() {
		known[r.Host+r.Prefix] = true
	}
	e.routeStatsMu.Lock()
	defer e.routeStatsMu.Unlock()
	for key := range e.routeStats {
		if !known[key] {
			delete(e.routeStats, key)
		}
	}
}
