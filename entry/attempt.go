// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/peer"
	"github.com/ryehaven/ryehaven/retry"
	"github.com/ryehaven/ryehaven/wire"
)

// attempt is one sending of a request to one server and how it ended.
type attempt struct {
	server *balance.Server
	// name and node are the server's, read under the service's lock.
	name  string
	node  string
	call  *peer.Call
	began time.Time

	outcome retry.Outcome
	// response is set when the server answered.
	response *wire.Response
	// reason and retryAfter are the gate's when it refused.
	reason     wire.Reason
	retryAfter time.Duration
	// final says that no other attempt may follow: the caller is gone or its
	// time is up.
	final bool
}

// attempt sends the request to one server and waits for the head of the
// answer. It returns nil when there is no server to send to.
func (e *Entry) attempt(r *request) *attempt {
	a := &attempt{began: time.Now()}
	s := r.service
	s.mu.Lock()
	a.server = s.pool.Pick(a.began, s.rng, r.tried)
	if a.server == nil {
		s.mu.Unlock()
		return nil
	}
	s.pool.Sent(a.began, a.server)
	a.name, a.node = a.server.Name, a.server.Node
	s.mu.Unlock()
	r.tried = append(r.tried, a.server)
	r.attempts++
	suspected := e.send(r, a)
	if a.call == nil {
		return a
	}
	return e.await(r, a, suspected)
}

// send starts the call or ends the attempt as not run. It returns a channel
// that is closed when the node becomes suspected.
func (e *Entry) send(r *request, a *attempt) <-chan struct{} {
	conn, err := e.dialer.Get(a.node, min(e.settings.ConnectLimit, time.Until(r.deadline)))
	if err != nil {
		e.endUnreachable(r, a)
		return nil
	}
	left := time.Until(r.deadline)
	if left <= 0 || !callerOpen(r.caller) {
		a.outcome, a.reason, a.final = retry.NotRun, wire.ReasonDeadline, true
		e.end(r, a, balance.Result{Abandoned: true})
		return nil
	}
	suspected := conn.Suspected()
	if conn.IsSuspected() {
		suspected = nil // It was chosen for want of another; wait for it.
	}
	m := r.message
	m.Server = a.name
	m.BudgetMicros = left.Microseconds()
	call, err := conn.Start(&m)
	if err != nil {
		e.endUnreachable(r, a)
		return nil
	}
	e.Counters.Attempts.Add(1)
	a.call = call
	if !m.Last {
		go r.sendBody(call, len(m.Body), e.settings.BodyIdleLimit)
	}
	return suspected
}

// sendBody sends the rest of the body. A body that broke off at the caller
// must not look complete to the server, so the call is abandoned then.
func (r *request) sendBody(call *peer.Call, offset int, idle time.Duration) {
	err := r.body.sendTo(call, offset, idle)
	if err != nil && r.body.broken() != nil {
		call.Abandon()
	}
}

// await waits until the attempt, or a hedge beside it, has an outcome, and
// returns the one that decides.
func (e *Entry) await(r *request, a *attempt, suspected <-chan struct{}) *attempt {
	deadline := time.NewTimer(time.Until(r.deadline))
	defer deadline.Stop()
	var hedgeAt <-chan time.Time
	if delay, ok := e.hedgeDelay(r); ok {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		hedgeAt = timer.C
	}
	var hedge *attempt
	var hedgeHead <-chan peer.Head
	for {
		select {
		case head := <-a.call.Head():
			e.endHead(r, a, head)
			if hedge != nil && a.outcome != retry.Answered {
				r.mayHaveRun = r.mayHaveRun || a.outcome.MayHaveRun()
				return e.await(r, hedge, nil) // The hedge goes on alone.
			}
			e.dropLoser(r, hedge)
			return a
		case head := <-hedgeHead:
			hedgeHead = nil
			e.endHead(r, hedge, head)
			if hedge.outcome == retry.Answered {
				e.Counters.HedgesWon.Add(1)
				e.dropLoser(r, a)
				return hedge
			}
			r.mayHaveRun = r.mayHaveRun || hedge.outcome.MayHaveRun()
			hedge = nil // The first attempt goes on alone.
		case <-hedgeAt:
			hedgeAt = nil
			if hedge = e.hedge(r); hedge != nil {
				hedgeHead = hedge.call.Head()
			}
		case <-suspected:
			suspected = nil
			if r.message.Repeatable && hedge == nil {
				e.endSilent(r, a)
				return a
			}
		case <-r.gone:
			e.Counters.CallerGone.Add(1)
			e.dropLoser(r, hedge)
			e.dropLoser(r, a)
			a.outcome, a.final = retry.Unknown, true
			return a
		case <-deadline.C:
			e.dropLoser(r, hedge)
			r.mayHaveRun = r.mayHaveRun || hedge != nil
			e.endDeadline(r, a)
			return a
		}
	}
}

// hedgeDelay is when the request is to be hedged; ok is false when never.
func (e *Entry) hedgeDelay(r *request) (time.Duration, bool) {
	if e.settings.NoHedges || r.hedged || !r.message.Repeatable || !r.message.Last {
		return 0, false
	}
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	return r.service.delay.After()
}

// hedge sends the request to a second server beside the first, if the budget
// and the servers allow it; else it returns nil.
func (e *Entry) hedge(r *request) *attempt {
	r.hedged = true
	now := time.Now()
	a := &attempt{began: now}
	s := r.service
	s.mu.Lock()
	if s.pool.Others(now, r.tried) == 0 || !s.hedges.Take(now, 1) {
		s.mu.Unlock()
		return nil
	}
	a.server = s.pool.Pick(now, s.rng, r.tried)
	s.pool.Sent(now, a.server)
	a.name, a.node = a.server.Name, a.server.Node
	s.mu.Unlock()
	r.tried = append(r.tried, a.server)
	r.attempts++
	e.send(r, a)
	if a.call == nil {
		return nil
	}
	e.Counters.Hedges.Add(1)
	return a
}

// dropLoser gives up an attempt that is no longer needed. That it has taken so
// long already says something of its server.
func (e *Entry) dropLoser(r *request, a *attempt) {
	if a == nil {
		return
	}
	a.call.Abandon()
	e.end(r, a, balance.Result{Latency: time.Since(a.began), TimedOut: true})
}

// endHead ends an attempt by what the gate said.
func (e *Entry) endHead(r *request, a *attempt, head peer.Head) {
	took := time.Since(a.began)
	switch {
	case head.Response != nil:
		a.response = head.Response
		a.outcome = outcomeOfStatus(head.Response.Status)
		failed := a.outcome == retry.ServerError && !head.Response.NoRetry
		e.end(r, a, balance.Result{Latency: took, Failed: failed, Load: &head.Response.Load})
		if a.outcome == retry.Answered {
			r.service.observe(took)
		}
	case head.Refusal != nil:
		a.outcome = retry.NotRun
		a.reason = head.Refusal.Reason
		if a.reason == wire.ReasonOverload || a.reason == wire.ReasonShed {
			a.outcome = retry.Overloaded
		}
		a.final = a.reason == wire.ReasonDeadline
		a.retryAfter = time.Duration(head.Refusal.RetryAfterMicros) * time.Microsecond
		e.end(r, a, balance.Result{Refused: a.reason, RetryAfter: a.retryAfter, Load: &head.Refusal.Load})
	case head.Reset != nil:
		a.outcome = retry.Unknown
		e.end(r, a, balance.Result{Latency: took, Failed: true, Load: &head.Reset.Load})
	default:
		a.outcome = retry.Unknown
		e.end(r, a, balance.Result{Latency: took, Failed: true})
	}
}

func outcomeOfStatus(status int) retry.Outcome {
	switch status {
	case fasthttp.StatusInternalServerError, fasthttp.StatusBadGateway,
		fasthttp.StatusServiceUnavailable, fasthttp.StatusGatewayTimeout:
		return retry.ServerError
	}
	return retry.Answered
}

// endUnreachable ends an attempt of which not one byte left this node.
func (e *Entry) endUnreachable(r *request, a *attempt) {
	a.outcome, a.reason = retry.NotRun, wire.ReasonConnect
	now := time.Now()
	s := r.service
	s.mu.Lock()
	s.pool.Ended(now, a.server, balance.Result{Abandoned: true})
	s.pool.Unreachable(now, a.server)
	s.mu.Unlock()
}

// endSilent gives up waiting for a node that is suspected.
func (e *Entry) endSilent(r *request, a *attempt) {
	a.call.Abandon()
	a.outcome = retry.Silent
	s := r.service
	s.mu.Lock()
	s.pool.Suspect(time.Now(), a.server, true)
	s.mu.Unlock()
	e.end(r, a, balance.Result{Abandoned: true})
}

// endDeadline asks the gate to cancel and takes its word for whether the
// request was run.
func (e *Entry) endDeadline(r *request, a *attempt) {
	a.final = true
	a.call.Cancel()
	timer := time.NewTimer(e.settings.WordLimit)
	defer timer.Stop()
	a.outcome = retry.Unknown
	select {
	case head := <-a.call.Head():
		if head.Response != nil {
			e.endHead(r, a, head)
			return
		}
		if head.Refusal != nil {
			a.outcome, a.reason = retry.NotRun, wire.ReasonDeadline
		}
	case <-timer.C:
		a.call.Abandon()
	}
	e.end(r, a, balance.Result{Latency: time.Since(a.began), TimedOut: true})
}

func (e *Entry) end(r *request, a *attempt, result balance.Result) {
	s := r.service
	s.mu.Lock()
	s.pool.Ended(time.Now(), a.server, result)
	s.mu.Unlock()
}

// observe teaches the service's hedge delay.
func (s *service) observe(latency time.Duration) {
	s.mu.Lock()
	s.delay.Observe(latency)
	s.mu.Unlock()
}
