// SPDX-License-Identifier: MIT

package entry

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/age"
	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/tenant"
)

// callerRetryMemory remembers requests that were not served, to recognize them when their
// callers retry.
type callerRetryMemory struct {
	seed maphash.Seed

	mu       sync.Mutex
	unserved age.UnservedRequests
}

// CallerRetryCounters counts requests that callers retry.
type CallerRetryCounters struct {
	// CallerRetries counts requests that the caller had sent before, and CallerRetryAge
	// is the sum of the times since the caller first sent them, in milliseconds.
	CallerRetries, CallerRetryAge atomic.Int64
	// RetryTimesGiven counts requests whose caller got a retry time, and
	// RetryTimesKept those that were retried at that time and were given the precedence of
	// first tries.
	RetryTimesGiven, RetryTimesKept atomic.Int64
}

func newCallerRetryMemory() callerRetryMemory { return callerRetryMemory{seed: maphash.MakeSeed()} }

// detectCallerRetry determines how old the request is, from what is remembered of its
// former tries or else from the timeout that its caller states (0 if it states none). The
// age counts against the request's aim.
func (e *Entry) detectCallerRetry(r *request, timeout time.Duration) {
	if !e.settings.DetectCallerRetries || timeout <= 0 {
		return
	}
	r.callerDeadline = r.began.Add(timeout)
	r.requestHash = e.callerRetries.hash(r)
	earlier, ok := e.callerRetries.find(r)
	minAge := r.stats.observeTimeout(r.began, timeout)
	r.age = minAge
	if ok {
		r.age, r.retryAt = r.began.Sub(earlier.FirstAttempt), earlier.PrecedenceFrom
	}
	if r.age <= 0 {
		return
	}
	e.Counters.CallerRetries.Add(1)
	e.Counters.CallerRetryAge.Add(r.age.Milliseconds())
	r.aim = r.aim.Add(-r.age)
	if !r.retryAt.IsZero() && r.timing() == tenant.OnTime {
		e.Counters.RetryTimesKept.Add(1)
	}
}

// retryAtTolerance is how much earlier than its retryAt a request may be retried and still
// keep its precedence: the delay that the caller got is rounded, and clocks run at
// slightly different rates.
const retryAtTolerance = 5 * time.Millisecond

// timing decides the request's precedence while its tenant sends more than its quota:
// whether it came before the retry time that its caller got, and whether it
// can still be answered in time.
func (r *request) timing() tenant.Timing {
	switch {
	case r.age <= 0:
		return tenant.OnTime
	case r.began.Add(retryAtTolerance).Before(r.retryAt):
		return tenant.TooEarly
	case !r.aim.IsZero() && r.began.Add(r.demand(r.began).Work).After(r.aim):
		return tenant.TooLate
	}
	return tenant.OnTime
}

// recordAnswer counts an answer for its tenant and remembers the request if it was not
// served.
func (e *Entry) recordAnswer(r *request) {
	status := r.ctx.Response.StatusCode()
	e.tenants.count(time.Now(), r.who.tenant, status)
	e.rememberUnserved(r, status)
}

// rememberUnserved remembers a request that was not served, judged by the status of its
// answer, so that it is recognized when the caller retries it.
func (e *Entry) rememberUnserved(r *request, status int) {
	if r.callerDeadline.IsZero() || !mayBeRetried(status) && !r.callerIsGone() {
		return
	}
	now := time.Now()
	r.stats.recordUnserved(now, r.callerDeadline)
	e.callerRetries.remember(now, r, age.Request{FirstAttempt: r.began.Add(-r.age), PrecedenceFrom: r.retryAt})
}

// expectCallerRetry records that a request was refused before its tenant was known. Until
// its caller stops waiting, a request for the route may be a retry of it.
func (e *Entry) expectCallerRetry(ctx *fasthttp.RequestCtx, route *table.Route) {
	if !e.settings.DetectCallerRetries || route == nil || !mayBeRetried(ctx.Response.StatusCode()) {
		return
	}
	now := time.Now()
	timeout, fault := timeLimitOf(&ctx.Request.Header, &e.settings.Dialect, table.Policy{}, e.settings.MaxDeadline)
	if fault == "" {
		e.routeStatsOf(route).recordUnserved(now, now.Add(timeout))
	}
}

// mayBeRetried reports whether a caller that got a status may send its request again.
func mayBeRetried(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests:
		return true
	}
	return status >= fasthttp.StatusInternalServerError
}

// callerIsGone reports whether the caller has closed its connection.
func (r *request) callerIsGone() bool {
	select {
	case <-r.gone:
		return true
	default:
		return false
	}
}

// hash identifies the content of the request and the tenant that sent it.
func (t *callerRetryMemory) hash(r *request) uint64 {
	var h maphash.Hash
	h.SetSeed(t.seed)
	for _, part := range []string{r.route.Host, r.message.Method, r.message.URI, r.message.Tenant} {
		_, _ = h.WriteString(part) // Writing to a hash never fails.
		_ = h.WriteByte(0)
	}
	return h.Sum64()
}

func (t *callerRetryMemory) find(r *request) (age.Request, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unserved.Find(r.began, r.requestHash, r.callerDeadline)
}

func (t *callerRetryMemory) remember(now time.Time, r *request, try age.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unserved.Keep(now, r.requestHash, r.callerDeadline, try)
}

// observeTimeout records the timeout that a request's caller states and returns the
// minimum age of the request.
func (t *routeStats) observeTimeout(now time.Time, timeout time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	minAge := t.callerTimeouts.MinAge(timeout)
	t.callerTimeouts.Observe(now, timeout)
	return minAge
}

// recordUnserved records that a request may be retried until its caller stops waiting.
func (t *routeStats) recordUnserved(now, callerDeadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.callerTimeouts.RecordUnserved(now, callerDeadline)
}
