// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/header"
)

// candidatesOf turns what a pool knows into what is written.
func candidatesOf(views []balance.View) event.Candidates {
	candidates := make(event.Candidates, len(views))
	for i, v := range views {
		candidates[i] = event.Candidate{Server: v.Name, Slowness: v.Slowness, Age: v.Age, Load: v.Load, Limit: v.Limit, Trouble: v.Trouble}
	}
	return candidates
}

// ended completes an attempt in the request's trail.
func (r *request) ended(a *attempt, now time.Time) {
	told := &r.trail[a.place]
	told.Took = now.Sub(a.began)
	told.Outcome = a.outcome.String()
	if a.dropped {
		told.Outcome = "dropped"
	}
	if a.reason != 0 {
		told.Reason = a.reason.String()
	}
	if a.response != nil {
		told.Status = a.response.Status
	}
}

func outcomeOf(f failure) event.Outcome {
	if f.outcome == header.NotRun {
		return event.NotRun
	}
	return event.Unknown
}

// record writes how a request ended, if such requests are written.
func (e *Entry) record(r *request, now time.Time, outcome event.Outcome, f failure) {
	line := event.Request{
		ID:         r.message.Tag,
		Service:    r.service.name,
		Outcome:    outcome,
		Status:     f.status,
		Detail:     f.detail,
		Took:       now.Sub(r.began),
		Limit:      r.deadline.Sub(r.began),
		RetryAfter: f.retryAfter,
		Denied:     r.denied,
		Candidates: r.candidates,
		Attempts:   r.trail,
	}
	if r.route != nil {
		line.Route = r.route.Host + r.route.Prefix
		line.Aim = r.route.Aim
	}
	select {
	case <-r.gone:
		line.Outcome = event.Gone
	default:
	}
	if !e.settings.Recorder.Wants(line.ID, line.Unusual()) {
		return
	}
	if e.settings.Versions != nil {
		line.Generation, line.Members = e.settings.Versions()
	}
	e.settings.Recorder.Record(&line)
}
