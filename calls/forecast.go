// SPDX-License-Identifier: MIT

package calls

import (
	"math"
	"time"
)

// CallForecast describes the calls of a request to one route.
type CallForecast struct {
	// Share and Times are those of ExpectedCall.
	Share, Times float64
	// RefusalProbability is the probability that such a call is refused, or is accepted only
	// after its aim, and Duration how long it takes now.
	RefusalProbability float64
	Duration           time.Duration
	// RetryAfter is when there may be capacity for such a call; 0 if that is not known.
	RetryAfter time.Duration
}

// Forecast describes a request with the calls that it would make if it were admitted now.
type Forecast struct {
	// Priority is that of the request; 0 is the most urgent.
	Priority uint8
	Calls    []CallForecast
}

// SuccessProbability is the probability that all calls of the request are accepted.
func (f *Forecast) SuccessProbability() float64 {
	probability := 1.0
	for i := range f.Calls {
		probability *= f.Calls[i].successProbability()
	}
	return probability
}

// maxCallsPerRun bounds the calls of one run to a route that are considered.
const maxCallsPerRun = 64

// successProbability is the probability that all calls of the request to this route are accepted.
func (c *CallForecast) successProbability() float64 {
	share, times := clampProbability(c.Share), 0.0
	if c.Times > 0 { // It may be NaN.
		times = min(c.Times, maxCallsPerRun)
	}
	return 1 - share + share*math.Pow(1-clampProbability(c.RefusalProbability), times)
}

// clampProbability limits a value to the range from 0 to 1; NaN becomes 0.
func clampProbability(p float64) float64 {
	if !(p > 0) {
		return 0
	}
	return min(p, 1)
}

// WasteProbability is the probability that the request would be run in vain. Slow servers and a
// short time until the deadline do not count: if there is capacity, a late answer is better
// than none.
func (f *Forecast) WasteProbability() float64 { return 1 - f.SuccessProbability() }

// MaxWasteProbability is the bound for WasteProbability up to which requests of a priority are
// admitted. It halves with each less urgent priority. As capacity becomes scarcer, all nodes
// therefore refuse the same requests, the least urgent first.
func MaxWasteProbability(priority uint8) float64 {
	return math.Ldexp(maxWaste, -int(min(priority, maxPriorityLevels)))
}

const (
	// maxWaste is the bound for the most urgent requests. At this probability a run is still as
	// likely to succeed as not.
	maxWaste = 0.5
	// maxPriorityLevels bounds the priorities that have bounds of their own.
	maxPriorityLevels = 4
)

// RetryAfter is when there may be capacity for all calls of the request: the delay that the route
// with the highest refusal probability requires, within bounds.
func (f *Forecast) RetryAfter() time.Duration {
	after, worst := time.Duration(0), 0.0
	for i := range f.Calls {
		if c := &f.Calls[i]; c.RefusalProbability > worst {
			worst, after = c.RefusalProbability, max(c.RetryAfter, c.Duration)
		}
	}
	return min(max(after, minRetryAfter), maxRetryAfter)
}

const (
	// minRetryAfter keeps refused requests from being retried before anything can have
	// changed, and maxRetryAfter from being delayed for longer than a shortage can be
	// predicted.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)
