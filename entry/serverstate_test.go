// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/wire"
)

func reportingEntry() *Entry {
	return New(Settings{Dialect: header.Dialect{RateLimit: "X-Limit", Leaving: "X-Leaving"}}, nil)
}

// A server that reported in a response that it is leaving gets nothing any more from this entry,
// although members' records, a later response and a new pool of the service do not say so.
func TestServerThatReportedLeavingGetsNoRequests(t *testing.T) {
	e := reportingEntry()
	now := time.Now()
	servers := []balance.Spec{
		{Name: "s0", Node: "n0", Weight: 1, Slots: 9, Announced: true},
		{Name: "s1", Node: "n1", Weight: 1, Slots: 9, Announced: true},
	}
	topology := Topology{Announced: func(string) []balance.Spec { return append([]balance.Spec(nil), servers...) }}
	row := &table.Service{Name: "a", Policy: table.DefaultPolicy()}
	row.Discovery = table.Announced
	newService := func() *service {
		s := &service{name: "a", pool: balance.NewPool(balance.Options{}), rng: rand.New(rand.NewPCG(1, 2))}
		s.update(now, row, topology, &e.leaving)
		return s
	}
	s := newService()
	respond := func(fields ...wire.Field) {
		a := &attempt{server: s.pool.Servers()[0], name: "s0", node: "n0", began: time.Now()}
		e.observeServerState(s, a, &wire.Response{Status: 200, Header: fields})
	}
	respond(wire.Field{Name: "x-leaving", Value: "1"})
	respond()
	check := func(when string, s *service) {
		t.Helper()
		for range 50 {
			if picked := s.pool.Pick(now, s.rng, nil); picked == nil || picked.Name != "s1" {
				t.Fatalf("%s: picked %+v", when, picked)
			}
		}
	}
	check("after the response", s)
	s.update(now, row, topology, &e.leaving)
	check("after an update", s)
	check("in a new pool", newService())
	servers[0].Name = "s0#2"
	s.update(now, row, topology, &e.leaving)
	if s.pool.CountUntried(now, nil) != 2 {
		t.Error("the next incarnation of the server gets no requests")
	}
	if n := e.LeavingServers(); n != 1 {
		t.Errorf("%d servers are remembered as leaving", n)
	}
}

// The limit that a server reports is sent to its gate with each request.
func TestRateLimitIsSentToTheGate(t *testing.T) {
	e := reportingEntry()
	s := coldService(time.Now())
	r := &request{service: s, began: time.Now()}
	attemptAt := func() *attempt {
		a := r.startAttempt(time.Now(), s.pool.Servers()[0])
		a.began = time.Now()
		return a
	}
	a := attemptAt()
	if m := r.requirements(time.Now(), a); m != nil {
		t.Errorf("requirements %+v before any response", m)
	}
	e.observeServerState(s, a, &wire.Response{Status: 200, Header: wire.Fields{{Name: "X-Limit", Value: "7.5"}}})
	a = attemptAt()
	if m := r.requirements(time.Now(), a); m == nil || m.RateLimit != wire.NewRateLimit(7.5) {
		t.Errorf("requirements %+v after a response with a limit", m)
	}
	e.observeServerState(s, a, &wire.Response{Status: 200})
	if m := r.requirements(time.Now(), attemptAt()); m != nil {
		t.Errorf("requirements %+v after a response without a limit", m)
	}
}

// The number of remembered servers is bounded, and the newest are kept.
func TestLeavingServersAreBounded(t *testing.T) {
	var l leavingServers
	for i := range maxLeavingServers + 10 {
		l.add(fmt.Sprint("s", i))
	}
	if l.count() != maxLeavingServers || l.has("s9") || !l.has("s10") || l.add("s10") {
		t.Errorf("%d are remembered", l.count())
	}
}
