// SPDX-License-Identifier: MIT

package soak

import (
	"sort"
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
