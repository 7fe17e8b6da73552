// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/platform/emulator"
)

// The names of the promises, as in docs/PROMISES.md.
const (
	PromiseCorrectAnswer    = "whole and own answer"
	PromiseNotRun           = "not run means not run"
	PromiseOnce             = "at most once"
	PromiseOnlySentRequests = "nothing that nobody asked for"
	PromiseAttempts         = "no more servers than the route allows"
	PromiseRetryBudget      = "retry budget"
	PromiseDrain            = "drain"
	PromiseNoLoss           = "planned work cuts nothing off"
	PromiseConfig           = "configuration in force in time"
	PromiseNoRollback       = "configuration never goes back"
	PromiseNoUnexpectedExit = "no process ends by itself"
	PromiseRecovery         = "recovery"
	PromiseCold             = "cold servers get what they bear"
	PromiseEvacuate         = "evacuated zones get nothing"
	PromiseNotRejected      = "proper requests are not rejected as wrong"
	PromiseService          = "service while connections are silent"
	PromiseCrash            = "requests that crash servers are stopped"
	PromiseTenant           = "keys name their tenants and end with their version"
	PromiseQuota            = "quotas over all nodes"
	PromiseInTime           = "answered or refused in time"
	PromiseRateLimit        = "servers get no more than the rate that they accept"
)

// Check returns every promise that a history breaks.
func Check(h History, b Bounds) []Violation {
	o := newOracle(h, b)
	for i := range h.Calls {
		o.checkCall(&h.Calls[i])
	}
	o.checkArrivals()
	o.checkDrain()
	o.checkMovingRoute()
	o.checkRollback()
	o.checkRejected()
	o.checkService()
	o.checkBudget()
	o.checkCold()
	o.checkRateLimits()
	o.checkLeaving()
	o.checkCrashes()
	o.checkEvacuations()
	o.checkTenants()
	o.checkExits()
	return o.found
}

// oracle is a history with its indexes.
type oracle struct {
	History
	bounds Bounds
	// arrivalsByID holds the arrivals of each request at servers, and calls the requests
	// themselves, both by ID.
	arrivalsByID map[string][]Arrival
	calls        map[string]*Call
	found        []Violation
}

func newOracle(h History, b Bounds) *oracle {
	o := &oracle{History: h, bounds: b, arrivalsByID: map[string][]Arrival{}, calls: map[string]*Call{}}
	for _, a := range h.Arrivals {
		o.arrivalsByID[a.RequestID] = append(o.arrivalsByID[a.RequestID], a)
	}
	for i := range h.Calls {
		o.calls[h.Calls[i].ID] = &h.Calls[i]
	}
	return o
}

// report adds a violation.
func (o *oracle) report(promise string, at time.Time, format string, args ...any) {
	o.found = append(o.found, Violation{Promise: promise, At: at, Detail: fmt.Sprintf(format, args...)})
}

// runsOf counts the runs of a request.
func (o *oracle) runsOf(id string) int {
	n := 0
	for _, a := range o.arrivalsByID[id] {
		if a.Ran {
			n++
		}
	}
	return n
}

// serversOf returns the servers that a request reached.
func (o *oracle) serversOf(id string) (servers []string) {
	for _, a := range o.arrivalsByID[id] {
		servers = append(servers, a.Server)
	}
	return servers
}

// promisesNotRun reports whether a status promises that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest,
		fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkCall checks the promises about a single request.
func (o *oracle) checkCall(c *Call) {
	if c.Reply.Err == nil && !c.Abandoned {
		o.checkAnswer(c)
	}
	runs := o.runsOf(c.ID)
	if !c.Repeatable && runs > 1 {
		o.report(PromiseOnce, c.Done, "request %s ran %d times, at %v", c.ID, runs, o.serversOf(c.ID))
	}
	if n := len(o.arrivalsByID[c.ID]); n > o.Attempts {
		o.report(PromiseAttempts, c.Done, "request %s reached %d servers, its route allows %d", c.ID, n, o.Attempts)
	}
	o.checkLost(c)
	o.checkReplaced(c)
	o.checkInTime(c)
	if c.SinceVersion > 0 {
		o.checkConfig(c)
	}
}

// checkAnswer checks that an answer matches its request and what servers did.
func (o *oracle) checkAnswer(c *Call) {
	r := c.Reply
	runs := o.runsOf(c.ID)
	switch {
	case r.Status == fasthttp.StatusOK && (r.Body != emulator.BodyOf(c.ID, c.URI) || r.Seal == ""):
		o.report(PromiseCorrectAnswer, c.Done, "request %s got 200 with body %q and seal %q", c.ID, r.Body, r.Seal)
	case r.Status == fasthttp.StatusOK && differingField(answerFields, r.Fields) != "":
		name := differingField(answerFields, r.Fields)
		o.report(PromiseCorrectAnswer, c.Done, "request %s got 200 with the field %s as %q", c.ID, name, r.Fields[name])
	case r.Status == fasthttp.StatusOK && runs == 0:
		o.report(PromiseCorrectAnswer, c.Done, "request %s got 200 and never ran", c.ID)
	case promisesNotRun(r.Status) && !c.Repeatable && runs > 0:
		o.report(PromiseNotRun, c.Done, "request %s got %d and ran", c.ID, r.Status)
	}
}

// checkLost checks that planned work leaves no request without an answer after its node has
// read all of it.
func (o *oracle) checkLost(c *Call) {
	if c.Reply.Err == nil || c.Abandoned || c.Sent.IsZero() {
		return
	}
	reachedServer := len(o.arrivalsByID[c.ID]) > 0
	if !reachedServer && (c.Pipelined || c.Done.Sub(c.Sent) <= o.bounds.LossSlack) {
		return // The connection was closed while the request was on its way, or the node did not read it.
	}
	if o.hasUnplannedDisturbance(c.Sent.Add(-o.bounds.Undisturbed), c.Done) {
		return
	}
	o.report(PromiseNoLoss, c.Done, "request %s at host %d failed %v after it was sent (reached a server: %v): %v",
		c.ID, c.Host, c.Done.Sub(c.Sent).Round(time.Millisecond), reachedServer, c.Reply.Err)
}

// checkInTime checks that each request is answered or refused by the deadline of its caller,
// however many requests there are.
func (o *oracle) checkInTime(c *Call) {
	timeout := c.timeout()
	if c.Abandoned || c.Sent.IsZero() || c.Pipelined || c.Done.Sub(c.Sent) <= timeout+o.bounds.EndSlack {
		return
	}
	if o.hasUnplannedDisturbance(c.Sent.Add(-o.bounds.Undisturbed), c.Done) {
		return
	}
	o.report(PromiseInTime, c.Done, "request %s at host %d ended %v after it was sent, its deadline was %v",
		c.ID, c.Host, c.Done.Sub(c.Sent).Round(time.Millisecond), timeout)
}

// checkReplaced checks that during a planned stop a node does not answer a request itself
// while a server still works on it, before the request's time limit.
func (o *oracle) checkReplaced(c *Call) {
	if c.Reply.Err != nil || c.Abandoned || c.Reply.Seal != "" || c.Reply.Status < fasthttp.StatusInternalServerError || promisesNotRun(c.Reply.Status) {
		return
	}
	took := c.Done.Sub(c.Began)
	if took >= min(o.bounds.Timeout, c.timeout()) || !o.overlapsStop(c) || o.hasUnplannedDisturbance(c.Sent.Add(-o.bounds.Undisturbed), c.Done) {
		return
	}
	for _, a := range o.arrivalsByID[c.ID] {
		if a.Ran && (a.Ended.IsZero() || a.Ended.After(c.Done)) {
			o.report(PromiseNoLoss, c.Done, "request %s at host %d got %d from the node itself %v after it was sent, while server %s had been working on it for %v",
				c.ID, c.Host, c.Reply.Status, took.Round(time.Millisecond), a.Server, c.Done.Sub(a.At).Round(time.Millisecond))
			return
		}
	}
}

// overlapsStop reports whether a request was under way around a planned stop of its host. No
// request may take so long that the end of a stop cuts it off.
func (o *oracle) overlapsStop(c *Call) bool {
	for _, d := range o.Disturbances {
		if d.Kind == Stop && d.Host == c.Host && !c.Done.Before(d.From) && !c.Sent.After(d.From.Add(stopTimeout+stopGrace)) {
			return true
		}
	}
	return false
}

// stopGrace is how long after stopTimeout requests still count as overlapping with the stop.
const stopGrace = time.Second

// undisturbed reports whether there was no disturbance of a host in a period, or of all
// hosts.
func (o *oracle) undisturbed(host int, from, to time.Time) bool {
	for _, d := range o.Disturbances {
		if (d.Host == host || d.Host == AllHosts) && d.From.Before(to) && d.To.After(from) {
			return false
		}
	}
	return true
}

// hasUnplannedDisturbance reports whether there was any unplanned disturbance in a period.
func (o *oracle) hasUnplannedDisturbance(from, to time.Time) bool {
	for _, d := range o.Disturbances {
		if d.Unplanned && d.From.Before(to) && d.To.After(from) {
			return true
		}
	}
	return false
}

// checkArrivals checks that servers received only requests that callers sent, unchanged.
func (o *oracle) checkArrivals() {
	for _, a := range o.Arrivals {
		c := o.calls[a.RequestID]
		switch {
		case c == nil:
			o.report(PromiseOnlySentRequests, a.At, "server %s received request %q, which no caller sent", a.Server, a.RequestID)
		case a.Method != c.Method || a.URI != c.URI || (a.Ran && a.Body != c.Body):
			o.report(PromiseOnlySentRequests, a.At, "server %s received request %s as %s %s with %d bytes, sent as %s %s with %d",
				a.Server, a.RequestID, a.Method, a.URI, len(a.Body), c.Method, c.URI, len(c.Body))
		case differingField(c.Fields, a.Fields) != "":
			name := differingField(c.Fields, a.Fields)
			o.report(PromiseOnlySentRequests, a.At, "server %s received request %s with the field %s as %q, sent %q", a.Server, a.RequestID, name, a.Fields[name], c.Fields)
		case a.Caller != o.Services[c.Host]:
			o.report(PromiseOnlySentRequests, a.At, "request %s of host %d names caller %q, want %q", a.RequestID, c.Host, a.Caller, o.Services[c.Host])
		}
	}
}

// checkDrain checks that servers get no requests once their drain has been acknowledged and
// its time limit is over.
func (o *oracle) checkDrain() {
	acks := map[string]Ack{}
	for _, a := range o.Acks {
		if first, ok := acks[a.Server]; !ok || a.At.Before(first.At) {
			acks[a.Server] = a
		}
	}
	for _, a := range o.Arrivals {
		ack, ok := acks[a.Server]
		c := o.calls[a.RequestID]
		if !ok || c == nil || a.At.Sub(ack.At) <= o.bounds.Drain {
			continue
		}
		from := a.At.Add(-o.bounds.Undisturbed)
		if o.undisturbed(c.Host, from, a.At) && o.undisturbed(ack.Host, from, a.At) {
			o.report(PromiseDrain, a.At, "request %s reached server %s %v after its drain was acknowledged",
				a.RequestID, a.Server, a.At.Sub(ack.At).Round(time.Millisecond))
		}
	}
}

// checkBudget checks the limit of requests that reach a second server, in every window.
func (o *oracle) checkBudget() {
	type event struct {
		at    time.Time
		retry bool
	}
	var events []event
	seen := map[string]bool{}
	arrivals := append([]Arrival(nil), o.Arrivals...)
	sort.Slice(arrivals, func(a, b int) bool { return arrivals[a].At.Before(arrivals[b].At) })
	for _, a := range arrivals {
		events = append(events, event{a.At, seen[a.RequestID]})
		seen[a.RequestID] = true
	}
	oldest, firstTries, retries := 0, 0, 0
	for _, e := range events {
		if e.retry {
			retries++
		} else {
			firstTries++
		}
		for ; e.at.Sub(events[oldest].at) > o.bounds.RetryWindow; oldest++ {
			if events[oldest].retry {
				retries--
			} else {
				firstTries--
			}
		}
		if limit := o.bounds.RetryShare*float64(firstTries) + float64(o.bounds.RetryExtra); float64(retries) > limit {
			o.report(PromiseRetryBudget, e.at, "%d requests reached another server within %v, %.0f are allowed", retries, o.bounds.RetryWindow, limit)
			return
		}
	}
}

// checkCold checks the limit of requests that cold servers get within a second.
func (o *oracle) checkCold() {
	for _, c := range o.ColdPeaks {
		if c.Peak > o.bounds.MaxColdRate {
			o.report(PromiseCold, time.Time{}, "server %s got %d requests within a second while it was cold, %d are allowed", c.Server, c.Peak, o.bounds.MaxColdRate)
		}
	}
}

// checkEvacuations checks that undisturbed hosts send nothing to the servers of evacuated
// zones once the time limit is over.
func (o *oracle) checkEvacuations() {
	for _, a := range o.Arrivals {
		c := o.calls[a.RequestID]
		if c == nil {
			continue
		}
		for _, e := range o.Evacuations {
			after := a.At.Sub(e.From)
			if o.Zones[a.Host] != e.Zone || after <= o.bounds.Evacuate || !a.At.Before(e.To) {
				continue
			}
			from := a.At.Add(-max(o.bounds.Undisturbed, o.bounds.Evacuate))
			if o.undisturbed(c.Host, from, a.At) && o.undisturbed(a.Host, from, a.At) {
				o.report(PromiseEvacuate, a.At, "request %s reached server %s %v after its zone was evacuated",
					a.RequestID, a.Server, after.Round(time.Millisecond))
			}
		}
	}
}

// checkExits checks that no process exited by itself and that all hosts recovered.
func (o *oracle) checkExits() {
	for _, p := range o.Processes {
		if p.Unexpected != "" {
			o.report(PromiseNoUnexpectedExit, p.To, "node of host %d: %s", p.Host, p.Unexpected)
		}
	}
	if !o.Recovered {
		o.report(PromiseRecovery, time.Time{}, "after the last fault: %s", strings.TrimSpace(o.RecoveryError))
	}
}
