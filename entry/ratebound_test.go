// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/retry"
	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/wire"
)

// coldService returns a service whose four servers have reported that they stay cold for
// two more seconds and that the next request would wait for longer than callers do.
func coldService(now time.Time) *service {
	s := &service{pool: balance.NewPool(balance.Options{}), rng: rand.New(rand.NewPCG(1, 2))}
	specs := make([]balance.Spec, 4)
	for i := range specs {
		specs[i] = balance.Spec{Name: fmt.Sprint("s", i), Node: fmt.Sprint("n", i), Weight: 1, Slots: 9}
	}
	s.pool.Update(now, specs)
	for _, spec := range specs {
		s.pool.UpdateHeadroom(now, spec.Node, wire.Headroom{AdmittedPriorities: int64(table.Priorities), ColdMillis: 2000, TokenIntervalMillis: 55,
			CallTokenWaitMillis: 600, UrgentTokenWaitMillis: 600, NormalTokenWaitMillis: 600, BulkTokenWaitMillis: 600})
	}
	return s
}

func TestRequestsBeyondColdServersHeadroomAreRefused(t *testing.T) {
	now := time.Now()
	requestFrom := func(holder *table.Tenant) *request {
		return &request{
			service: coldService(now), who: identity{tenant: holder}, began: now,
			stats: &routeStats{assumedWork: 200 * time.Millisecond}, aim: now.Add(600 * time.Millisecond), deadline: now.Add(4 * time.Second),
		}
	}
	key := &table.Tenant{Name: "a"}
	for _, c := range []struct {
		name    string
		refuse  bool
		request *request
		refused bool
	}{
		{"a request with a tenant's key", true, requestFrom(key), true},
		{"the setting is off", false, requestFrom(key), false},
		{"it may be a call", true, requestFrom(nil), false},
		{"no route says when the answer is due", true, func() *request { r := requestFrom(key); r.stats = nil; return r }(), false},
	} {
		e := New(Settings{RefuseWhenRateBound: c.refuse}, nil)
		d := e.deferral(c.request)
		after := d.retryAfter
		if (after > 0) != c.refused || (c.refused && (after < 1900*time.Millisecond || after > 3*time.Second)) {
			t.Errorf("%s: retry after %s", c.name, after)
		}
		if got := e.Counters.RefusedCold.Load(); (got == 1) != c.refused {
			t.Errorf("%s: %d counted", c.name, got)
		}
		f := failureOf(result{deferral: d})
		if c.refused && (f.status != 503 || f.outcome != "not-run" || f.retryAfter != after) {
			t.Errorf("%s: %+v", c.name, f)
		}
	}
}

// A gate's refusal gives the time of the next token; the caller must be given the time at
// which there is headroom for all requests.
func TestRefusalByColdServersReportsWarmUpTime(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		reason   wire.Reason
		extended bool
	}{{wire.ReasonCold, true}, {wire.ReasonOverload, true}, {wire.ReasonShare, false}} {
		r := &request{
			service: coldService(now), who: identity{tenant: &table.Tenant{Name: "a"}}, began: now,
			stats: &routeStats{assumedWork: 200 * time.Millisecond}, aim: now.Add(600 * time.Millisecond), deadline: now.Add(4 * time.Second),
		}
		res := result{last: &attempt{outcome: retry.Overloaded, reason: c.reason, retryAfter: 55 * time.Millisecond}}
		New(Settings{RefuseWhenRateBound: true}, nil).extendRetryAfter(r, &res)
		if got := res.last.retryAfter; (got > time.Second) != c.extended {
			t.Errorf("%s: retry after %s", c.reason, got)
		}
	}
}
