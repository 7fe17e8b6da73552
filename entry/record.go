// SPDX-License-Identifier: MIT

package entry

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/header"
)

// candidatesOf converts what a pool knows of its servers for the log.
func candidatesOf(views []balance.ServerView) event.Candidates {
	candidates := make(event.Candidates, len(views))
	for i, v := range views {
		candidates[i] = event.Candidate{Server: v.Name, Slowness: v.Slowness, SlownessAge: v.Age, Load: v.Load, Limit: v.Limit, AvoidReason: v.Health}
	}
	return candidates
}

// logAttemptEnd completes the attempt's entry in the request's attemptLog.
func (r *request) logAttemptEnd(a *attempt, now time.Time) {
	record := &r.attemptLog[a.logIndex]
	record.Took = now.Sub(a.began)
	record.Outcome = a.outcome.String()
	if a.dropped {
		record.Outcome = "dropped"
	}
	if a.reason != 0 {
		record.Reason = a.reason.String()
	}
	record.Detail = a.detail
	if a.response != nil {
		record.Status = a.response.Status
	}
}

func eventOutcome(f failure) event.Outcome {
	if f.outcome == header.NotRun {
		return event.NotRun
	}
	return event.Unknown
}

// recordRequest logs how a request ended, if such requests are logged.
func (e *Entry) recordRequest(r *request, now time.Time, outcome event.Outcome, f failure) {
	line := event.Request{
		ID:          r.message.CallerRequestID,
		Service:     r.service.name,
		Tenant:      r.message.Tenant,
		Outcome:     outcome,
		Status:      f.status,
		Detail:      f.detail,
		Took:        now.Sub(r.began),
		Limit:       r.deadline.Sub(r.began),
		RetryAfter:  f.retryAfter,
		RetryDenied: r.budgetDenied,
		Age:         r.age,
		Candidates:  r.candidates,
		Attempts:    r.attemptLog,
	}
	if r.route != nil {
		line.Route = r.route.Host + r.route.Prefix
		line.Aim = r.route.Aim
	}
	if r.suspect || r.blamedFor > 0 {
		line.Fingerprint = r.fingerprint.String()
	}
	select {
	case <-r.gone:
		line.Outcome = event.CallerGone
	default:
	}
	e.writeRecord(now, &line)
}

// recordRejected logs that a request was rejected before any attempt. The log line allows
// an operator to distinguish a wrong request from one that is unknown only to an older
// table.
func (e *Entry) recordRejected(ctx *fasthttp.RequestCtx, now time.Time, f failure) {
	head, _ := readHead(ctx) // What could be read of it.
	e.writeRecord(now, &event.Request{
		ID:         string(ctx.Request.Header.Peek(e.settings.Dialect.RequestID)),
		Route:      head.hostName() + prefixOf(head.target.Path()),
		Outcome:    event.NotRun,
		Status:     f.status,
		Detail:     f.detail,
		Took:       now.Sub(ctx.Time()),
		RetryAfter: f.retryAfter,
	})
}

// prefixOf returns the first segment of a path, by which rejected requests are grouped.
func prefixOf(path string) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return "/" + first + "/"
}

// writeRecord adds the state that the decision was based on and writes the log line, if
// such lines are logged.
func (e *Entry) writeRecord(now time.Time, line *event.Request) {
	if !e.settings.Recorder.ShouldRecord(line.ID, line.Unusual()) {
		return
	}
	if e.settings.Versions != nil {
		line.Generation, line.MembersHash = e.settings.Versions()
	}
	line.TableConfirmedAge = e.tableConfirmedAge(now)
	e.settings.Recorder.Record(line)
}

// neverConfirmed is the logged age of a table that was never confirmed.
const neverConfirmed = -time.Millisecond

// tableConfirmedAge returns how long before now the table was confirmed to be the newest.
func (e *Entry) tableConfirmedAge(now time.Time) time.Duration {
	if e.settings.TableConfirmedAge == nil {
		return neverConfirmed
	}
	age, ok := e.settings.TableConfirmedAge(now)
	if !ok {
		return neverConfirmed
	}
	return age
}
