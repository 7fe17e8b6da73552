// SPDX-License-Identifier: MIT

package soak

import (
	"slices"
	"sort"
	"time"

	"github.com/valyala/fasthttp"
)

// checkTenants holds what servers saw against the keys that callers sent.
func (o *oracle) checkTenants() {
	if !o.Tenants {
		return
	}
	for _, a := range o.Arrivals {
		c := o.calls[a.RequestID]
		if c == nil || !a.Ran {
			continue
		}
		if len(a.Credentials) > 0 {
			o.report(PromiseTenant, a.At, "request %s came to server %s with its caller's credentials", c.ID, a.Server)
		}
		want := tenantOf(c)
		if want == "" {
			o.report(PromiseTenant, a.At, "request %s ran with a key that no version has", c.ID)
		} else if !slices.Equal(a.Tenant, []string{want}) {
			o.report(PromiseTenant, a.At, "request %s of tenant %s ran as one of %q", c.ID, want, a.Tenant)
		}
		if c.KeyOf > 0 {
			o.checkRevoked(a, c)
		}
	}
	for i := range o.Calls {
		c := &o.Calls[i]
		if c.Reply.Err == nil && c.Reply.Status == fasthttp.StatusTooManyRequests && c.Key != hotKey {
			o.report(PromiseQuota, c.Done, "request %s of tenant %q, which has no quota, got 429", c.ID, tenantOf(c))
		}
	}
	o.checkQuota()
}

// tenantOf is whose request a call was; blank for nobody's.
func tenantOf(c *Call) string {
	switch {
	case c.KeyOf > 0:
		return guestTenant
	case c.Key == hotKey:
		return hotTenant
	case c.Key == "":
		return steadyTenant
	}
	return ""
}

// checkRevoked holds the run of a request against the versions that have its key.
func (o *oracle) checkRevoked(a Arrival, c *Call) {
	for _, v := range o.Versions {
		if v.Serial <= c.KeyOf || c.Sent.Sub(v.At) <= o.bounds.Apply {
			continue
		}
		from := c.Sent.Add(-o.bounds.Contact)
		if o.inTouch(c.Host, from, a.At) && o.inTouch(a.Host, from, a.At) {
			o.report(PromiseTenant, c.Sent, "request %s of host %d ran with the key of version %d, %v after the store took version %d, which does not have it",
				c.ID, c.Host, c.KeyOf, c.Sent.Sub(v.At).Round(time.Millisecond), v.Serial)
		}
		return
	}
}

// checkQuota bounds the hot tenant's requests that are both sent and run in a window, for
// every window and whoever could reach whom, by the highest of its quotas: which one binds
// depends on what nodes have heard.
func (o *oracle) checkQuota() {
	type run struct{ sent, ran time.Time }
	var runs []run
	seen := map[string]bool{}
	for _, a := range o.Arrivals {
		if c := o.calls[a.RequestID]; c != nil && a.Ran && c.Key == hotKey && !seen[c.ID] {
			seen[c.ID] = true
			runs = append(runs, run{c.Began, a.At})
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].sent.Before(runs[j].sent) })
	bound := (hotRate*quotaWindow.Seconds()+hotRate)*(1+quotaOvershoot) + quotaSlack
	for i, first := range runs {
		n, end := 0, first.sent.Add(quotaWindow)
		for _, r := range runs[i:] {
			if r.sent.After(end) {
				break
			}
			if !r.ran.After(end) {
				n++
			}
		}
		if float64(n) > bound {
			o.report(PromiseQuota, first.sent, "%d requests of the hot tenant ran within %v, at most %.0f are allowed", n, quotaWindow, bound)
			return
		}
	}
}
