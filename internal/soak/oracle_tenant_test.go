// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"testing"
	"time"
)

// keyedSound is a history with tenants that keeps every promise.
func keyedSound() History {
	h := sound()
	h.Tenants = true
	for i := range h.Arrivals {
		h.Arrivals[i].Tenant = []string{steadyTenant}
	}
	guest := answered("guest", 10_030)
	guest.Key, guest.KeyOf, guest.Improper = guestKey(2), 2, true
	strange := answered("strange", 10_040)
	strange.Key, strange.Improper = strangeKey, true
	strange.Reply.Status, strange.Reply.Seal = 401, ""
	h.Calls = append(h.Calls, guest, strange)
	a := arrival(guest, "i-0", 10_031)
	a.Tenant = []string{guestTenant}
	h.Arrivals = append(h.Arrivals, a)
	return h
}

// Each promise about tenants is found broken by what breaks it.
func TestOracleKnowsTenants(t *testing.T) {
	last := func(h *History) *Arrival { return &h.Arrivals[len(h.Arrivals)-1] }
	tests := []struct {
		name    string
		promise string
		harm    func(h *History)
	}{
		{"nothing", "", func(*History) {}},
		{"another tenant", PromiseTenant, func(h *History) { last(h).Tenant = []string{steadyTenant} }},
		{"two tenants", PromiseTenant, func(h *History) { last(h).Tenant = []string{guestTenant, guestTenant} }},
		{"no tenant", PromiseTenant, func(h *History) { last(h).Tenant = nil }},
		{"a key passed on", PromiseTenant, func(h *History) { last(h).Credentials = []string{"Bearer x"} }},
		{"a key of nobody", PromiseTenant, func(h *History) {
			h.Arrivals = append(h.Arrivals, arrival(h.Calls[len(h.Calls)-1], "i-0", 10_041))
		}},
		{"a key of an older version", PromiseTenant, func(h *History) {
			c := &h.Calls[len(h.Calls)-2]
			c.Key, c.KeyOf = guestKey(1), 1
		}},
		{"429 without a quota", PromiseQuota, func(h *History) {
			c := answered("refused", 10_050)
			c.Reply.Status, c.Reply.Seal, c.Reply.Body = 429, "", ""
			h.Calls = append(h.Calls, c)
		}},
		{"a quota", PromiseQuota, func(h *History) { h.addHot(285) }},
		{"a quota just kept", "", func(h *History) { h.addHot(284) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := keyedSound()
			test.harm(&h)
			found := Check(h, UsualBounds())
			switch {
			case test.promise == "" && len(found) > 0:
				t.Errorf("found %v", found)
			case test.promise != "" && (len(found) == 0 || found[0].Promise != test.promise):
				t.Errorf("found %v, want %q", found, test.promise)
			}
		})
	}
}

// addHot adds runs of the hot tenant within a window.
func (h *History) addHot(runs int) {
	for i := range runs {
		c := answered(fmt.Sprint("hot", i), 11_000+i)
		c.Key, c.Began = hotKey, c.Sent
		h.Calls = append(h.Calls, c)
		a := arrival(c, "i-0", 11_000+i)
		a.At = a.At.Add(time.Microsecond)
		a.Tenant = []string{hotTenant}
		h.Arrivals = append(h.Arrivals, a)
	}
}
