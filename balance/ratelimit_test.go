// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/wire"
)

// limitedWithoutTokens is the headroom of a server that reports a limit of 8 requests per second
// and has used its tokens.
var limitedWithoutTokens = wire.Headroom{
	AdmittedPriorities: 3, RateLimit: wire.NewRateLimit(8), TokenIntervalMillis: 125,
	CallTokenWaitMillis: 600, UrgentTokenWaitMillis: 600, NormalTokenWaitMillis: 600, BulkTokenWaitMillis: 600,
}

// Requests avoid a server that has used up the limit it reports, and return when it has not.
func TestLimitedServerIsAvoidedWithoutTokens(t *testing.T) {
	p := newTestPool(3, Options{})
	setAll(p, warmReport, wire.Headroom{AdmittedPriorities: 3, RateLimit: wire.NoRateLimit})
	limited := p.servers[0]
	p.UpdateHeadroom(start, limited.Node, limitedWithoutTokens)
	rng := newRand()
	count := func(now time.Time) (n int) {
		for range 200 {
			if p.PickFor(now, rng, nil, payoutDemand) == limited {
				n++
			}
		}
		return n
	}
	if n := count(start); n > 0 {
		t.Errorf("%d of 200 requests go to a server without tokens", n)
	}
	if n := count(start.Add(time.Second)); n == 0 {
		t.Error("no request goes to the server when it has tokens again")
	}
}

// The limit of a server is known from its responses and from its gate, and a gate that has just
// started does not end it.
func TestRateLimitOfAServer(t *testing.T) {
	p := newTestPool(1, Options{})
	s := p.servers[0]
	limit := func() wire.RateLimit { return s.RateLimit() }
	if limit() != wire.UnknownRateLimit {
		t.Errorf("limit %d of a new server", limit())
	}
	p.ObserveRateLimit(start.Add(2), start.Add(1), s, 7.5, true, true)
	p.UpdateHeadroom(start.Add(3), s.Node, wire.Headroom{})
	if limit() != wire.NewRateLimit(7.5) {
		t.Errorf("limit %d, want that of the response", limit())
	}
	p.UpdateHeadroom(start.Add(4), s.Node, wire.Headroom{RateLimit: wire.NoRateLimit})
	if limit() != wire.UnknownRateLimit {
		t.Errorf("limit %d after the gate reported none", limit())
	}
	p.UpdateHeadroom(start.Add(5), s.Node, limitedWithoutTokens)
	if limit() != wire.NewRateLimit(8) {
		t.Errorf("limit %d, want that of the gate", limit())
	}
	p.ObserveRateLimit(start.Add(7), start.Add(6), s, 0, false, true)
	if limit() != wire.UnknownRateLimit {
		t.Errorf("limit %d after a response without one", limit())
	}
}

// A limit is kept while the server is missing from the pool for a moment, as when its node restarts,
// and when its node has another address.
func TestRateLimitOutlastsItsServersAbsence(t *testing.T) {
	p := newTestPool(2, Options{})
	limited, other := p.servers[0].Spec, p.servers[1].Spec
	p.ObserveRateLimit(start.Add(2), start.Add(1), p.servers[0], 7.5, true, true)
	p.Update(start.Add(time.Second), []Spec{other})
	moved := limited
	moved.Node = "elsewhere"
	for _, spec := range []Spec{limited, moved} {
		p.Update(start.Add(2*time.Second), []Spec{spec, other})
		if got := p.servers[0].RateLimit(); got != wire.NewRateLimit(7.5) {
			t.Errorf("at %s: limit %d", spec.Node, got)
		}
		if got := p.servers[1].RateLimit(); got != wire.UnknownRateLimit {
			t.Errorf("limit %d of the other server", got)
		}
	}
	p.ObserveRateLimit(start.Add(4*time.Second), start.Add(3*time.Second), p.servers[0], 0, false, true)
	p.Update(start.Add(5*time.Second), []Spec{other})
	p.Update(start.Add(6*time.Second), []Spec{limited, other})
	if got := p.servers[0].RateLimit(); got != wire.UnknownRateLimit {
		t.Errorf("limit %d after it was lifted", got)
	}
	for i := range 2 * maxAbsentLimits {
		s := Spec{Name: fmt.Sprint("x", i), Node: "n", Slots: 1, Weight: 1}
		p.Update(start, []Spec{s})
		p.ObserveRateLimit(start.Add(2), start.Add(1), p.servers[0], 1, true, true)
	}
	if n := len(p.absentLimits); n > maxAbsentLimits {
		t.Errorf("%d limits of absent servers are kept", n)
	}
}

// If all servers report limits and have no tokens left, requests are refused at once. There is no
// time at which the limits are known to end, so callers return when there are tokens.
func TestDefersIfAllServersAreLimited(t *testing.T) {
	for _, c := range []struct {
		name     string
		first    wire.Headroom
		deferred bool
		limited  bool
		from, to time.Duration
	}{
		{"all limited", limitedWithoutTokens, true, true, 600 * time.Millisecond, 3655 * time.Millisecond},
		{"one without a limit", wire.Headroom{AdmittedPriorities: 3, RateLimit: wire.NoRateLimit}, false, false, 0, 0},
		{"one cold, the others limited", coldWithoutTokens, true, false, 2 * time.Second, 3 * time.Second},
	} {
		p := newTestPool(4, Options{})
		setAll(p, warmReport, limitedWithoutTokens)
		p.UpdateHeadroom(start, p.servers[0].Node, c.first)
		for draw := 0.0; draw < 1; draw += 0.05 {
			after, deferred := p.ShouldDefer(start, payoutDemand, 4*time.Second, draw)
			if deferred != c.deferred || after < c.from || after > c.to {
				t.Errorf("%s: deferred %v for %s, want %v for %s to %s", c.name, deferred, after, c.deferred, c.from, c.to)
			}
		}
		if limited := p.AllRateLimited(start); limited != c.limited {
			t.Errorf("%s: all limited %v", c.name, limited)
		}
	}
}

// Callers are told to return within seconds even if no server accepts any request: that may change.
func TestRetryTimeIsBoundedIfNoServerAcceptsRequests(t *testing.T) {
	p := newTestPool(2, Options{})
	none := limitedWithoutTokens
	none.TokenIntervalMillis = maxTokenMillis
	for _, wait := range none.TokenWaits() {
		*wait = maxTokenMillis
	}
	setAll(p, warmReport, none)
	for draw := 0.0; draw < 1; draw += 0.1 {
		if after, deferred := p.ShouldDefer(start, payoutDemand, 4*time.Second, draw); !deferred || after < time.Second || after > 2*maxLimitWait {
			t.Errorf("deferred %v, retry after %v", deferred, after)
		}
	}
	if p.HasSpareCapacity(start, p.servers[0]) {
		t.Error("a server that limits its rate has spare capacity for hedges")
	}
}

// A server that is marked as leaving gets no request, even if there is no other.
func TestMarkedServerGetsNothing(t *testing.T) {
	p := newTestPool(1, Options{})
	p.MarkLeaving(p.servers[0].Name)
	if s := p.PickFor(start, newRand(), nil, payoutDemand); s != nil {
		t.Errorf("%s is picked", s.Name)
	}
}
