// SPDX-License-Identifier: MIT

package calls

import (
	"math"
	"time"
)

// Throttle adapts the share of a route's requests that is admitted. The share falls while the
// probability that a request is run in vain is too high, and rises while it is low. It never
// becomes 0, so that the admitted requests correct a wrong estimate. The zero value admits all
// requests. It is not safe for concurrent use.
type Throttle struct {
	// rejectedShare is the share of requests that is rejected, and credit accumulates the
	// admitted share until it is enough for one request.
	rejectedShare, credit float64
	updatedAt             time.Time
}

const (
	// MinAdmitted is the lowest share that is admitted.
	MinAdmitted = 1.0 / 16
	// riseTime is the time in which the admitted share rises by a factor of e while no request
	// would be run in vain.
	riseTime = time.Second
	// maxFallRate is how many times faster than it rises the share falls while every request
	// would be run in vain.
	maxFallRate = 8
	// maxStep bounds the time to which one estimate applies.
	maxStep = 250 * time.Millisecond
)

// Value is the share that is admitted now.
func (t *Throttle) Value() float64 { return 1 - t.rejectedShare }

// Admit reports whether a request of the route is admitted. wasteProbability is the probability that
// the request would be run in vain, and maxWasteProbability its bound, above which the share falls.
func (t *Throttle) Admit(now time.Time, wasteProbability, maxWasteProbability float64) bool {
	t.update(now, wasteProbability, maxWasteProbability)
	if t.rejectedShare == 0 {
		return true
	}
	if t.credit += t.Value(); t.credit < 1 {
		return false
	}
	t.credit--
	return true
}

func (t *Throttle) update(now time.Time, wasteProbability, maxWasteProbability float64) {
	dt := maxStep
	if !t.updatedAt.IsZero() {
		dt = min(max(now.Sub(t.updatedAt), 0), maxStep)
	}
	t.updatedAt = now
	rate := changeRate(clampProbability(wasteProbability), maxWasteProbability)
	value := t.Value() * math.Exp(rate*float64(dt)/float64(riseTime))
	t.rejectedShare = 1 - min(max(value, MinAdmitted), 1)
}

// changeRate is the rate at which the share rises, or falls if it is negative, relative to the
// fastest rise. It is 0 where the probability is at its bound.
func changeRate(wasteProbability, maxWasteProbability float64) float64 {
	margin := maxWasteProbability - wasteProbability
	if margin >= 0 {
		return margin / maxWasteProbability
	}
	return maxFallRate * margin / (1 - maxWasteProbability)
}
