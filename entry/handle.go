// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/retry"
	"github.com/ryehaven/ryehaven/wire"
)

// Handle answers one caller's request. It is a fasthttp.RequestHandler.
func (e *Entry) Handle(ctx *fasthttp.RequestCtx) {
	e.Counters.Requests.Add(1)
	head, bad := readHead(ctx)
	if bad != nil {
		e.refuseBad(ctx, bad.status, bad.detail)
		return
	}
	d, ready := e.destination(head.hostName(), head.target.Path())
	if !ready {
		e.refuseWithoutTable(ctx)
		return
	}
	if d.service == nil {
		e.refuseUnknown(ctx)
		return
	}
	if head.isAmbiguous(d) {
		e.refuseBad(ctx, ambiguousPath.status, ambiguousPath.detail)
		return
	}
	who, ok := e.authenticate(ctx, d)
	if !ok {
		return
	}
	r, fault := e.newRequest(ctx, &head, d, who)
	if fault != "" {
		e.refuseBad(ctx, fasthttp.StatusBadRequest, fault)
		return
	}
	if !e.accepts(r.began, r) {
		e.refuseStopping(ctx)
		return
	}
	limit := e.maxBody()
	if int64(ctx.Request.Header.ContentLength()) > limit {
		e.refuseBad(ctx, fasthttp.StatusRequestEntityTooLarge, "the request's body is larger than limits.body_bytes")
		closeAfterAnswer(ctx)
		return
	}
	if bodyMissing(ctx) {
		e.refuseBad(ctx, fasthttp.StatusInternalServerError, "the request's body is not available")
		closeAfterAnswer(ctx)
		return
	}
	r.body = newBody(ctx.RequestBodyStream(), limit)
	defer r.endBody()
	if r.body.readError() != nil {
		e.refuseBad(ctx, fasthttp.StatusBadRequest, "the request's body broke off")
		closeAfterAnswer(ctx)
		return
	}
	r.prepareBody()
	e.watchCaller(r)
	defer e.unwatchCaller(r)
	defer e.recordAnswer(r)
	if !e.chargeQuota(r) || !e.admitWithCalls(r) {
		return
	}
	result := e.runAttempts(r)
	e.unwatchCaller(r)
	e.refundQuota(r, result)
	e.recordCallResult(r, result)
	e.reply(r, result)
}

// bodyMissing reports whether a request's head announces a body that can't be read. Such a
// request must not be sent with an empty body.
func bodyMissing(ctx *fasthttp.RequestCtx) bool {
	const lengthChunked = -1
	length := ctx.Request.Header.ContentLength()
	return (length > 0 || length == lengthChunked) && ctx.RequestBodyStream() == nil
}

// maxBody returns the limit for a request's body, from the table in force or else from
// the settings.
func (e *Entry) maxBody() int64 {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if bound := e.table.Bounds().BodyBytes; bound > 0 {
		return int64(bound)
	}
	return e.settings.MaxBodyBytes
}

// prepareBody puts the part of the body that was already read into the message.
func (r *request) prepareBody() {
	first, complete := r.body.firstPart()
	r.message.Body = first
	r.message.Last = complete
	r.message.Length = int64(len(first))
	if complete {
		return
	}
	r.message.Length = int64(r.ctx.Request.Header.ContentLength())
	if r.message.Length < 0 {
		r.message.Length = wire.LengthUnknown
	}
}

// endBody makes sure that nothing reads from the caller's connection any more. If the
// body was not read to its end, the connection can't be used for another request.
func (r *request) endBody() {
	if r.body.finished() {
		return
	}
	closeAfterAnswer(r.ctx)
	r.body.stopReading()
	_ = r.caller.SetReadDeadline(time.Unix(1, 0)) // Interrupts a read that is waiting.
	<-r.body.done
}

// lingerer is a connection that can be closed while its caller is still sending, without
// losing the answer.
type lingerer interface{ Linger() }

// closeAfterAnswer closes a caller's connection after the answer, even if the caller is
// still sending a body.
func closeAfterAnswer(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	if c, ok := ctx.Conn().(lingerer); ok {
		c.Linger()
	}
}

// result is how a request ended for its caller.
type result struct {
	// last is the attempt that decides the answer; nil when none was made.
	last *attempt
	// mayHaveRun says that some attempt may have run the request.
	mayHaveRun bool
	// blamedFor is for how long the request is not run because servers have crashed while
	// running it.
	blamedFor time.Duration
	// deferral says whether the request was not sent because the servers' rates are bounded.
	deferral deferral
}

// runAttempts makes attempts until one is final, or until the retry rules or the budget
// allow no other.
func (e *Entry) runAttempts(r *request) result {
	r.service.countNewRequest(time.Now())
	if d := e.deferral(r); d.retryAfter > 0 {
		return result{deferral: d}
	}
	var res result
	var errorAnswer *attempt
	for {
		if res.last != nil && !e.keyStillValid(r) {
			break
		}
		if !e.checkBlame(r) {
			e.Counters.RefusedBlamed.Add(1)
			res.blamedFor = r.blamedFor
			break
		}
		a := e.tryOneServer(r)
		if a == nil {
			break
		}
		res.last = a
		r.noteOutcome(a)
		if a.outcome == retry.Answered || a.final || !(e.allowRetry(r, a) || r.queueWhenFull(a) || e.waitForBudget(r, a) || e.waitForNode(r, a)) {
			break
		}
		if a.response != nil {
			errorAnswer = e.keepErrorAnswer(a)
		}
	}
	res.mayHaveRun = r.mayHaveRun
	e.extendRetryAfter(r, &res)
	if res.last != nil && res.last.response == nil && errorAnswer != nil && !res.last.final {
		res.last = errorAnswer // A server's own error is more specific than a refusal.
	}
	return res
}

// queueWhenFull reports whether a request that every server refused for lack of headroom
// is sent to one of them again, to be queued there for as long as it may wait.
func (r *request) queueWhenFull(a *attempt) bool {
	if a.outcome != retry.Overloaded || a.reached() || r.mayQueue || !time.Now().Before(r.refuseBy) {
		return false
	}
	r.mayQueue = true
	r.tried = nil
	return true
}

// keepErrorAnswer keeps an error answer that has arrived completely, for the case that no
// later attempt does better.
func (e *Entry) keepErrorAnswer(a *attempt) *attempt {
	if a.response.Last {
		return a
	}
	a.call.Abandon()
	return nil
}

// allowRetry checks the retry rules and then charges the retry budget for another
// attempt.
func (e *Entry) allowRetry(r *request, a *attempt) bool {
	if e.settings.NoRetries {
		return false
	}
	now := time.Now()
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.countReached(a) || !retry.Allowed(r.retryState(now, a, a.outcome)) {
		return false
	}
	paid := r.nextPaid
	r.nextPaid = false
	s.lastBudgetRequest = now
	if !paid && !s.retryBudget.Take(now, a.retryCost(&s.retryLimits)) {
		e.Counters.RetriesDenied.Add(1)
		r.budgetDenied, a.budgetDenied = true, true
		return false
	}
	e.Counters.Retries.Add(1)
	return true
}

const (
	// budgetPollInterval is how often a request checks whether the budget covers its
	// retry now, and budgetWaitShare is the part of its total time during which it does.
	budgetPollInterval = 20 * time.Millisecond
	budgetWaitShare    = 0.8
	// waiterBudgetShare is the largest part of the budget's income that goes to waiting
	// requests while other requests need budget too, which is until contentionWindow
	// after the last of these needed it.
	waiterBudgetShare = 0.5
	contentionWindow  = time.Second
)

// waitForBudget waits until the retry budget covers sending a request again whose
// connection to the server was stalled, and reports whether it did. One stalled
// connection affects many requests at the same moment, and none of them can be answered
// in another way.
func (e *Entry) waitForBudget(r *request, a *attempt) bool {
	until := r.began.Add(time.Duration(budgetWaitShare * float64(r.deadline.Sub(r.began))))
	if !a.connStalled || !a.budgetDenied || !r.service.startBudgetWait(until, a) {
		return false
	}
	defer r.service.endBudgetWait()
	return r.pollUntil(budgetPollInterval, until, func() bool { return e.payForRetry(r, a) })
}

// pollUntil checks a condition at an interval and reports whether it became true before a
// time and while the caller waited.
func (r *request) pollUntil(interval time.Duration, until time.Time, condition func() bool) bool {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for time.Now().Before(until) {
		select {
		case <-r.gone:
			return false
		case <-ticker.C:
		}
		if condition() {
			return true
		}
	}
	return false
}

// startBudgetWait registers a request that waits for the budget until a time, if the
// budget will cover all waiting requests by then. Otherwise the request is better refused
// at once.
func (s *service) startBudgetWait(until time.Time, a *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.retryBudget.AvailableWithin(now, until.Sub(now)) < float64(s.budgetWaiters+1)*a.retryCost(&s.retryLimits) {
		return false
	}
	s.budgetWaiters++
	return true
}

func (s *service) endBudgetWait() {
	s.mu.Lock()
	s.budgetWaiters--
	s.mu.Unlock()
}

// payForRetry charges the budget for the retry of a waiting request, and reports whether
// the budget covered it.
func (e *Entry) payForRetry(r *request, a *attempt) bool {
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	now, cost := time.Now(), a.retryCost(&s.retryLimits)
	contended := now.Sub(s.lastBudgetRequest) < contentionWindow
	if contended && !s.waiterBudget.Has(now, cost) || !s.retryBudget.Take(now, cost) {
		return false
	}
	if contended {
		s.waiterBudget.Take(now, cost)
	}
	r.budgetDenied = false
	e.Counters.Retries.Add(1)
	return true
}

// retryState describes the request after an attempt with the given outcome, for the retry
// rules. The service's lock must be held.
func (r *request) retryState(now time.Time, a *attempt, outcome retry.Outcome) retry.Attempt {
	return retry.Attempt{
		Outcome:        outcome,
		Repeatable:     r.message.Repeatable,
		NoRetry:        a.response != nil && a.response.NoRetry,
		Replayable:     r.body.replayable(),
		Attempts:       r.attempts,
		AttemptLimit:   r.service.retryLimits.MaxSends,
		UntriedServers: r.service.pool.CountUntried(now, r.tried),
		Left:           r.deadline.Sub(now),
	}
}

// payForFailover reports whether a request whose node is unresponsive may be sent to
// another node, and charges the budget at the same time because many requests check at
// the same moment. If it returns false, only the unresponsive node may still answer.
func (e *Entry) payForFailover(r *request, a *attempt) bool {
	if e.settings.NoRetries || (r.maxReached > 0 && r.serversReached+1 >= r.maxReached) {
		return false
	}
	now := time.Now()
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if !retry.Allowed(r.retryState(now, a, retry.Unresponsive)) {
		return false
	}
	s.lastBudgetRequest = now
	r.nextPaid = s.retryBudget.Take(now, retry.Unresponsive.Cost())
	return r.nextPaid
}

// countReached counts the servers that the request has reached, after an attempt, and
// reports whether the request may reach one more.
func (r *request) countReached(a *attempt) bool {
	if a.reached() {
		r.serversReached++
	}
	return r.maxReached == 0 || r.serversReached < r.maxReached
}

// reached reports whether the request came to the server itself, whether or not it was
// run.
func (a *attempt) reached() bool {
	return a.outcome.MayHaveRun() || a.reason == wire.ReasonShed
}

// retryCost is what sending the request again costs from the budget.
func (a *attempt) retryCost(limits *retry.Limits) float64 {
	if a.notArrived {
		return 0
	}
	return limits.Cost(a.outcome, a.reached())
}

func (s *service) countNewRequest(now time.Time) {
	s.mu.Lock()
	s.lastUsed = now
	s.retryBudget.RecordRequest(now)
	s.waiterBudget.RecordRequest(now)
	s.hedgeBudget.RecordRequest(now)
	s.mu.Unlock()
}
