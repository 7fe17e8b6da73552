// SPDX-License-Identifier: MIT

package gate

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/table"
)

// slownessServer is a backend server that reports a slowness, set by the test, at its health
// path.
type slownessServer struct {
	address  string
	slowness atomic.Int64
	probes   atomic.Int64
	late     atomic.Bool
	// delayOnce delays the next answer only.
	delayOnce atomic.Bool
}

func startSlownessServer(t *testing.T) *slownessServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &slownessServer{address: listener.Addr().String()}
	s.slowness.Store(100)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		s.probes.Add(1)
		if s.late.Load() || s.delayOnce.Swap(false) {
			time.Sleep(10 * checkTimeout)
		}
		ctx.Response.Header.Set("Server-Load", fmt.Sprintf("0,0,8,%d", s.slowness.Load()))
	}}
	go server.Serve(listener) // Ends with the listener.
	t.Cleanup(func() { listener.Close() })
	return s
}

func (s *slownessServer) newGate(perSecond float64) *Gate {
	dialect := header.DefaultDialect()
	dialect.Load, dialect.RequestID = "Server-Load", "Number"
	dialect.Prepare()
	policy := table.DefaultPolicy()
	policy.HealthPath = "/health"
	return New(table.Server{Policy: policy, Service: "a", Name: "a-1", Address: s.address, State: table.Active},
		Settings{DialTimeout: time.Second, IdleTimeout: time.Second, Dialect: dialect, ChecksPerSecond: perSecond})
}

// A request is refused if its server has become slower than its entry knew, and runs if the
// entry knew. A request without a slowness causes no probe.
func TestSlownessIsCheckedBeforeARequestStarts(t *testing.T) {
	s := startSlownessServer(t)
	for _, test := range []struct {
		name    string
		percent int
		now     int64
		slower  bool
		probes  bool
	}{
		{"unchanged", 100, 100, false, true},
		{"became slow", 100, 500, true, true},
		{"slow as before", 500, 500, false, true},
		{"became fast", 500, 100, false, true},
		{"a little slower", 100, 120, false, true},
		{"request without a slowness", 0, 500, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := s.newGate(50)
			defer g.Close()
			s.slowness.Store(test.now)
			before := s.probes.Load()
			if got := g.slowerThan(test.percent); got != test.slower {
				t.Errorf("slower: %v, want %v", got, test.slower)
			}
			if probed := s.probes.Load() > before; probed != test.probes {
				t.Errorf("probed: %v, want %v", probed, test.probes)
			}
		})
	}
}

// Checks stay within their budget, and a server that does not answer them delays requests only
// briefly.
func TestChecksAreBounded(t *testing.T) {
	s := startSlownessServer(t)
	g := s.newGate(0)
	defer g.Close()
	if g.slowerThan(100) || s.probes.Load() > 0 {
		t.Error("probed without a budget")
	}
	g = s.newGate(1e-9) // Only the burst is left.
	defer g.Close()
	for range 10 * checkBurst {
		g.slownessAsOf = time.Time{}
		g.slowerThan(100)
	}
	// A check that is not answered in time, as on a busy machine, pauses the others.
	paused := !g.check.pausedUntil.IsZero()
	if checks := g.Counters.Checks.Load(); checks > checkBurst || checks < 1 || (!paused && checks != checkBurst) {
		t.Errorf("checked %d times, the burst is %d, paused %v", checks, checkBurst, paused)
	}
	if probes := s.probes.Load(); probes > checkBurst+reserveBurst || (!paused && probes != checkBurst) {
		t.Errorf("probed %d times, the burst is %d, paused %v", probes, checkBurst, paused)
	}
	s.late.Store(true)
	g = s.newGate(50)
	defer g.Close()
	s.slowness.Store(500)
	before, began := s.probes.Load(), time.Now()
	for range 5 {
		if g.slowerThan(100) {
			t.Error("a server that did not answer counts as slower")
		}
	}
	most := 1 + int64(time.Since(began)/checkPause) // Each pause allows one more.
	if checks := g.Counters.Checks.Load(); checks < 1 || checks > most {
		t.Errorf("a late server was checked %d times in a row, want 1 to %d", checks, most)
	}
	if probes := s.probes.Load() - before; probes > most {
		t.Errorf("a late server was probed %d times in a row, want %d at most", probes, most)
	}
}
