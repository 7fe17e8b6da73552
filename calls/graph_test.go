// SPDX-License-Identifier: MIT

package calls

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// routeBehavior is what runs of a route do: each takes about a given time, and a share of them makes
// some calls to another route, together or one after the other.
type routeBehavior struct {
	route, call Route
	perSecond   float64
	took        time.Duration
	share       float64
	times       int
	together    bool
}

const callDuration = 30 * time.Millisecond

// observation is an event that a node sees at some time.
type observation struct {
	at     time.Time
	record func(g *Graph, now time.Time)
}

// simulate lets a graph see the runs of some routes and their calls for some time.
func simulate(g *Graph, rng *rand.Rand, length time.Duration, habits ...routeBehavior) {
	var all []observation
	add := func(at time.Time, see func(g *Graph, now time.Time)) {
		all = append(all, observation{at, see})
	}
	for i, h := range habits {
		for at := start; at.Before(start.Add(length)); at = at.Add(time.Duration(rng.ExpFloat64() / h.perSecond * float64(time.Second))) {
			took := time.Duration((0.5 + rng.Float64()) * float64(h.took))
			add(at, func(g *Graph, now time.Time) { g.RequestStarted(now, h.route, uint8(i)) })
			add(at.Add(took), func(g *Graph, now time.Time) { g.RequestEnded(now, h.route) })
			if rng.Float64() >= h.share {
				continue
			}
			begin := at.Add(took / 4)
			for range h.times {
				add(begin, func(g *Graph, now time.Time) { g.CallStarted(now, h.call) })
				add(begin.Add(callDuration), func(g *Graph, now time.Time) { g.CallEnded(now, h.call, callDuration) })
				if !h.together {
					begin = begin.Add(callDuration + time.Millisecond)
				}
			}
		}
	}
	slices.SortStableFunc(all, func(a, b observation) int { return a.at.Compare(b.at) })
	for _, h := range all {
		h.record(g, h.at)
	}
}

func expectedOf(g *Graph, route, call Route) (ExpectedCall, bool) {
	for _, e := range g.ExpectedCalls(route) {
		if e.Call == call {
			return e, true
		}
	}
	return ExpectedCall{}, false
}

// Two routes run at the same server, and their runs overlap nearly always. A share of the runs of one
// route makes calls, and those of the other route make none.
func TestCallsAreLaidOnTheRunsThatMakeThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		caller := routeBehavior{
			route: 1, call: 9, took: 150 * time.Millisecond, perSecond: rapid.Float64Range(3, 10).Draw(t, "callers"),
			share: rapid.Float64Range(0.5, 1).Draw(t, "share"), times: rapid.IntRange(1, 2).Draw(t, "times"),
			together: rapid.Bool().Draw(t, "together"),
		}
		other := routeBehavior{route: 2, took: 100 * time.Millisecond, perSecond: rapid.Float64Range(3, 10).Draw(t, "others")}
		var g Graph
		simulate(&g, rng, 4*time.Minute, caller, other)
		e, ok := expectedOf(&g, 1, 9)
		want := caller.share * float64(caller.times)
		if got := e.Share * e.Times; !ok || math.Abs(got-want) > 0.35*want {
			t.Fatalf("%v calls a run, want %v", got, want)
		}
		if math.Abs(e.Times-float64(caller.times)) > 0.5 || (caller.times > 1 && e.Together != caller.together) {
			t.Fatalf("%v times, together %v, want %v and %v", e.Times, e.Together, caller.times, caller.together)
		}
		if e, ok := expectedOf(&g, 2, 9); ok && e.Share*e.Times > 0.35*want {
			t.Fatalf("%v calls a run are attributed to a route that makes none", e.Share*e.Times)
		}
	})
}

// The number of calls of a run is learned at a busy server, too, where calls of different runs
// follow each other by coincidence.
func TestCallsPerRunAtABusyServer(t *testing.T) {
	for _, perSecond := range []float64{5, 20, 40, 80} {
		for times := 1; times <= 3; times++ {
			var g Graph
			rng := rand.New(rand.NewPCG(7, uint64(times)))
			simulate(&g, rng, 2*time.Minute, routeBehavior{route: 1, call: 9, took: 150 * time.Millisecond, perSecond: perSecond, share: 0.5, times: times})
			if e, _ := expectedOf(&g, 1, 9); math.Abs(e.Times-float64(times)) > 0.25*float64(times) || math.Abs(e.Share-0.5) > 0.15 {
				t.Errorf("%v runs a second: a share of %v makes %v calls, want 0.5 and %d", perSecond, e.Share, e.Times, times)
			}
		}
	}
}

// Two routes call the same route, one of them seldom.
func TestCallsOfTwoRoutesToTheSameRouteAreDistinguished(t *testing.T) {
	var g Graph
	rng := rand.New(rand.NewPCG(3, 4))
	simulate(&g, rng, 4*time.Minute,
		routeBehavior{route: 1, call: 9, took: 120 * time.Millisecond, perSecond: 5, share: 0.7, times: 2, together: true},
		routeBehavior{route: 2, call: 9, took: 230 * time.Millisecond, perSecond: 5, share: 0.3, times: 1},
	)
	one, _ := expectedOf(&g, 1, 9)
	two, _ := expectedOf(&g, 2, 9)
	if a, b := one.Share*one.Times, two.Share*two.Times; math.Abs(a-1.4) > 0.35 || math.Abs(b-0.3) > 0.3 || a < 2*b {
		t.Errorf("%v and %v calls a run, want 1.4 and 0.3", a, b)
	}
}

// A call has the priority of the run that made it, and the most urgent priority if several runs may
// have made it.
func TestCallInheritsPriority(t *testing.T) {
	var g Graph
	rng := rand.New(rand.NewPCG(5, 6))
	simulate(&g, rng, time.Minute,
		routeBehavior{route: 1, call: 8, took: 100 * time.Millisecond, perSecond: 5, share: 1, times: 1},
		routeBehavior{route: 2, call: 9, took: 100 * time.Millisecond, perSecond: 5, share: 1, times: 1},
	)
	now := start.Add(2 * time.Minute)
	if _, ok := g.CallStarted(now, 9); ok {
		t.Error("a call has a priority although no run is in progress")
	}
	g.RequestStarted(now, 2, 2)
	if priority, ok := g.CallStarted(now, 9); !ok || priority != 2 {
		t.Errorf("%d %v, want that of the only run in progress", priority, ok)
	}
	g.RequestStarted(now, 1, 0)
	if priority, ok := g.CallStarted(now, 9); !ok || priority != 2 {
		t.Errorf("%d %v, want that of the route that makes such calls", priority, ok)
	}
	if priority, _ := g.CallStarted(now, 7); priority != 0 {
		t.Errorf("%d, want the most urgent of the runs that may have made the first call to a route", priority)
	}
}

// If the runs of a route no longer make calls, none are expected of them some thousand runs later.
func TestCallsNoLongerMadeAreForgotten(t *testing.T) {
	var g Graph
	rng := rand.New(rand.NewPCG(7, 8))
	simulate(&g, rng, 2*time.Minute, routeBehavior{route: 1, call: 9, took: 100 * time.Millisecond, perSecond: 10, share: 1, times: 1})
	if _, ok := expectedOf(&g, 1, 9); !ok {
		t.Fatal("the calls were not learned")
	}
	now := start.Add(10 * time.Minute)
	for range 8 * halveAfterRuns {
		g.RequestStarted(now, 1, 1)
		now = now.Add(100 * time.Millisecond)
		g.RequestEnded(now, 1)
	}
	if e, ok := expectedOf(&g, 1, 9); ok && e.Share*e.Times > 2*minCallsPerRun {
		t.Errorf("%v calls a run are still expected", e.Share*e.Times)
	}
}

func TestLearnedStateIsBounded(t *testing.T) {
	var g Graph
	for route := range Route(10_000) {
		now := start.Add(time.Duration(route) * time.Millisecond)
		g.RequestStarted(now, route+1, 0)
		g.CallStarted(now, 20_000+route)
		for range minRuns {
			g.RequestEnded(now, route+1)
			g.RequestStarted(now, route+1, 0)
		}
	}
	if len(g.parents) > maxParents || len(g.records) > MaxRecords || len(g.callees) > maxParents*maxEdges {
		t.Errorf("%d parents, %d records, %d callees", len(g.parents), len(g.records), len(g.callees))
	}
}

// Clients send requests for a route from the same host as the server's calls. Such a route never
// counts as one of calls, whether gates report that or requests arrive while the server runs nothing.
func TestClientRequestsAreNotClassifiedAsCalls(t *testing.T) {
	var c CallClassifier
	for range 1000 {
		c.RecordGateReport(1, false)
		if c.ClassifyArrival(1, true) {
			t.Fatal("a request that gates do not report as a call was classified as one")
		}
	}
	for i := range 1000 {
		c.RecordGateReport(2, true)
		if c.ClassifyArrival(2, i%10 > 0) && i > 100 {
			t.Fatal("requests that arrive while the server is idle were classified as calls")
		}
		c.RecordGateReport(3, true)
		if !c.ClassifyArrival(3, true) {
			t.Fatal("a call was not classified as one")
		}
	}
	c.RecordGateReport(3, false)
	if c.ClassifyArrival(3, true) {
		t.Error("clients send such requests elsewhere, and the route still counts as one of calls")
	}
	for range confirmationsAfterDenial + 1 {
		c.RecordGateReport(3, true)
	}
	if !c.ClassifyArrival(3, true) {
		t.Error("the route does not count as one of calls again")
	}
}
