// SPDX-License-Identifier: MIT

package entry

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/age"
	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/tenant"
)

// receive returns what the entry makes of an HTTP request whose caller states a timeout in
// milliseconds, or none if that is empty.
func receive(t *testing.T, e *Entry, route *table.Route, timeout string) (*request, string) {
	t.Helper()
	var ctx fasthttp.RequestCtx
	var r fasthttp.Request
	r.SetRequestURI("/part/x")
	if timeout != "" {
		r.Header.Set(header.Deadline, timeout)
	}
	ctx.Init(&r, nil, nil)
	s := &service{name: "s", pool: balance.NewPool(balance.Options{}), policy: table.Policy{Deadline: time.Second}}
	head, _ := readHead(&ctx)
	return e.newRequest(&ctx, &head, destination{service: s, route: route}, identity{})
}

// entryWithCallerRetries returns an entry that has learned that first tries of a route
// state a timeout of 3 s.
func entryWithCallerRetries(t *testing.T) (*Entry, *table.Route) {
	t.Helper()
	e, _ := newEntry(t, "127.0.0.1:1", "127.0.0.1:2")
	e.settings.DetectCallerRetries = true
	route := &table.Route{Host: "h", Prefix: "/part/", Aim: 500 * time.Millisecond, Timeout: 1500 * time.Millisecond}
	for range 20 {
		receive(t, e, route, "3000")
	}
	e.routeStatsOf(route).recordUnserved(time.Now(), time.Now().Add(3*time.Second))
	return e, route
}

// With a tenant at 7.5 times its usual load for 7 s, 1,887 answers were late for their
// callers, but fewer than 50 by the entries' clocks, because each retry by a caller
// restarted the aim.
func TestAimOfCallerRetryCountsFromFirstTry(t *testing.T) {
	e, route := entryWithCallerRetries(t)
	for _, test := range []struct {
		timeout     string
		least, most time.Duration
	}{
		{"3000", 0, 0},
		{"2600", 270 * time.Millisecond, 400 * time.Millisecond},
		{"2200.5", 670 * time.Millisecond, 800 * time.Millisecond},
		{"3500", 0, 0},
		{"60000", 0, 0},
		{"", 0, 0},
	} {
		r, fault := receive(t, e, route, test.timeout)
		if fault != "" {
			t.Fatalf("%q: %s", test.timeout, fault)
		}
		if r.age < test.least || r.age > test.most {
			t.Errorf("%q: age %v, want %v to %v", test.timeout, r.age, test.least, test.most)
		}
		if got := r.aim.Sub(r.began); got != route.Aim-r.age {
			t.Errorf("%q: due in %v at an age of %v", test.timeout, got, r.age)
		}
		if got := r.refuseBy.Sub(r.began); got != route.Aim/refuseAimDivisor {
			t.Errorf("%q: waits %v for headroom, want as long as a first try", test.timeout, got)
		}
		requirements := r.requirements(r.began, &attempt{})
		if requirements.AgeMillis != r.age.Milliseconds() || requirements.AimMillis != (route.Aim-r.age).Milliseconds() {
			t.Errorf("%q: gates get %+v", test.timeout, requirements)
		}
		if d := r.demand(r.began); d.Aim <= 0 {
			t.Errorf("%q: a server is chosen by an aim of %v", test.timeout, d.Aim)
		}
	}
	if n, sum := e.Counters.CallerRetries.Load(), e.Counters.CallerRetryAge.Load(); n != 2 || sum < 940 || sum > 1200 {
		t.Errorf("%d requests counted as caller retries, %d ms in total", n, sum)
	}
}

// The timeouts that callers state differ by more than an aim, so a timeout can't identify
// a retry; the time at which the caller stops waiting does.
func TestUnservedRequestIsRecognizedOnRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, test := range []struct {
			status     int
			recognized bool
		}{{429, true}, {503, true}, {502, true}, {504, true}, {408, true}, {200, false}, {404, false}, {401, false}, {413, false}} {
			e, route := entryWithCallerRetries(t)
			r, _ := receive(t, e, route, "2990")
			e.rememberUnserved(r, test.status)
			time.Sleep(30 * time.Millisecond)
			left := time.Until(r.callerDeadline).Milliseconds()
			retried, _ := receive(t, e, route, strconv.FormatInt(left, 10))
			if recognized := retried.age >= 30*time.Millisecond && retried.age < 100*time.Millisecond; recognized != test.recognized {
				t.Errorf("after %d: age %v", test.status, retried.age)
			}
			other, _ := receive(t, e, route, strconv.FormatInt(left+60, 10))
			if other.age != 0 {
				t.Errorf("after %d: another caller's request is taken to be %v old", test.status, other.age)
			}
		}
	})
}

// An invalid deadline is refused as always, and nothing is learned from it.
func TestInvalidDeadlinesAreNotLearned(t *testing.T) {
	e, route := entryWithCallerRetries(t)
	for _, timeout := range []string{"0", "-5", "NaN", "Inf", "-Inf", "1e300", "soon", strconv.Itoa(1 << 62)} {
		for range 50 {
			if _, fault := receive(t, e, route, timeout); fault == "" {
				t.Fatalf("%q is accepted", timeout)
			}
		}
	}
	if r, _ := receive(t, e, route, "2600"); r.age < 270*time.Millisecond {
		t.Errorf("age %v", r.age)
	}
}

// Without the setting, every request counts as a first try.
func TestCallerRetriesAreNotDetectedWhenDisabled(t *testing.T) {
	e, route := entryWithCallerRetries(t)
	e.settings.DetectCallerRetries = false
	if r, _ := receive(t, e, route, "2600"); r.age != 0 || r.aim.Sub(r.began) != route.Aim {
		t.Errorf("age %v, due in %v", r.age, r.aim.Sub(r.began))
	}
}

// exhaustedQuota is a quota that has nothing left; it records the timings that it was
// called with.
type exhaustedQuota struct{ timings []tenant.Timing }

func (q *exhaustedQuota) Acquire(_ string, _ tenant.Quota, timing tenant.Timing, _ <-chan struct{}) tenant.Decision {
	q.timings = append(q.timings, timing)
	if timing == tenant.TooEarly {
		return tenant.Decision{}
	}
	return tenant.Decision{RetryAfter: 150 * time.Millisecond}
}

func (q *exhaustedQuota) Release(string) {}

// A caller that retries too early keeps the retry time that it got. One that retries
// at that time takes precedence while it can still be answered in time, and yields to
// others after that.
func TestAnnouncedRetryTimeIsKeptAndHonored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, route := entryWithCallerRetries(t)
		quota := &exhaustedQuota{}
		e.settings.Quotas = quota
		began := time.Now()
		for _, step := range []struct {
			at     time.Duration
			timing tenant.Timing
			after  time.Duration
		}{
			{0, tenant.OnTime, 150 * time.Millisecond},
			{20 * time.Millisecond, tenant.TooEarly, 130 * time.Millisecond},
			{146 * time.Millisecond, tenant.OnTime, 150 * time.Millisecond},
			{400 * time.Millisecond, tenant.TooLate, 150 * time.Millisecond},
			{600 * time.Millisecond, tenant.TooLate, 150 * time.Millisecond},
		} {
			time.Sleep(time.Until(began.Add(step.at)))
			left := time.Until(began.Add(2900 * time.Millisecond)).Milliseconds()
			r, _ := receive(t, e, route, strconv.FormatInt(left, 10))
			r.who.tenant = &table.Tenant{Name: "t", Rate: 10}
			if e.chargeQuota(r) {
				t.Fatalf("at %v: admitted by an exhausted quota", step.at)
			}
			e.rememberUnserved(r, r.ctx.Response.StatusCode())
			if got := quota.timings[len(quota.timings)-1]; got != step.timing {
				t.Errorf("at %v: timing %v, want %v", step.at, got, step.timing)
			}
			delayMillis, _ := strconv.Atoi(string(r.ctx.Response.Header.Peek(header.RetryAfterMs)))
			if got := time.Duration(delayMillis) * time.Millisecond; (got - step.after).Abs() > time.Millisecond {
				t.Errorf("at %v: retry delay %v, want %v", step.at, got, step.after)
			}
		}
		if announced, kept := e.Counters.RetryTimesGiven.Load(), e.Counters.RetryTimesKept.Load(); announced != 4 || kept != 1 {
			t.Errorf("%d retry times given, %d kept", announced, kept)
		}
	})
}

// The node that gave the retry times is lost. Retries that arrive at another node are
// recognized by their timeout alone, and only the order of the requests is lost.
func TestCallerRetryAtAnotherNode(t *testing.T) {
	e, route := entryWithCallerRetries(t)
	for _, test := range []struct {
		timeout string
		timing  tenant.Timing
	}{{"2890", tenant.OnTime}, {"2700", tenant.OnTime}, {"2200", tenant.TooLate}, {"1000", tenant.TooLate}} {
		if r, _ := receive(t, e, route, test.timeout); r.timing() != test.timing {
			t.Errorf("%s: timing %v at an age of %v, want %v", test.timeout, r.timing(), r.age, test.timing)
		}
	}
}

// A node that can't know whether it has the newest keys refuses first tries without
// knowing their tenants. When these requests are retried, the entry must not learn the
// timeouts as those of first tries.
func TestRetriesAfterUnknownKeysAreNotLearned(t *testing.T) {
	e, route := entryWithCallerRetries(t)
	e.routeStatsOf(route).callerTimeouts = age.TimeoutHistogram{}
	for range 40 {
		receive(t, e, route, "3000")
	}
	var ctx fasthttp.RequestCtx
	var r fasthttp.Request
	r.Header.Set(header.Deadline, "3000")
	ctx.Init(&r, nil, nil)
	ctx.Response.SetStatusCode(fasthttp.StatusServiceUnavailable)
	e.expectCallerRetry(&ctx, route)
	for range 40 {
		receive(t, e, route, "1500")
	}
	if r, _ := receive(t, e, route, "1500"); r.age < 1300*time.Millisecond {
		t.Errorf("a caller retry is taken to be %v old", r.age)
	}
}
