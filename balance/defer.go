// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"time"
)

// While all servers of a service are cold or report a rate limit, callers send more requests
// than the servers can serve. A request that is admitted too late to meet its aim then takes a token or a slot from
// one that would meet it. And if all refused callers got the time to the next token as
// their delay, they would retry at the same time and most would be refused again. Therefore
// ShouldDefer refuses requests early, and RetryAfter spreads the retries.

const (
	// refusalCertain is the chance of refusal from which a request is not sent at all,
	// latenessCertain the probability of being late from which it counts as late wherever
	// it is sent, and scarcityThreshold the chance of refusal from which capacity is so
	// scarce that a late request is deferred for the benefit of others.
	refusalCertain    = 0.9
	latenessCertain   = 0.9
	scarcityThreshold = 0.25
	// Retries after the cold time are spread over a period of
	// returnSpreadShare times the remaining cold time, at least minReturnSpread: the
	// requests that were refused meanwhile come in addition to the usual ones.
	returnSpreadShare = 0.5
	minReturnSpread   = 500 * time.Millisecond
	// warmTimeFactor is how many times its work a request takes at a busy warm server.
	warmTimeFactor = 1.5
	// A retry time before the servers are warm is given only if the time left for that
	// is at least minWindowFactor times the wait for the first token, and at least
	// minWindowFactor times minWindowBase: other callers retry in the same period.
	minWindowFactor = 4
	minWindowBase   = 100 * time.Millisecond
	// maxLimitWait bounds the wait for a token that callers are told if servers report limits,
	// which may change at any time.
	maxLimitWait = 5 * time.Second
)

// ShouldDefer reports whether a caller's request should not be sent now, since the rates of all
// servers are bounded, and after which time the caller should retry. left is what remains of its deadline.
// draw is a random number from 0 to 1 that spreads the retries.
func (p *Pool) ShouldDefer(now time.Time, demand Demand, left time.Duration, draw float64) (after time.Duration, deferred bool) {
	bound, ok := p.boundTime(now)
	if !ok || !demand.Known() {
		return 0, false
	}
	forecast := p.Forecast(now, demand, false)
	switch {
	case forecast.ExpectedTime >= left, forecast.RefusalChance >= refusalCertain:
		return p.retryAfter(now, bound, demand, left, draw), true
	case lateProbability(forecast.ExpectedTime, demand.Aim) >= latenessCertain && forecast.RefusalChance >= scarcityThreshold:
		// It is late in any case; it is sent now only if a retry could not be answered.
		after = p.retryAfter(now, bound, demand, left, draw)
		return after, after+warmTime(demand) <= left
	}
	return 0, false
}

// RetryAfter returns after which time a caller whose request was refused for lack of headroom
// should retry; ok is false unless the rates of all servers are known to be bounded.
func (p *Pool) RetryAfter(now time.Time, demand Demand, left time.Duration, draw float64) (after time.Duration, ok bool) {
	bound, ok := p.boundTime(now)
	if !ok {
		return 0, false
	}
	return p.retryAfter(now, bound, demand, left, draw), true
}

// boundTime is for how long the rates of a service's servers are bounded.
type boundTime struct {
	// left is the mean of the remaining cold times of the servers that report no limit.
	left time.Duration
	// endless is set if all servers report a limit, of which no end is known.
	endless bool
}

// boundTime returns for how long the rates of the servers that take work are bounded; ok is false
// if one of them is known not to be bounded, or none is known to be.
func (p *Pool) boundTime(now time.Time) (bound boundTime, ok bool) {
	sum, cold, limited := time.Duration(0), 0, 0
	for _, s := range p.servers {
		if s.headroomAt.IsZero() || p.healthOf(now, s) > atCapacity {
			continue
		}
		left := s.ColdRemaining(now)
		switch {
		case s.hasRateLimit():
			limited++
		case left == 0:
			return boundTime{}, false
		default:
			sum += left
			cold++
		}
	}
	if cold == 0 {
		return boundTime{endless: true}, limited > 0
	}
	return boundTime{left: sum / time.Duration(cold)}, true
}

// AllRateLimited reports whether all servers that take work report a rate limit.
func (p *Pool) AllRateLimited(now time.Time) bool {
	bound, ok := p.boundTime(now)
	return ok && bound.endless
}

// retryAfter returns a time within the first of these periods that leaves enough time: after
// the servers are warm, to meet the aim; before that, to meet the aim; after the servers are
// warm, to meet the deadline; at any time, to meet the deadline. Limits that servers report end at
// no known time, so only the periods before that count then.
func (p *Pool) retryAfter(now time.Time, bound boundTime, demand Demand, left time.Duration, draw float64) time.Duration {
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(draw*float64(to-from)) }
	soonest := max(p.minTokenWait(now, demand.headroomLevel()), time.Millisecond)
	warm, warmAll := bound.left, bound.left+max(time.Duration(returnSpreadShare*float64(bound.left)), minReturnSpread)
	slow := demand.Work * coldSlowness / 100
	if bound.endless {
		soonest = min(soonest, maxLimitWait)
		warm, warmAll = soonest, soonest+max(time.Duration(returnSpreadShare*float64(soonest)), minReturnSpread)
		slow = warmTime(demand)
	}
	if !demand.Known() {
		return between(warm, warmAll)
	}
	warmTime := warmTime(demand)
	switch {
	case !bound.endless && warmAll <= demand.Aim-warmTime:
		return between(warm, warmAll)
	case minWindowFactor*max(soonest, minWindowBase) <= demand.Aim-slow:
		return between(soonest, demand.Aim-slow)
	case !bound.endless && warmAll <= left-warmTime:
		return between(warm, warmAll)
	case soonest <= left-slow:
		return between(soonest, left-slow)
	}
	return between(warm, warmAll) // This request can't be answered any more, but a new one may be.
}

// warmTime returns how long a request takes at a busy warm server.
func warmTime(demand Demand) time.Duration {
	return time.Duration(warmTimeFactor * float64(demand.Work))
}

// minTokenWait returns the shortest wait for a token of any server that takes work.
func (p *Pool) minTokenWait(now time.Time, level int) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, s := range p.servers {
		if p.healthOf(now, s) <= atCapacity {
			least = min(least, max(s.tokenWait(now, level), 0))
		}
	}
	if least == math.MaxInt64 {
		return 0
	}
	return least
}
