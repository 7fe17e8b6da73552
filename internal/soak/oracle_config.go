// SPDX-License-Identifier: MIT

package soak

import (
	"sort"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// checkConfig holds the time of a configuration against a request of a route that
// some version introduced.
func (o *oracle) checkConfig(c *Call) {
	if c.Reply.Err != nil || c.Reply.Status != fasthttp.StatusNotFound {
		return
	}
	for _, v := range o.Versions {
		if v.Serial < c.Since || c.Sent.Sub(v.At) <= o.bounds.Apply {
			continue
		}
		if !o.inTouch(c.Host, c.Sent.Add(-o.bounds.Contact), c.Done) {
			return
		}
		o.report(PromiseConfig, c.Sent, "request %s at host %d got 404 %v after the store took version %d, which has its route",
			c.ID, c.Host, c.Sent.Sub(v.At).Round(time.Millisecond), v.Serial)
		return
	}
}

// checkBack holds each life of a node against going back to an older version: once
// a route of a version was known, a later request of it is not told that there is
// no such route.
func (o *oracle) checkBack() {
	for _, life := range o.Lives {
		var calls []*Call
		for i := range o.Calls {
			c := &o.Calls[i]
			if c.Since > 0 && c.Host == life.Host && c.Reply.Err == nil && c.Sent.After(life.From) && c.Done.Before(life.To) {
				calls = append(calls, c)
			}
		}
		sort.Slice(calls, func(a, b int) bool { return calls[a].Sent.Before(calls[b].Sent) })
		for i, c := range calls {
			if c.Reply.Status != fasthttp.StatusNotFound {
				continue
			}
			for _, before := range calls[:i] {
				if before.Since >= c.Since && len(o.byID[before.ID]) > 0 && c.Sent.Sub(before.Done) > o.bounds.Rollback {
					o.report(PromiseBack, c.Sent, "host %d does not know the route of version %d, %v after it served that of version %d",
						c.Host, c.Since, c.Sent.Sub(before.Done).Round(time.Millisecond), before.Since)
					break
				}
			}
		}
	}
}

// checkMoved holds the time of a configuration against where the moving route's
// requests ran: only services of versions that may be in force may run them.
func (o *oracle) checkMoved() {
	for _, a := range o.Arrivals {
		c := o.calls[a.RequestID]
		if c == nil || !a.Ran || !strings.HasPrefix(c.URI, movingPrefix) {
			continue
		}
		from := c.Sent.Add(-o.bounds.Contact)
		if o.mayRun(a, c) || !o.inTouch(c.Host, from, a.At) || !o.inTouch(a.Host, from, a.At) {
			continue
		}
		o.report(PromiseConfig, c.Sent, "request %s of host %d ran at service %s, as only an older version has it than those that may be in force",
			c.ID, c.Host, o.Services[a.Host])
	}
}

// mayRun reports whether a version that may be in force for a request of the moving
// route has it at the service where it arrived.
func (o *oracle) mayRun(a Arrival, c *Call) bool {
	for i, v := range o.Versions {
		replaced := i+1 < len(o.Versions) && c.Sent.Sub(o.Versions[i+1].At) > o.bounds.Apply
		if !replaced && v.Sent.Before(a.At) && v.Moving == o.Services[a.Host] {
			return true
		}
	}
	return false
}

// checkDenied bounds the proper requests that were rejected as wrong. All that callers
// send is proper; a route that a host should know and does not is checkConfig's.
func (o *oracle) checkDenied() {
	inTouch, unknown, unknownInTouch := 0, 0, 0
	for i := range o.Calls {
		c := &o.Calls[i]
		if !o.isDenied(c) {
			continue
		}
		touch := o.inTouch(c.Host, c.Sent.Add(-o.bounds.Contact), c.Done)
		switch {
		case touch && isUnknown(c.Reply.Status):
			unknownInTouch++
			o.report(PromiseDenied, c.Sent, "request %s (%s) at host %d in touch got %d, every version allows it", c.ID, c.URI, c.Host, c.Reply.Status)
		case touch:
			inTouch++
		case isUnknown(c.Reply.Status):
			unknown++
		}
	}
	if most := o.bounds.Denied + int(o.bounds.DeniedShare*float64(len(o.Calls))); inTouch+unknownInTouch > most {
		o.report(PromiseDenied, time.Time{}, "hosts in touch rejected %d proper requests as wrong, %d are allowed", inTouch+unknownInTouch, most)
	}
	if unknown > o.bounds.DeniedUnknown {
		o.report(PromiseDenied, time.Time{}, "hosts out of touch took %d requests for unknown that every version allows, %d are allowed", unknown, o.bounds.DeniedUnknown)
	}
}

// isDenied reports whether a node rejected a request as wrong that every version which
// may be in force allows.
func (o *oracle) isDenied(c *Call) bool {
	status := c.Reply.Status
	if c.Reply.Err != nil || c.Left || c.Reply.Seal != "" || status < 300 || status >= 500 || promisesNotRun(status) {
		return false
	}
	if c.Improper && status == fasthttp.StatusUnauthorized {
		return false
	}
	return c.Since == 0 || status != fasthttp.StatusNotFound
}

// isUnknown reports whether a status says that a request is not known or not allowed.
func isUnknown(status int) bool {
	switch status {
	case fasthttp.StatusUnauthorized, fasthttp.StatusForbidden, fasthttp.StatusNotFound:
		return true
	}
	return false
}
