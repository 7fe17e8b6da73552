// SPDX-License-Identifier: MIT

package soak

import (
	"slices"
	"sort"
	"time"

	"github.com/valyala/fasthttp"
)

// checkTenants checks that servers saw the tenants of the keys that callers sent, and no keys.
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
			o.report(PromiseTenant, a.At, "request %s reached server %s with its caller's credentials", c.ID, a.Server)
		}
		want := tenantOf(c)
		if want == "" {
			o.report(PromiseTenant, a.At, "request %s ran with a key that no version has", c.ID)
		} else if !slices.Equal(a.Tenant, []string{want}) {
			o.report(PromiseTenant, a.At, "request %s of tenant %s ran as a request of tenants %q", c.ID, want, a.Tenant)
		}
		if c.KeyVersion > 0 {
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

// tenantOf returns the tenant of a call, or an empty name if its key is unknown.
func tenantOf(c *Call) string {
	switch {
	case c.KeyVersion > 0:
		return guestTenant
	case c.Key == hotKey:
		return hotTenant
	case c.Key == "":
		return steadyTenant
	}
	return ""
}

// checkRevoked checks that a request did not run with a key that the versions in force no
// longer have.
func (o *oracle) checkRevoked(a Arrival, c *Call) {
	for _, v := range o.Versions {
		if v.Serial <= c.KeyVersion || c.Sent.Sub(v.At) <= o.bounds.Apply {
			continue
		}
		from := c.Sent.Add(-o.bounds.Undisturbed)
		if o.undisturbed(c.Host, from, a.At) && o.undisturbed(a.Host, from, a.At) {
			o.report(PromiseTenant, c.Sent, "request %s of host %d ran with the key of version %d, %v after the store took version %d, which does not have it",
				c.ID, c.Host, c.KeyVersion, c.Sent.Sub(v.At).Round(time.Millisecond), v.Serial)
		}
		return
	}
}

// checkQuota limits the hot tenant's requests that were both sent and run within a window, for
// every window and whether or not nodes could reach each other. The limit is the highest of
// its quotas, since the one in force depends on the versions that nodes have.
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
	limit := (hotRateEven*quotaWindow.Seconds()+hotRateEven)*(1+quotaOvershoot) + quotaSlack
	for i, first := range runs {
		count, end := 0, first.sent.Add(quotaWindow)
		for _, r := range runs[i:] {
			if r.sent.After(end) {
				break
			}
			if !r.ran.After(end) {
				count++
			}
		}
		if float64(count) > limit {
			o.report(PromiseQuota, first.sent, "%d requests of the hot tenant ran within %v, at most %.0f are allowed", count, quotaWindow, limit)
			return
		}
	}
}
