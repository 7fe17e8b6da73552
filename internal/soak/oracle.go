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

// The names of the promises.
const (
	PromiseWhole    = "whole and own answer"
	PromiseNotRun   = "not run means not run"
	PromiseOnce     = "at most once"
	PromiseUnasked  = "nothing that nobody asked for"
	PromiseAttempts = "no more servers than the route allows"
	PromiseBudget   = "retry budget"
	PromiseDrain    = "drain"
	PromiseLost     = "planned work cuts nothing off"
	PromiseConfig   = "configuration in force in time"
	PromiseBack     = "configuration never goes back"
	PromiseEnds     = "no process ends by itself"
	PromiseRecover  = "recovery"
	PromiseCold     = "cold servers get what they bear"
	PromiseEvacuate = "evacuated zones get nothing"
	PromiseDenied   = "proper requests are not rejected as wrong"
	PromiseService  = "service while connections are silent"
	PromiseCrash    = "requests that crash servers are stopped"
	PromiseTenant   = "keys name their tenants and end with their version"
	PromiseQuota    = "quotas over all nodes"
	PromiseTime     = "answered or refused in time"
)

// Check returns every promise that a history breaks.
func Check(h History, b Bounds) []Violation {
	o := newOracle(h, b)
	for i := range h.Calls {
		o.checkCall(&h.Calls[i])
	}
	o.checkArrivals()
	o.checkDrain()
	o.checkMoved()
	o.checkBack()
	o.checkDenied()
	o.checkService()
	o.checkBudget()
	o.checkCold()
	o.checkCrashes()
	o.checkEvacuations()
	o.checkTenants()
	o.checkEnds()
	return o.found
}

// oracle is a history with its indexes.
type oracle struct {
	History
	bounds Bounds
	// byID are the arrivals of each request and calls the requests themselves.
	byID  map[string][]Arrival
	calls map[string]*Call
	found []Violation
}

func newOracle(h History, b Bounds) *oracle {
	o := &oracle{History: h, bounds: b, byID: map[string][]Arrival{}, calls: map[string]*Call{}}
	for _, a := range h.Arrivals {
		o.byID[a.RequestID] = append(o.byID[a.RequestID], a)
	}
	for i := range h.Calls {
		o.calls[h.Calls[i].ID] = &h.Calls[i]
	}
	return o
}

func (o *oracle) report(promise string, at time.Time, format string, args ...any) {
	o.found = append(o.found, Violation{Promise: promise, At: at, Detail: fmt.Sprintf(format, args...)})
}

// ran counts the runs of a request.
func (o *oracle) ran(id string) int {
	n := 0
	for _, a := range o.byID[id] {
		if a.Ran {
			n++
		}
	}
	return n
}

// serversOf names the servers that a request came to.
func (o *oracle) serversOf(id string) (servers []string) {
	for _, a := range o.byID[id] {
		servers = append(servers, a.Server)
	}
	return servers
}

// promisesNotRun reports whether a status says that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest,
		fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

func (o *oracle) checkCall(c *Call) {
	if c.Reply.Err == nil && !c.Left {
		o.checkAnswer(c)
	}
	runs := o.ran(c.ID)
	if !c.Repeatable && runs > 1 {
		o.report(PromiseOnce, c.Done, "request %s ran %d times, at %v", c.ID, runs, o.serversOf(c.ID))
	}
	if n := len(o.byID[c.ID]); n > o.Attempts {
		o.report(PromiseAttempts, c.Done, "request %s came to %d servers, its route allows %d", c.ID, n, o.Attempts)
	}
	o.checkLost(c)
	o.checkReplaced(c)
	o.checkTime(c)
	if c.Since > 0 {
		o.checkConfig(c)
	}
}

// checkAnswer holds an answer against the request that it is for.
func (o *oracle) checkAnswer(c *Call) {
	r := c.Reply
	runs := o.ran(c.ID)
	switch {
	case r.Status == fasthttp.StatusOK && (r.Body != emulator.BodyOf(c.ID, c.URI) || r.Seal == ""):
		o.report(PromiseWhole, c.Done, "request %s got 200 with body %q and seal %q", c.ID, r.Body, r.Seal)
	case r.Status == fasthttp.StatusOK && runs == 0:
		o.report(PromiseWhole, c.Done, "request %s got 200 and never ran", c.ID)
	case promisesNotRun(r.Status) && !c.Repeatable && runs > 0:
		o.report(PromiseNotRun, c.Done, "request %s got %d and ran", c.ID, r.Status)
	}
}

// checkLost holds planned work against a request that got no answer although its
// node had read all of it.
func (o *oracle) checkLost(c *Call) {
	if c.Reply.Err == nil || c.Left || c.Sent.IsZero() {
		return
	}
	passedOn := len(o.byID[c.ID]) > 0
	if !passedOn && (c.Behind || c.Done.Sub(c.Sent) <= o.bounds.LossSlack) {
		return // It crossed the closing of its connection, or was not read.
	}
	if o.troubled(c.Sent.Add(-o.bounds.Contact), c.Done) {
		return
	}
	o.report(PromiseLost, c.Done, "request %s at host %d got no answer %v after it was sent (came to a server: %v): %v",
		c.ID, c.Host, c.Done.Sub(c.Sent).Round(time.Millisecond), passedOn, c.Reply.Err)
}

// checkTime holds that nobody waits for nothing: however many requests come, each is
// answered or refused by when its caller no longer waits.
func (o *oracle) checkTime(c *Call) {
	limit := c.limit()
	if c.Left || c.Sent.IsZero() || c.Behind || c.Done.Sub(c.Sent) <= limit+o.bounds.EndSlack {
		return
	}
	if o.troubled(c.Sent.Add(-o.bounds.Contact), c.Done) {
		return
	}
	o.report(PromiseTime, c.Done, "request %s at host %d ended %v after it was sent, %v were left",
		c.ID, c.Host, c.Done.Sub(c.Sent).Round(time.Millisecond), limit)
}

// checkReplaced holds planned stops against an answer of the node's own that takes the
// place of a run which its server is still at work on, before its time is up.
func (o *oracle) checkReplaced(c *Call) {
	if c.Reply.Err != nil || c.Left || c.Reply.Seal != "" || c.Reply.Status < fasthttp.StatusInternalServerError || promisesNotRun(c.Reply.Status) {
		return
	}
	took := c.Done.Sub(c.Began)
	if took >= min(o.bounds.Timeout, c.limit()) || !o.stops(c) || o.troubled(c.Sent.Add(-o.bounds.Contact), c.Done) {
		return
	}
	for _, a := range o.byID[c.ID] {
		if a.Ran && (a.Ended.IsZero() || a.Ended.After(c.Done)) {
			o.report(PromiseLost, c.Done, "request %s at host %d got %d of the node's own %v after it was sent, while server %s worked on it since %v",
				c.ID, c.Host, c.Reply.Status, took.Round(time.Millisecond), a.Server, c.Done.Sub(a.At).Round(time.Millisecond))
			return
		}
	}
}

// stops reports whether a request was under way around a planned stop of its host. No
// request may take so long that it could be cut off at the end of a stop.
func (o *oracle) stops(c *Call) bool {
	for _, s := range o.Spans {
		if s.Kind == Stop && s.Host == c.Host && !c.Done.Before(s.From) && !c.Sent.After(s.From.Add(stopBound+afterStop)) {
			return true
		}
	}
	return false
}

// afterStop is how long after its bound a planned stop is held against a node.
const afterStop = time.Second

// inTouch reports whether nothing was done to a host, or to all, in a time.
func (o *oracle) inTouch(host int, from, to time.Time) bool {
	for _, s := range o.Spans {
		if (s.Host == host || s.Host == Everywhere) && s.From.Before(to) && s.To.After(from) {
			return false
		}
	}
	return true
}

// troubled reports whether anything unplanned was done anywhere in a time.
func (o *oracle) troubled(from, to time.Time) bool {
	for _, s := range o.Spans {
		if s.Unplanned && s.From.Before(to) && s.To.After(from) {
			return true
		}
	}
	return false
}

// checkArrivals holds what reached servers against what was sent.
func (o *oracle) checkArrivals() {
	for _, a := range o.Arrivals {
		c := o.calls[a.RequestID]
		switch {
		case c == nil:
			o.report(PromiseUnasked, a.At, "server %s got request %q, which nobody sent", a.Server, a.RequestID)
		case a.Method != c.Method || a.URI != c.URI || (a.Ran && a.Body != c.Body):
			o.report(PromiseUnasked, a.At, "server %s got request %s as %s %s with %d bytes, sent as %s %s with %d",
				a.Server, a.RequestID, a.Method, a.URI, len(a.Body), c.Method, c.URI, len(c.Body))
		case a.Caller != o.Services[c.Host]:
			o.report(PromiseUnasked, a.At, "request %s of host %d names caller %q, want %q", a.RequestID, c.Host, a.Caller, o.Services[c.Host])
		}
	}
}

// checkDrain holds the acknowledged leavings against what reached servers after.
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
		from := a.At.Add(-o.bounds.Contact)
		if o.inTouch(c.Host, from, a.At) && o.inTouch(ack.Host, from, a.At) {
			o.report(PromiseDrain, a.At, "request %s came to server %s %v after its leaving was acknowledged",
				a.RequestID, a.Server, a.At.Sub(ack.At).Round(time.Millisecond))
		}
	}
}

// checkBudget bounds what reached a second server in every window.
func (o *oracle) checkBudget() {
	type moment struct {
		at    time.Time
		again bool
	}
	var moments []moment
	seen := map[string]bool{}
	arrivals := append([]Arrival(nil), o.Arrivals...)
	sort.Slice(arrivals, func(a, b int) bool { return arrivals[a].At.Before(arrivals[b].At) })
	for _, a := range arrivals {
		moments = append(moments, moment{a.At, seen[a.RequestID]})
		seen[a.RequestID] = true
	}
	first, fresh, again := 0, 0, 0
	for _, m := range moments {
		if m.again {
			again++
		} else {
			fresh++
		}
		for ; m.at.Sub(moments[first].at) > o.bounds.RetryWindow; first++ {
			if moments[first].again {
				again--
			} else {
				fresh--
			}
		}
		if most := o.bounds.RetryShare*float64(fresh) + float64(o.bounds.RetryExtra); float64(again) > most {
			o.report(PromiseBudget, m.at, "%d requests reached another server within %v, %.0f are allowed", again, o.bounds.RetryWindow, most)
			return
		}
	}
}

// checkCold holds what came to cold servers against what they bear.
func (o *oracle) checkCold() {
	for _, c := range o.Cold {
		if c.Most > o.bounds.ColdMost {
			o.report(PromiseCold, time.Time{}, "server %s got %d requests in a second while it was cold, %d are allowed", c.Server, c.Most, o.bounds.ColdMost)
		}
	}
}

// checkEvacuations holds what came to the servers of evacuated zones, by hosts that
// had heard of it.
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
			from := a.At.Add(-max(o.bounds.Contact, o.bounds.Evacuate))
			if o.inTouch(c.Host, from, a.At) && o.inTouch(a.Host, from, a.At) {
				o.report(PromiseEvacuate, a.At, "request %s came to server %s %v after its zone was evacuated",
					a.RequestID, a.Server, after.Round(time.Millisecond))
			}
		}
	}
}

func (o *oracle) checkEnds() {
	for _, l := range o.Lives {
		if l.Unexpected != "" {
			o.report(PromiseEnds, l.To, "node of host %d: %s", l.Host, l.Unexpected)
		}
	}
	if !o.Healed {
		o.report(PromiseRecover, time.Time{}, "after the last fault: %s", strings.TrimSpace(o.Unhealed))
	}
}
