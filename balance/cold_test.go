// SPDX-License-Identifier: MIT

package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/wire"
)

// A cold server's gate admits one request every 55 ms, and has reported that the next one
// has to wait for another 110 ms.
var (
	coldHeadroom    = newColdHeadroom(3000, 110)
	lookupDemand    = Demand{Work: 180 * time.Millisecond, Aim: 500 * time.Millisecond}
	shortCallDemand = Demand{Work: 44 * time.Millisecond, Aim: 100 * time.Millisecond}
	warmReport      = wire.Load{Limit: 12, Slowness: 100, ServiceMicros: 190_000}
	coldReport      = wire.Load{Limit: 12, Slowness: 200, ServiceMicros: 380_000}
)

// bulkLevel is the index of the last level of wire.Headroom.
const bulkLevel = wire.HeadroomLevels - 1

// newColdHeadroom returns the headroom of a server that is cold for a time and admits one
// request every 55 ms, where the next one of any level waits for a time; both in milliseconds.
func newColdHeadroom(cold, wait int64) wire.Headroom {
	return wire.Headroom{AdmittedPriorities: 3, ColdMillis: cold, TokenIntervalMillis: 55, CallTokenWaitMillis: wait, UrgentTokenWaitMillis: wait, NormalTokenWaitMillis: wait, BulkTokenWaitMillis: wait}
}

// setReport records a load report of a server.
func setReport(p *Pool, now time.Time, s *Server, load wire.Load) {
	load.Seq = s.report.Seq + 1
	p.updateLoad(now, s, load)
}

func TestTokenWaitCountsDown(t *testing.T) {
	p := newTestPool(1, Options{})
	s := p.servers[0]
	p.UpdateHeadroom(start, s.Node, coldHeadroom)
	for _, c := range []struct {
		after, want time.Duration
	}{{0, 110 * time.Millisecond}, {60 * time.Millisecond, 50 * time.Millisecond}, {200 * time.Millisecond, 0}, {4 * time.Second, 0}} {
		if got := s.tokenWait(start.Add(c.after), bulkLevel); got != c.want {
			t.Errorf("after %s: wait %s, want %s", c.after, got, c.want)
		}
	}
	if got := s.ColdRemaining(start.Add(time.Second)); got != 2*time.Second {
		t.Errorf("cold for %s after a second, want 2s", got)
	}
}

func TestOwnRequestsTakeTokens(t *testing.T) {
	p := newTestPool(1, Options{})
	s := p.servers[0]
	headroom := newColdHeadroom(3000, -55) // Two requests may be sent at once.
	p.UpdateHeadroom(start, s.Node, headroom)
	for i, want := range []time.Duration{0, 0, 55 * time.Millisecond} {
		if got := max(s.tokenWait(start, bulkLevel), 0); got != want {
			t.Errorf("after %d requests: wait %s, want %s", i, got, want)
		}
		p.Sent(start, s)
	}
	if got := s.tokenWait(start.Add(time.Second), bulkLevel); got > 0 {
		t.Errorf("wait %s a second later", got)
	}
	p.UpdateHeadroom(start, s.Node, coldHeadroom) // The gate's report includes them.
	if got := s.tokenWait(start, bulkLevel); got != 110*time.Millisecond {
		t.Errorf("wait %s after the gate's report, want 110ms", got)
	}
}

// If the gate's report is lost, or the gate's build does not send wire.Headroom, its refusals
// determine the wait.
func TestRefusalSetsTokenWaitWithoutHeadroomReport(t *testing.T) {
	p := newTestPool(1, Options{})
	s := p.servers[0]
	exchange(p, start, s, Result{Refused: wire.ReasonCold, RetryAfter: 300 * time.Millisecond})
	if got := s.tokenWait(start.Add(100*time.Millisecond), bulkLevel); got != 200*time.Millisecond {
		t.Errorf("wait %s, want 200ms", got)
	}
	if got := s.tokenWait(start.Add(time.Second), bulkLevel); got != 0 {
		t.Errorf("wait %s a second later", got)
	}
}

// If the report that the server is warm is lost, the entry's own countdown ends the cold time.
func TestColdTimeEndsWithoutReport(t *testing.T) {
	p := newTestPool(1, Options{})
	s := p.servers[0]
	p.UpdateHeadroom(start, s.Node, coldHeadroom)
	s.recordTokenRefusal(start.Add(2900*time.Millisecond), time.Second)
	if got := s.tokenWait(start.Add(2950*time.Millisecond), bulkLevel); got != 50*time.Millisecond {
		t.Errorf("wait %s shortly before the end of the cold time, want 50ms", got)
	}
	if got := s.tokenWait(start.Add(3100*time.Millisecond), bulkLevel); got != 0 {
		t.Errorf("wait %s after the cold time", got)
	}
}

func TestHeadroomOfOtherBuildsIsClamped(t *testing.T) {
	p := newTestPool(1, Options{})
	s := p.servers[0]
	p.UpdateHeadroom(start, s.Node, wire.Headroom{ColdMillis: 1 << 62, TokenIntervalMillis: 1 << 62, BulkTokenWaitMillis: 1 << 62, CallWaitMillis: -1 << 62})
	if got := s.ColdRemaining(start); got != time.Hour {
		t.Errorf("cold for %s", got)
	}
	if got := s.tokenWait(start, bulkLevel); got != time.Minute {
		t.Errorf("wait %s", got)
	}
	p.UpdateHeadroom(start, s.Node, wire.Headroom{ColdMillis: -5, TokenIntervalMillis: -5, BulkTokenWaitMillis: -5})
	if s.ColdRemaining(start) != 0 || s.tokenWait(start, bulkLevel) != 0 {
		t.Errorf("cold for %s, wait %s", s.ColdRemaining(start), s.tokenWait(start, bulkLevel))
	}
}

// pickMany sends n requests to the servers that are picked and returns how many each got.
func pickMany(p *Pool, now time.Time, n int, demand Demand) map[*Server]int {
	rng := rand.New(rand.NewPCG(1, 2))
	got := map[*Server]int{}
	for range n {
		s := p.PickFor(now, rng, nil, demand)
		p.Sent(now, s)
		got[s]++
	}
	return got
}

// One of eight servers has just started; the others are warm.
func TestOneColdServerAmongWarmOnes(t *testing.T) {
	p := newTestPool(8, Options{})
	for i, s := range p.servers {
		load := warmReport
		if i == 0 {
			load = coldReport
			p.UpdateHeadroom(start, s.Node, coldHeadroom)
		}
		setReport(p, start, s, load)
	}
	if got := pickMany(p, start, 16, lookupDemand)[p.servers[0]]; got != 0 {
		t.Errorf("the cold server got %d of 16 requests while the warm ones have capacity", got)
	}
	for _, s := range p.servers[1:] {
		busy := warmReport
		busy.InFlight, busy.Queued = 12, 30
		setReport(p, start, s, busy)
	}
	if got := pickMany(p, start, 16, lookupDemand)[p.servers[0]]; got < 8 {
		t.Errorf("the cold server got %d of 16 requests while the warm ones are full", got)
	}
}

// All eight servers are cold, and two of them have tokens: these two do not get all requests
// that arrive at the same time.
func TestServersWithTokensDoNotGetAllRequests(t *testing.T) {
	p := newTestPool(8, Options{})
	for i, s := range p.servers {
		headroom := coldHeadroom
		if i < 2 {
			headroom = newColdHeadroom(3000, -55)
		}
		p.UpdateHeadroom(start, s.Node, headroom)
		setReport(p, start, s, coldReport)
	}
	got := pickMany(p, start, 12, lookupDemand)
	first := got[p.servers[0]] + got[p.servers[1]]
	if first < 4 || first > 10 {
		t.Errorf("the two servers with tokens got %d of 12", first)
	}
}
