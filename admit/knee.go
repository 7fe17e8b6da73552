// SPDX-License-Identifier: MIT

package admit

import (
	"math"
	"time"
)

// Operators configure from how many requests in flight a server slows down. If the number is too
// low, slots stay empty; if it is too high, all answers are late.

// knee learns the concurrency limit from the durations of requests: it looks for the knee of the
// throughput curve, beyond which more requests in flight no longer raise the throughput. For each
// number in flight it averages how long requests took that were dispatched at that number,
// relative to their usual work, and moves to the limit with the clearly highest throughput. It
// does not use the speed that the server reports, since that may already reflect the number in
// flight; slow periods with other causes occur at any number. setBounds must be called first.
type knee struct {
	minLimit, maxLimit int
	// current is the present limit; 0 before setBounds.
	current int
	// logSlowdown is the mean logarithm of the slowdown by number in flight (the logarithm
	// keeps a few long requests from dominating), and weights the decayed number of answers
	// behind each mean.
	logSlowdown, weights []float64
	// evaluatedAt is when the limit was last evaluated. Until trialUntil, trialLimit is in force
	// in place of current.
	evaluatedAt, trialUntil time.Time
	trialLimit              int
	// trials counts the trials.
	trials int
}

const (
	// kneeInterval is how often the limit is evaluated, and kneeDecay the factor applied to the
	// weights each time.
	kneeInterval = time.Second
	kneeDecay    = 0.97
	// kneeMinAnswers is how many answers are needed to judge a number in flight.
	kneeMinAnswers = 16
	// kneeMinGain is the factor by which the throughput must rise for the limit to move.
	kneeMinGain = 1.06
	// While requests wait, another limit is tried for kneeTrialLength, kneeTrialIntervals
	// times kneeInterval after the last trial. A server that always runs at its limit would
	// otherwise reveal nothing about other limits.
	kneeTrialLength    = 400 * time.Millisecond
	kneeTrialIntervals = 4
)

// limit returns how many requests may be in flight now.
func (k *knee) limit(now time.Time) int {
	if now.Before(k.trialUntil) {
		return min(max(k.trialLimit, k.minLimit), k.maxLimit)
	}
	return k.current
}

// updateLearnedLimit evaluates the limit if it is to be learned.
func (q *Queue) updateLearnedLimit(now time.Time) {
	if q.settings.MaxLearnedLimit > 0 {
		q.knee.evaluate(now, q.queued > 0)
		q.learnedLimit = q.knee.limit(now)
	}
}

// setBounds sets the bounds of the limit, and on the first call also its initial value.
func (k *knee) setBounds(minLimit, maxLimit, initial int) {
	if k.current == 0 {
		k.current = initial
	}
	k.minLimit, k.maxLimit = minLimit, maxLimit
	k.current = min(max(k.current, minLimit), maxLimit)
	if len(k.logSlowdown) != maxLimit+1 {
		k.logSlowdown, k.weights = make([]float64, maxLimit+1), make([]float64, maxLimit+1)
	}
}

// observe records an answer. The request was dispatched as one of inFlight requests, itself
// included, and took slowdown times its usual work.
func (k *knee) observe(inFlight int, slowdown float64) {
	if inFlight >= len(k.logSlowdown) || slowdown <= 0 {
		return
	}
	k.weights[inFlight]++
	k.logSlowdown[inFlight] += (math.Log(slowdown) - k.logSlowdown[inFlight]) / k.weights[inFlight]
}

// throughput is the throughput at a limit relative to one request at a time; ok is false if there
// are too few answers to decide.
func (k *knee) throughput(limit int) (throughput float64, ok bool) {
	return float64(limit) / math.Exp(k.logSlowdown[limit]), k.weights[limit] >= kneeMinAnswers
}

// bestLimit is the limit with a clearly higher throughput than the present one, or the present one.
func (k *knee) bestLimit() int {
	best := k.current
	throughput, known := k.throughput(k.current)
	if !known {
		return best
	}
	for limit := k.minLimit; limit <= k.maxLimit; limit++ {
		if candidate, ok := k.throughput(limit); ok && candidate > kneeMinGain*throughput {
			best, throughput = limit, candidate
		}
	}
	return best
}

// nextTrial is the limit to try next: alternately one slot more and one of the lower limits, each
// of them in turn.
func (k *knee) nextTrial() int {
	k.trials++
	if k.trials%2 == 1 && k.current < k.maxLimit {
		return k.current + 1
	}
	lower := k.current - k.minLimit
	if lower == 0 {
		return k.current + 1
	}
	return k.current - 1 - k.trials/2%lower
}

// evaluate adapts the limit and starts trials; waiting means that requests wait for a slot.
func (k *knee) evaluate(now time.Time, waiting bool) {
	if now.Sub(k.evaluatedAt) < kneeInterval || k.current == 0 {
		return
	}
	k.evaluatedAt = now
	k.current = k.bestLimit()
	if waiting && now.Sub(k.trialUntil) >= kneeTrialIntervals*kneeInterval {
		k.trialUntil, k.trialLimit = now.Add(kneeTrialLength), k.nextTrial()
	}
	for i := range k.weights {
		k.weights[i] *= kneeDecay
	}
}
