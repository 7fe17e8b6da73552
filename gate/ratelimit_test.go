// SPDX-License-Identifier: MIT

package gate

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/peer"
	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/wire"
)

const (
	rateLimitField = "X-Limit"
	leavingField   = "X-Leaving"
)

// newReportingGate returns a gate whose server is never asked: the tests pass its responses to the
// gate.
func newReportingGate(t *testing.T, discovery table.Discovery) (g *Gate, logs *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zapcore.InfoLevel)
	dialect := header.DefaultDialect()
	dialect.RateLimit, dialect.Leaving, dialect.RequestID = rateLimitField, leavingField, "X-Id"
	dialect.Prepare()
	row := table.Server{Policy: table.DefaultPolicy(), Service: "a", Name: "a-1", Address: "127.0.0.1:1", State: table.Active}
	row.Discovery = discovery
	g = New(row, Settings{Dialect: dialect, ProbeAfter: time.Hour, Recorder: event.NewRecorder(zap.New(core), 0, 1000)})
	t.Cleanup(g.Close)
	return g, logs
}

// respond passes a response to a request that is sent now to the gate, with pairs of header fields
// and values.
func (g *Gate) respond(kind event.ResponseKind, fields ...string) {
	var h fasthttp.ResponseHeader
	for i := 0; i < len(fields); i += 2 {
		h.Add(fields[i], fields[i+1])
	}
	g.observeServerState(time.Now(), kind, &h)
}

// A reported limit is enforced and announced to entries until a response shows that it has ended. A
// probe shows that only if probes have had the limit before.
func TestReportedRateLimitIsEnforced(t *testing.T) {
	g, _ := newReportingGate(t, table.Announced)
	updates := 0
	g.settings.OnUpdate = func() { updates++ }
	g.respond(event.RunResponse, rateLimitField, "8")
	headroom, ok := g.HeadroomUpdate(time.Now())
	if perSecond, limited := headroom.RateLimit.PerSecond(); !ok || !limited || perSecond != 8 || headroom.TokenIntervalMillis != 125 || updates != 1 {
		t.Fatalf("headroom %+v, update %v, %d notifications", headroom, ok, updates)
	}
	for _, kind := range []event.ResponseKind{event.FailureResponse, event.ProbeResponse} {
		if g.respond(kind); !g.queue.RateLimited() {
			t.Errorf("the limit was lifted by a response of kind %s", kind)
		}
	}
	g.respond(event.RunResponse)
	if headroom, ok = g.HeadroomUpdate(time.Now()); !ok || headroom.RateLimit != wire.NoRateLimit || headroom.TokenIntervalMillis != 0 || g.queue.RateLimited() {
		t.Errorf("after the limit was lifted: headroom %+v, update %v", headroom, ok)
	}
	g.respond(event.ProbeResponse, rateLimitField, "8")
	if g.respond(event.ProbeResponse); g.queue.RateLimited() {
		t.Error("the limit was not lifted by a probe although probes had it")
	}
}

// A gate that has just started enforces the limit that entries know, until its server responds.
func TestNewGateEnforcesTheLimitThatEntriesKnow(t *testing.T) {
	g, _ := newReportingGate(t, table.Announced)
	assume := func(perSecond float64) {
		request := &wire.Request{Requirements: &wire.Requirements{RateLimit: wire.NewRateLimit(perSecond)}}
		g.assumeRateLimit(time.Now(), &job{gate: g, stream: &peer.Stream{Request: request}})
	}
	if headroom := g.headroom(time.Now()); headroom.RateLimit != wire.UnknownRateLimit {
		t.Errorf("a new gate reports %+v", headroom)
	}
	assume(8)
	if perSecond, limited := g.RateLimit(); !limited || perSecond != 8 || !g.queue.RateLimited() {
		t.Errorf("limit %g, %v", perSecond, limited)
	}
	g.respond(event.RunResponse)
	if assume(8); g.queue.RateLimited() {
		t.Error("the gate uses what an entry knows although its server reports no limit")
	}
}

// While a limit is in force and the server sends no response, it is probed, also without
// requests: otherwise nobody learns that the limit has ended.
func TestLimitedServerIsProbedWithoutRequests(t *testing.T) {
	g, _ := newReportingGate(t, table.Announced)
	later := time.Now().Add(rateLimitProbeInterval + time.Second)
	if g.needsProbe(later) {
		t.Fatal("an idle server without a limit is probed")
	}
	g.respond(event.RunResponse, rateLimitField, "0")
	if g.needsProbe(time.Now()) || !g.needsProbe(later) {
		t.Error("want a probe some time after the last response, and none before")
	}
}

// An invalid limit changes nothing and is logged once, not with each response.
func TestInvalidRateLimitIsLoggedOnce(t *testing.T) {
	g, logs := newReportingGate(t, table.Announced)
	g.respond(event.RunResponse, rateLimitField, "8")
	logs.TakeAll()
	for range 5 {
		g.respond(event.RunResponse, rateLimitField, "many")
	}
	if perSecond, limited := g.RateLimit(); !limited || perSecond != 8 {
		t.Errorf("limit %g, %v after invalid ones", perSecond, limited)
	}
	lines := logs.TakeAll()
	if n := g.Counters.BadRateLimits.Load(); len(lines) != 1 || lines[0].ContextMap()["invalid"] != "many" || n != 5 {
		t.Errorf("%d counted, lines %+v", n, lines)
	}
}
