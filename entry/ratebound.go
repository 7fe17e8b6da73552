// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/retry"
	"github.com/ryehaven/ryehaven/wire"
)

// deferral is the decision not to send a request, since the rates of all servers are bounded and
// they have no headroom for it. The zero value means that the request is sent.
type deferral struct {
	// retryAfter is after what time the caller should retry; 0 if the request is sent.
	retryAfter time.Duration
	// rateLimited says that the servers report limits, and not just that they are cold.
	rateLimited bool
}

// deferral decides whether a request is not sent at all. A request that may be a call made by a
// running request is always sent, because work was already done for it.
func (e *Entry) deferral(r *request) deferral {
	if !e.settings.RefuseWhenRateBound || r.stats == nil || r.mayBeCall() {
		return deferral{}
	}
	now := time.Now()
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	retryAfter, refused := s.pool.ShouldDefer(now, r.demand(now), r.deadline.Sub(now), s.rng.Float64())
	if !refused {
		return deferral{}
	}
	if s.pool.AllRateLimited(now) {
		e.Counters.RefusedRateLimit.Add(1)
		return deferral{retryAfter: max(retryAfter, time.Millisecond), rateLimited: true}
	}
	e.Counters.RefusedCold.Add(1)
	return deferral{retryAfter: max(retryAfter, time.Millisecond)}
}

// mayBeCall reports whether the request may be a call made by a running request: calls
// carry no tenant's key, and gates have not reported that all requests for the route come
// from clients.
func (r *request) mayBeCall() bool { return r.who.tenant == nil && !r.onlyFromClients }

// extendRetryAfter raises the retry delay from the gate when the rates of all servers of the
// service are bounded. The gate's delay only covers the next token, which is enough for one
// request.
func (e *Entry) extendRetryAfter(r *request, res *result) {
	a := res.last
	if !e.settings.RefuseWhenRateBound || a == nil || a.outcome != retry.Overloaded || a.reason == wire.ReasonShare || r.mayBeCall() {
		return
	}
	now := time.Now()
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if after, ok := s.pool.RetryAfter(now, r.demand(now), r.deadline.Sub(now), s.rng.Float64()); ok {
		a.retryAfter = max(a.retryAfter, after)
	}
}

// failure answers a request that was not sent.
func (d deferral) failure() failure {
	detail := "the service's backend servers are cold and don't bear one more request now"
	if d.rateLimited {
		detail = "the service's backend servers report rate limits that leave no room for one more request now"
	}
	return failure{
		status:     fasthttp.StatusServiceUnavailable,
		outcome:    header.NotRun,
		proxyError: statusLimited,
		detail:     detail,
		retryAfter: d.retryAfter,
		noRetry:    true,
	}
}
