// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/peer"
	"github.com/ryehaven/ryehaven/retry"
	"github.com/ryehaven/ryehaven/wire"
)

// attempt is one try to send a request to one server, together with its result.
type attempt struct {
	server *balance.Server
	// name and node are the server's name and node address, read under the service's
	// lock.
	name string
	node string
	call *peer.Call
	// onlyServer says that no other server could take the request.
	onlyServer bool
	// slowness is the slowness that the entry assumes of the server, for its gate to
	// check; 0 if the gate needs no check.
	slowness int
	// rateLimit is the limit that the server reports, as far as the entry knows.
	rateLimit wire.RateLimit
	began     time.Time
	// logIndex is the attempt's index in the request's attemptLog.
	logIndex int
	// concurrent says that another server is handling the request at the same time.
	concurrent bool
	// connStalled says that the connection to the server was stalled, and budgetDenied
	// that the retry budget did not cover another attempt.
	connStalled, budgetDenied bool
	// dropped says that the entry stopped waiting for the attempt's outcome.
	dropped bool

	outcome retry.Outcome
	// response is set when the server answered.
	response *wire.Response
	// reason and retryAfter come from the gate when it refused the request.
	reason     wire.Reason
	retryAfter time.Duration
	// notArrived says that the request never reached the gate and that the gate was not
	// at fault.
	notArrived bool
	// unsent says that no connection to the server's node could be made, and detail why.
	unsent bool
	detail string
	// final says that no other attempt may follow, because the caller is gone, the
	// deadline has passed, or the gate refused the request as blamed.
	final bool
}

// tryOneServer sends the request to one server and waits for the head of the answer. It
// returns nil when there is no server to send to.
func (e *Entry) tryOneServer(r *request) *attempt {
	if !r.suspect {
		e.waitForSpeed(r)
	}
	a := r.pick(time.Now())
	if a == nil {
		return nil
	}
	suspected := e.send(r, a)
	if a.call == nil {
		return a
	}
	race := &race{entry: e, request: r, first: a, suspected: suspected}
	return race.run()
}

// pick chooses a server that was not tried yet and starts an attempt at it.
func (r *request) pick(now time.Time) *attempt {
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.suspect {
		server := r.pickSuspect(now)
		if server == nil {
			return nil
		}
		return r.startAttempt(now, server)
	}
	demand := r.demand(now)
	server := s.pool.PickFor(now, s.rng, r.tried, demand)
	if !r.mayQueue {
		if better := s.pool.BestFullServer(now, r.fullServers, server, demand); better != nil {
			server = better
			r.mayQueue = true
		}
	}
	if server == nil {
		return nil
	}
	a := r.startAttempt(now, server)
	if r.slowRefusals < maxSlowRefusals {
		a.slowness = s.pool.SlownessToProbe(now, server, demand)
	}
	return a
}

// maxSlowRefusals is how many times a request may be refused because the chosen server
// had become slower than assumed. After that the request accepts any speed.
const maxSlowRefusals = 3

// startAttempt records an attempt at a server. The service's lock must be held.
func (r *request) startAttempt(now time.Time, server *balance.Server) *attempt {
	pool := r.service.pool
	if len(r.attemptLog) == 0 {
		r.candidates = candidatesOf(pool.ServerViews(now))
	}
	pool.Sent(now, server)
	r.tried = append(r.tried, server)
	r.attempts++
	r.attemptLog = append(r.attemptLog, event.Attempt{Server: server.Name, Node: server.Node, StartedAfter: now.Sub(r.began)})
	return &attempt{
		logIndex:   len(r.attemptLog) - 1,
		server:     server,
		name:       server.Name,
		node:       server.Node,
		rateLimit:  server.RateLimit(),
		onlyServer: pool.CountUntried(now, r.tried) == 0,
		began:      now,
	}
}

// send starts the call, or ends the attempt as not run. It returns a channel that is
// closed when the server's node becomes suspected.
func (e *Entry) send(r *request, a *attempt) <-chan struct{} {
	conn, err := e.dialer.Get(a.node, min(e.settings.ConnectTimeout, time.Until(r.deadline)))
	if err != nil {
		e.endUnreachable(r, a, err)
		return nil
	}
	if r.suspect {
		e.settings.Blame.Sync(a.node) // The server's gate must know of the blame, so that it runs the request alone.
	}
	left := time.Until(r.deadline)
	if left <= 0 || !callerOpen(r.caller) {
		a.outcome, a.reason, a.final = retry.NotRun, wire.ReasonDeadline, true
		e.endAttempt(r, a, balance.Result{Abandoned: true})
		return nil
	}
	suspected := conn.Suspected()
	if conn.IsSuspected() {
		suspected = nil // The node was chosen for lack of another one, so wait for it.
	}
	m := r.message
	m.Server = a.name
	m.BudgetMicros = left.Microseconds()
	m.Patient = a.onlyServer
	m.Slowness = a.slowness
	m.MayHaveReachedServer = a.concurrent || r.serversReached > 0
	m.Requirements = r.requirements(time.Now(), a)
	if !r.refuseBy.IsZero() {
		m.Patient = r.mayQueue
		m.WaitMicros = max(time.Until(r.refuseBy), time.Millisecond).Microseconds()
	}
	call, err := conn.Start(&m)
	if err != nil {
		e.endUnreachable(r, a, err)
		return nil
	}
	e.Counters.Attempts.Add(1)
	a.call = call
	if !m.Last {
		go r.sendBody(call, len(m.Body), e.settings.BodyIdleTimeout)
	}
	return suspected
}

// sendBody sends the rest of the body. If the caller's body breaks off, the server must
// not take it for complete, so the call is abandoned.
func (r *request) sendBody(call *peer.Call, offset int, idle time.Duration) {
	err := r.body.sendTo(call, offset, idle)
	if err != nil && r.body.readError() != nil {
		call.Abandon()
	}
}

// endWithHead ends an attempt according to the head that the gate sent.
func (e *Entry) endWithHead(r *request, a *attempt, head peer.Head) {
	took := time.Since(a.began)
	switch {
	case head.Response != nil:
		a.response = head.Response
		e.observeServerState(r.service, a, head.Response)
		e.learnCallOrigin(r, head.Response)
		a.outcome = outcomeOfStatus(head.Response.Status)
		failed := a.outcome == retry.ServerError && !head.Response.NoRetry
		// The latency of an answer that was moved to another connection says nothing
		// about the server.
		e.endAttempt(r, a, balance.Result{Latency: took, Failed: failed, Abandoned: head.Moved && !failed, Load: &head.Response.Load})
		if a.outcome == retry.Answered && !head.Moved {
			r.observeAnswer(took, head.Response)
		}
	case head.Refusal != nil:
		a.outcome = retry.NotRun
		a.reason = head.Refusal.Reason
		if a.reason.Full() {
			a.outcome = retry.Overloaded
		}
		if a.reason == wire.ReasonSlow {
			r.slowRefusals++
			r.removeTried(a.server) // It may still be the best server.
		}
		if a.reason.Full() && a.reason != wire.ReasonShed && !r.mayQueue {
			r.fullServers = append(r.fullServers, a.server)
		}
		a.final = a.reason == wire.ReasonBlamed
		a.retryAfter = time.Duration(head.Refusal.RetryAfterMicros) * time.Microsecond
		e.endAttempt(r, a, balance.Result{Refused: a.reason, RetryAfter: a.retryAfter, Load: &head.Refusal.Load})
	case head.Reset != nil:
		a.outcome = retry.Unknown
		a.final = head.Reset.Expired
		a.connStalled = head.Reset.ConnectionStalled
		if head.Reset.Message == wire.ServerExitedMessage {
			e.settings.Blame.Sync(a.node)
		}
		e.endAttempt(r, a, balance.Result{Latency: took, Failed: !a.connStalled, Abandoned: a.connStalled, Load: &head.Reset.Load})
	case eris.Is(head.Err, peer.ErrNotArrived):
		a.outcome, a.reason, a.notArrived = retry.NotRun, wire.ReasonConnect, true
		r.removeTried(a.server)
		e.clearSuspicion(r.service, a)
		e.endAttempt(r, a, balance.Result{Abandoned: true})
	default:
		a.outcome = retry.Unknown
		stalled := eris.Is(head.Err, peer.ErrStalled)
		e.endAttempt(r, a, balance.Result{Latency: took, Failed: !stalled, Abandoned: stalled})
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
func (e *Entry) endUnreachable(r *request, a *attempt, err error) {
	a.outcome, a.reason = retry.NotRun, wire.ReasonConnect
	a.unsent, a.detail = true, err.Error()
	now := time.Now()
	r.logAttemptEnd(a, now)
	s := r.service
	s.mu.Lock()
	s.pool.Ended(now, a.server, balance.Result{Abandoned: true})
	if !eris.Is(err, wire.ErrHeaderTooLarge) { // That says nothing about the server.
		s.pool.MarkUnreachable(now, a.server)
	}
	s.mu.Unlock()
}

// endUnresponsive gives up waiting for a node that is suspected.
func (e *Entry) endUnresponsive(r *request, a *attempt) {
	a.call.Abandon()
	a.outcome = retry.Unresponsive
	s := r.service
	s.mu.Lock()
	if s.pool.SetSuspected(time.Now(), a.server, true) {
		e.settings.Recorder.Record(suspicionEvent(s.name, a.server, true))
	}
	s.dialerChangesSeen = 0 // Check again: the node may have responded in the meantime.
	s.mu.Unlock()
	e.endAttempt(r, a, balance.Result{Abandoned: true})
}

// clearSuspicion stops suspecting a node that responds on a connection other than the
// request's, so that the request may go there again at once.
func (e *Entry) clearSuspicion(s *service, a *attempt) {
	conn := e.dialer.Peek(a.node)
	if conn == nil || conn.IsSuspected() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pool.SetSuspected(time.Now(), a.server, false) {
		e.settings.Recorder.Record(suspicionEvent(s.name, a.server, false))
	}
}

// endDeadline sends the gate a cancellation of the request and learns from its reply whether the
// request was run.
func (e *Entry) endDeadline(r *request, a *attempt) {
	a.final = true
	a.call.Cancel()
	timer := time.NewTimer(e.settings.CancelReplyTimeout)
	defer timer.Stop()
	a.outcome = retry.Unknown
	select {
	case head := <-a.call.Head():
		if head.Response != nil {
			e.endWithHead(r, a, head)
			return
		}
		if head.Refusal != nil {
			a.outcome, a.reason = retry.NotRun, wire.ReasonDeadline
		}
	case <-timer.C:
		a.call.Abandon()
	}
	e.endAttempt(r, a, balance.Result{Latency: time.Since(a.began), TimedOut: true})
}

func (e *Entry) endAttempt(r *request, a *attempt, result balance.Result) {
	now := time.Now()
	r.logAttemptEnd(a, now)
	s := r.service
	s.mu.Lock()
	before := a.server.Ejected(now)
	s.pool.Ended(now, a.server, result)
	ejected := !before && a.server.Ejected(now)
	s.mu.Unlock()
	if ejected {
		e.settings.Recorder.Record(&event.ServerHealth{Service: s.name, Server: a.name, Node: a.node, State: event.Ejected, Reason: "it failed too often, last " + a.outcome.String() + " of request " + r.message.CallerRequestID})
	}
}
