// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/retry"
)

// hedgePlan says when a second attempt in parallel with the first is considered.
type hedgePlan struct {
	// first is the time until the first check and interval the time between the following
	// checks; if interval is 0, there is only one.
	first, interval time.Duration
	// slowAfter is how long a request must have waited to be unusually slow.
	slowAfter time.Duration
}

// The times of the first check and between the following ones, as shares of the request's
// usual time.
const (
	hedgeFirstShare    = 0.4
	hedgeIntervalShare = 0.25
	// hedgeMinInterval is the shortest interval between checks, for short requests.
	hedgeMinInterval = 5 * time.Millisecond
	// hedgeMinGain is by how much, in late requests, a hedge must lower the expected loss
	// to be sent before the request is unusually slow.
	hedgeMinGain = 0.3
)

// hedgePlan returns when the request may be hedged; ok is false if it may never be.
func (e *Entry) hedgePlan(r *request) (plan hedgePlan, ok bool) {
	if e.settings.NoHedges || r.hedged || r.suspect || !r.message.Repeatable || !r.message.Last {
		return hedgePlan{}, false
	}
	if r.stats != nil {
		slowAfter, ok := r.stats.unusualDelay()
		usualWork := r.stats.demand(time.Now(), r.aim).Work
		return hedgePlan{
			first:     time.Duration(hedgeFirstShare * float64(usualWork)),
			interval:  max(time.Duration(hedgeIntervalShare*float64(usualWork)), hedgeMinInterval),
			slowAfter: slowAfter,
		}, ok
	}
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	slowAfter, ok := r.service.delay.HedgeDelay()
	return hedgePlan{first: slowAfter, slowAfter: slowAfter}, ok
}

// hedge sends the request to a second server in parallel with the first, if the budget
// and the servers allow it and a connection to that server's node is open. Otherwise it
// returns nil.
func (e *Entry) hedge(r *request, first *attempt, plan hedgePlan) *attempt {
	a := r.pickHedge(time.Now(), first, plan)
	if a == nil {
		return nil
	}
	r.hedged = true
	if e.dialer.Peek(a.node) == nil {
		e.endAttempt(r, a, balance.Result{Abandoned: true})
		return nil
	}
	a.concurrent = true
	e.send(r, a)
	if a.call == nil {
		return nil
	}
	r.serversReached++
	e.Counters.Hedges.Add(1)
	r.attemptLog[a.logIndex].Hedge = true
	return a
}

// pickHedge chooses a second server if that server has headroom and the budget covers the
// attempt.
func (r *request) pickHedge(now time.Time, first *attempt, plan hedgePlan) *attempt {
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pool.CountUntried(now, r.tried) == 0 {
		return nil
	}
	demand := r.demand(now)
	server := s.pool.PickFor(now, s.rng, r.tried, demand)
	elapsed := now.Sub(first.began)
	if elapsed < plan.slowAfter && s.pool.HedgeGain(now, first.server, server, elapsed, demand) < hedgeMinGain {
		return nil
	}
	if r.maxReached > 0 && r.serversReached+1 >= r.maxReached {
		return nil // The first attempt may still reach its server.
	}
	if !s.pool.HasSpareCapacity(now, server) || !s.payHedge(now) {
		return nil
	}
	return r.startAttempt(now, server)
}

// payHedge charges for a second attempt: the retry budget if that counts requests that
// reach servers, otherwise the hedge budget. The lock must be held.
func (s *service) payHedge(now time.Time) bool {
	if s.retryBudget.Limits == (retry.NodeLimits{}) {
		return s.hedgeBudget.Take(now, 1)
	}
	return s.retryBudget.Take(now, 1)
}
