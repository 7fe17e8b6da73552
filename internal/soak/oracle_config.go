// SPDX-License-Identifier: MIT

package soak

import (
	"sort"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// checkConfig checks that a configuration is in force in time, with a request to the route
// that a version introduced.
func (o *oracle) checkConfig(c *Call) {
	if c.Reply.Err != nil || c.Reply.Status != fasthttp.StatusNotFound {
		return
	}
	for _, v := range o.Versions {
		if v.Serial < c.SinceVersion || c.Sent.Sub(v.At) <= o.bounds.Apply {
			continue
		}
		if !o.undisturbed(c.Host, c.Sent.Add(-o.bounds.Undisturbed), c.Done) {
			return
		}
		o.report(PromiseConfig, c.Sent, "request %s at host %d got 404 %v after the store took version %d, which has its route",
			c.ID, c.Host, c.Sent.Sub(v.At).Round(time.Millisecond), v.Serial)
		return
	}
}

// checkRollback checks that no process of a node goes back to an older version: once it has
// served a route that a version introduced, it does not answer a later request to the same or
// an older route with 404.
func (o *oracle) checkRollback() {
	for _, process := range o.Processes {
		var calls []*Call
		for i := range o.Calls {
			c := &o.Calls[i]
			if c.SinceVersion > 0 && c.Host == process.Host && c.Reply.Err == nil && c.Sent.After(process.From) && c.Done.Before(process.To) {
				calls = append(calls, c)
			}
		}
		sort.Slice(calls, func(a, b int) bool { return calls[a].Sent.Before(calls[b].Sent) })
		for i, c := range calls {
			if c.Reply.Status != fasthttp.StatusNotFound {
				continue
			}
			for _, before := range calls[:i] {
				if before.SinceVersion >= c.SinceVersion && len(o.arrivalsByID[before.ID]) > 0 && c.Sent.Sub(before.Done) > o.bounds.Rollback {
					o.report(PromiseNoRollback, c.Sent, "host %d did not know the route of version %d, %v after it served the route of version %d",
						c.Host, c.SinceVersion, c.Sent.Sub(before.Done).Round(time.Millisecond), before.SinceVersion)
					break
				}
			}
		}
	}
}

// checkMovingRoute checks that requests to the moving route ran only at the services to which
// a version that may be in force sends them.
func (o *oracle) checkMovingRoute() {
	for _, a := range o.Arrivals {
		c := o.calls[a.RequestID]
		if c == nil || !a.Ran || !strings.HasPrefix(c.URI, movingPrefix) {
			continue
		}
		from := c.Sent.Add(-o.bounds.Undisturbed)
		if o.mayRun(a, c) || !o.undisturbed(c.Host, from, a.At) || !o.undisturbed(a.Host, from, a.At) {
			continue
		}
		o.report(PromiseConfig, c.Sent, "request %s of host %d ran at service %s, which only versions have that are too old to be in force",
			c.ID, c.Host, o.Services[a.Host])
	}
}

// mayRun reports whether a version that may be in force for a request sends the moving route
// to the service where the request arrived.
func (o *oracle) mayRun(a Arrival, c *Call) bool {
	for i, v := range o.Versions {
		replaced := i+1 < len(o.Versions) && c.Sent.Sub(o.Versions[i+1].At) > o.bounds.Apply
		if !replaced && v.Sent.Before(a.At) && v.MovingService == o.Services[a.Host] {
			return true
		}
	}
	return false
}

// checkRejected limits the valid requests that were rejected as invalid. All requests of
// callers are valid. A 404 for a route that a version introduced is left to checkConfig.
func (o *oracle) checkRejected() {
	other, unknown, unknownUndisturbed := 0, 0, 0
	for i := range o.Calls {
		c := &o.Calls[i]
		if !o.isWronglyRejected(c) {
			continue
		}
		undisturbed := o.undisturbed(c.Host, c.Sent.Add(-o.bounds.Undisturbed), c.Done)
		switch {
		case undisturbed && isUnknown(c.Reply.Status):
			unknownUndisturbed++
			o.report(PromiseNotRejected, c.Sent, "request %s (%s) at undisturbed host %d got %d, every version allows it", c.ID, c.URI, c.Host, c.Reply.Status)
		case undisturbed:
			other++
		case isUnknown(c.Reply.Status):
			unknown++
		}
	}
	if limit := o.bounds.MaxRejected + int(o.bounds.MaxRejectedShare*float64(len(o.Calls))); other+unknownUndisturbed > limit {
		o.report(PromiseNotRejected, time.Time{}, "undisturbed hosts rejected %d valid requests as invalid, %d are allowed", other+unknownUndisturbed, limit)
	}
	if unknown > o.bounds.MaxUnknown {
		o.report(PromiseNotRejected, time.Time{}, "disturbed hosts answered %d requests as unknown that every version allows, %d are allowed", unknown, o.bounds.MaxUnknown)
	}
}

// isWronglyRejected reports whether a node rejected a request as invalid that every version
// which may be in force allows.
func (o *oracle) isWronglyRejected(c *Call) bool {
	status := c.Reply.Status
	if c.Reply.Err != nil || c.Abandoned || c.Reply.Seal != "" || status < 300 || status >= 500 || promisesNotRun(status) {
		return false
	}
	if c.MayBeRejected && status == fasthttp.StatusUnauthorized {
		return false
	}
	return c.SinceVersion == 0 || status != fasthttp.StatusNotFound
}

// isUnknown reports whether a status says that a request is unknown or not allowed.
func isUnknown(status int) bool {
	switch status {
	case fasthttp.StatusUnauthorized, fasthttp.StatusForbidden, fasthttp.StatusNotFound:
		return true
	}
	return false
}
