// SPDX-License-Identifier: MIT

package retry

import "time"

// HedgeShare is the share of requests that may be hedged: sent to a second
// server before the first has answered. It is small because hedges multiply
// along a chain of calls: a factor of 1.03 at each of 8 hops is 1.27 at the end.
const HedgeShare = 0.03

// LatencyEstimate estimates the median and the lower quartile of latencies, and
// from the median the delay after which a request is worth hedging. The zero value
// has no estimates yet. It is not safe for concurrent use.
type LatencyEstimate struct {
	median        float64
	lowerQuartile float64
	count         int
}

const (
	// hedgeDelayMedians is the hedge delay in median latencies. The median still
	// describes the usual latency when a tenth of the requests are delayed; a high
	// quantile does not.
	hedgeDelayMedians = 1.5
	// minObservations is how many answers must have been observed before the
	// estimates are used.
	minObservations = 20
	// minStep is the share by which one answer moves an estimate. While there are
	// few answers, the step is initialStep divided by their number, so that a first
	// answer that took five times as long as usual is soon corrected.
	minStep     = 0.025
	initialStep = 0.5
)

// Observe adds the latency of an answer. The estimates follow the quantiles by
// stochastic approximation (Robbins and Monro 1951): steps up and down of equal size
// balance at the median, and steps down three times as large as those up balance
// at the lower quartile.
func (d *LatencyEstimate) Observe(latency time.Duration) {
	d.count++
	step := max(minStep, initialStep/float64(d.count))
	switch v := float64(latency); {
	case d.median == 0:
		d.median = v
	case v > d.median:
		d.median = min(d.median*(1+step), v)
	default:
		d.median = max(d.median*(1-step), v)
	}
	switch v := float64(latency); {
	case d.lowerQuartile == 0:
		d.lowerQuartile = v
	case v > d.lowerQuartile:
		d.lowerQuartile = min(d.lowerQuartile*(1+2*quartileShare*step), v)
	default:
		d.lowerQuartile = max(d.lowerQuartile*(1-2*(1-quartileShare)*step), v)
	}
}

// quartileShare is the share of answers that take less than LowerQuartile.
const quartileShare = 0.25

// LowerQuartile returns the latency below which a quarter of the answers lie; ok is
// false until enough answers were observed.
func (d *LatencyEstimate) LowerQuartile() (quartile time.Duration, ok bool) {
	return time.Duration(min(d.lowerQuartile, d.median)), d.count >= minObservations
}

// Median returns the median latency; ok is false until enough answers were observed.
func (d *LatencyEstimate) Median() (median time.Duration, ok bool) {
	return time.Duration(d.median), d.count >= minObservations
}

// HedgeDelay returns how long a request waits for its answer before it is hedged; ok
// is false until enough answers were observed.
func (d *LatencyEstimate) HedgeDelay() (delay time.Duration, ok bool) {
	return time.Duration(hedgeDelayMedians * d.median), d.count >= minObservations
}
