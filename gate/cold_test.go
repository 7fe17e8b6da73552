// SPDX-License-Identifier: MIT

package gate

import (
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/table"
)

const coldField = "Server-Cold"

// coldGate returns a gate to a server that reports for how many milliseconds it is still cold.
// If left is negative, the report cannot be parsed.
func coldGate(t *testing.T, left *atomic.Int64) *Gate {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set(coldField, strconv.FormatInt(left.Load(), 10))
	}}
	go server.Serve(listener) // Ends with the listener.
	dialect := header.DefaultDialect()
	dialect.Cold, dialect.RequestID = coldField, "Number"
	dialect.Prepare()
	row := table.Server{Policy: table.DefaultPolicy(), Service: "a", Name: "a-1", Address: listener.Addr().String(), State: table.Active}
	row.HealthPath, row.ColdTime, row.ColdPerSecond = "/health", time.Hour, 5
	g := New(row, Settings{DialTimeout: time.Second, IdleTimeout: time.Second, Dialect: dialect, ColdOvershoot: 1, ColdSlack: 3})
	t.Cleanup(func() {
		g.Close()
		listener.Close()
	})
	return g
}

func (g *Gate) probeNow() { g.requestReport(g.row, time.Second, g.openKept) }

// A server counts as cold until it has reported otherwise, and again each time that it may
// have become cold without reporting it.
func TestServerCountsAsColdUntilItReportsOtherwise(t *testing.T) {
	for _, test := range []struct {
		name string
		do   func(g *Gate, left *atomic.Int64)
		cold bool
	}{
		{"nothing reported", func(*Gate, *atomic.Int64) {}, true},
		{"reported as warm", func(g *Gate, _ *atomic.Int64) { g.probeNow() }, false},
		{"reported as cold", func(g *Gate, left *atomic.Int64) { left.Store(60_000); g.probeNow() }, true},
		{"report cannot be parsed", func(g *Gate, left *atomic.Int64) { left.Store(-1); g.probeNow() }, true},
		{"announced as warm without a report", func(g *Gate, _ *atomic.Int64) { g.ColdAnnounced(time.Now()) }, true},
		{"announced as cold", func(g *Gate, _ *atomic.Int64) { g.probeNow(); g.ColdAnnounced(time.Now().Add(time.Minute)) }, true},
		{"reported as warm after it was announced as cold", func(g *Gate, _ *atomic.Int64) {
			g.ColdAnnounced(time.Now().Add(time.Minute))
			g.probeNow()
		}, false},
		{"reported as warm, old announcement delivered again", func(g *Gate, _ *atomic.Int64) {
			until := time.Now().Add(time.Minute)
			g.ColdAnnounced(until)
			g.probeNow()
			g.ColdAnnounced(until)
		}, false},
		{"assumed to be cold since its report", func(g *Gate, _ *atomic.Int64) { g.probeNow(); g.AssumeCold(time.Now()) }, true},
		{"assumed to be cold, reported as warm", func(g *Gate, _ *atomic.Int64) { g.AssumeCold(time.Now()); g.probeNow() }, false},
		{"report older than the assumption", func(g *Gate, _ *atomic.Int64) {
			sentAt := time.Now().Add(-time.Second)
			g.AssumeCold(time.Now())
			g.updateCold(sentAt, &fasthttp.ResponseHeader{})
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var left atomic.Int64
			g := coldGate(t, &left)
			test.do(g, &left)
			if got := g.queue.Cold(time.Now()); got != test.cold {
				t.Errorf("cold: %v, want %v", got, test.cold)
			}
		})
	}
}

// The assumed cold time ends by itself after the cold time of the server's row, and servers
// without a cold rate are never assumed to be cold.
func TestAssumedColdTimeEnds(t *testing.T) {
	var left atomic.Int64
	g := coldGate(t, &left)
	if g.queue.Cold(time.Now().Add(time.Hour + time.Second)) {
		t.Error("cold for longer than the cold time of its row")
	}
	row := g.row
	row.ColdPerSecond = 0
	g.Configure(row, time.Now())
	if g.queue.Cold(time.Now()) {
		t.Error("cold without a cold rate")
	}
}

// A server that becomes slower is probed for its cold time; one that does not is not.
func TestSlowerServerIsProbedForItsColdTime(t *testing.T) {
	var left atomic.Int64
	g := coldGate(t, &left)
	g.settings.ProbeAfter = time.Hour
	g.settings.Dialect.Load = "Load"
	g.probeNow()
	g.lastRequest = time.Now()
	for _, step := range []struct {
		load   string
		probes bool
	}{{"1,0,8,100", true}, {"1,0,8,110", false}, {"1,0,8,200", true}, {"1,0,8,100", false}} {
		var answer fasthttp.ResponseHeader
		answer.Set("Load", step.load)
		g.updateSlowness(&answer)
		if got := g.needsProbe(time.Now()); got != step.probes {
			t.Errorf("load %s: probed %v, want %v", step.load, got, step.probes)
		}
		g.probeNow()
	}
}

// A server that had become cold got 55 to 137 requests in a second instead of 50: its gate
// sent no probe while an earlier one, on a connection that had become unresponsive, was
// unanswered for up to a second.
func TestColdServerIsProbedWhileAProbeIsLate(t *testing.T) {
	var left atomic.Int64
	g := coldGate(t, &left)
	g.settings.ProbeAfter = time.Hour
	g.settings.Dialect.Load = "Load"
	g.bucket.Rate = 1000
	g.probeNow()
	left.Store(60_000)
	g.probing, g.probeStarted = true, time.Now().Add(-secondProbeAfter) // A probe that is never answered.
	g.lastRequest = time.Now()
	var answer fasthttp.ResponseHeader
	answer.Set("Load", "1,0,8,200")
	g.updateSlownessAndProbe(&answer)
	for until := time.Now().Add(10 * time.Second); !g.isCold(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("the gate does not know that the server is cold; %+v", g.cold.wait)
		}
		g.lastRequest = time.Now()
		g.Probe(time.Now(), time.Second) // As each tick does.
	}
}

// A server that turns cold in a slow period does not become slower, but may even become faster. One
// such server got 175 requests in a second instead of 50.
func TestServerThatTurnsColdInASlowPeriodIsProbed(t *testing.T) {
	var left atomic.Int64
	g := coldGate(t, &left)
	g.settings.ProbeAfter = time.Hour
	g.settings.Dialect.Load = "Load"
	g.bucket.Rate = 1000
	respond := func(slowness string) {
		var answer fasthttp.ResponseHeader
		answer.Set("Load", "1,0,8,"+slowness)
		g.updateSlownessAndProbe(&answer)
	}
	respond("400")
	g.probeNow()
	left.Store(60_000)
	for until := time.Now().Add(10 * time.Second); !g.isCold(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the gate does not know that the server is cold")
		}
		g.mu.Lock()
		g.lastRequest = time.Now()
		g.mu.Unlock()
		respond("200")
	}
}

func (g *Gate) isCold() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Now().Before(g.cold.until)
}

// A server that has become slower may be cold and is probed at once although the probe budget is
// spent, since until then it gets more requests than it can serve. The reserve bounds these probes.
func TestSlowerServerIsProbedWithoutBudget(t *testing.T) {
	var left atomic.Int64
	left.Store(60_000)
	g := coldGate(t, &left)
	g.row.ProbeRate = 0
	g.settings.ChecksPerSecond = 30
	g.check = newCheck(30)
	g.mu.Lock()
	g.bucket.Rate, g.cold.assumedUntil = 0, time.Time{}
	g.lastRequest = time.Now()
	g.mu.Unlock()
	for range 10 {
		g.mu.Lock()
		g.cold.requireProbe(time.Now())
		probing := g.probing
		g.mu.Unlock()
		if !probing {
			g.Probe(time.Now(), time.Second)
		}
		for until := time.Now().Add(10 * time.Second); g.isProbing() && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
	}
	if !g.isCold() {
		t.Error("the gate has not learned that its server is cold")
	}
	if n := g.Counters.Probes.Load(); n < 1 || n > reserveBurst+2 {
		t.Errorf("%d probes, want 1 to %d", n, reserveBurst+2)
	}
}

func (g *Gate) isProbing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.probing
}
