// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/header"
)

// stopTimes are the times by which a stopping entry decides what it still accepts.
type stopTimes struct {
	// callersNotified is when callers have had enough time to notice that the node is
	// stopping.
	callersNotified time.Time
	// deadline is when all accepted requests must have been answered.
	deadline time.Time
}

// Stop makes the entry accept only requests that it can answer before deadline. A request
// that was read must be answered either way. Until callersNotified, while callers can't
// know that the node is stopping, the entry goes by the time that such requests usually
// take; after that, by the time that they may take at most. Other requests are refused as
// not run.
func (e *Entry) Stop(callersNotified, deadline time.Time) {
	e.stopping.Store(&stopTimes{callersNotified: callersNotified, deadline: deadline})
}

// accepts reports whether the entry may start handling a request now.
func (e *Entry) accepts(now time.Time, r *request) bool {
	s := e.stopping.Load()
	if s == nil {
		return true
	}
	required := r.deadline.Sub(now)
	if now.Before(s.callersNotified) && r.stats != nil {
		required = min(required, r.stats.usualMax())
	}
	return !now.Add(required).After(s.deadline)
}

// InFlight lists the requests in flight.
func (e *Entry) InFlight(now time.Time) event.PendingRequests {
	e.activeMu.Lock()
	defer e.activeMu.Unlock()
	inFlight := make(event.PendingRequests, 0, len(e.active))
	for r := range e.active {
		inFlight = append(inFlight, event.PendingRequest{
			ID: r.message.CallerRequestID, Component: event.AtEntry, WaitingFor: r.service.name, Age: now.Sub(r.began), Remaining: r.deadline.Sub(now),
		})
	}
	return inFlight
}

// stoppingRetryAfter is the retry delay for callers of a stopping node: they notice
// within a second that it is not ready, and other nodes can take the request at once.
const stoppingRetryAfter = 100 * time.Millisecond

// refuseStopping answers a request that arrived too late for a stopping node.
func (e *Entry) refuseStopping(ctx *fasthttp.RequestCtx) {
	e.Counters.RefusedStopping.Add(1)
	f := failure{
		status:     fasthttp.StatusServiceUnavailable,
		outcome:    header.NotRun,
		proxyError: statusUnavailable,
		detail:     "this node stops and could not wait for the answer",
		retryAfter: stoppingRetryAfter,
	}
	e.recordRejected(ctx, time.Now(), f)
	e.answerFailure(ctx, f)
	ctx.SetConnectionClose()
}
