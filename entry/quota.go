// SPDX-License-Identifier: MIT

package entry

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/tenant"
)

// Quotas enforces tenants' quotas across all nodes.
type Quotas interface {
	// Acquire charges one request to a tenant's quota; it returns early if gone is closed.
	// A request with the timing TooEarly that is not admitted gets no new retry time.
	Acquire(name string, quota tenant.Quota, timing tenant.Timing, gone <-chan struct{}) tenant.Decision
	// Release gives back what was charged for a request that has not run.
	Release(name string)
}

// chargeQuota charges the request to its tenant's quota. If it returns false, the request
// was already answered.
func (e *Entry) chargeQuota(r *request) (paid bool) {
	holder := r.who.tenant
	if e.settings.Quotas == nil || !holder.Limited() {
		return true
	}
	quota := tenant.Quota{Rate: float64(holder.Rate), Burst: float64(holder.Burst)}
	timing := r.timing()
	v := e.settings.Quotas.Acquire(holder.Name, quota, timing, r.gone)
	if v.Admitted {
		return true
	}
	e.Counters.OverQuota.Add(1)
	if timing == tenant.TooEarly {
		v.RetryAfter = time.Until(r.retryAt)
	} else {
		r.retryAt = time.Now().Add(v.RetryAfter)
		e.Counters.RetryTimesGiven.Add(1)
	}
	f := failure{
		status:     fasthttp.StatusTooManyRequests,
		outcome:    header.NotRun,
		proxyError: statusDenied,
		detail:     "tenant " + strconv.Quote(holder.Name) + " is above its quota of " + strconv.Itoa(holder.Rate) + " requests a second",
		retryAfter: max(v.RetryAfter, time.Millisecond),
		noRetry:    true,
	}
	e.recordRequest(r, time.Now(), event.NotRun, f)
	e.answerFailure(r.ctx, f)
	return false
}

// refundQuota gives back what was charged for a request that no server has run.
func (e *Entry) refundQuota(r *request, res result) {
	holder := r.who.tenant
	if e.settings.Quotas == nil || !holder.Limited() || res.mayHaveRun {
		return
	}
	if res.last == nil || res.last.response == nil {
		e.settings.Quotas.Release(holder.Name)
	}
}
