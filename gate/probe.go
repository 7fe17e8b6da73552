// SPDX-License-Identifier: MIT

package gate

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/backend"
	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/table"
)

// ReportPath is the path at which servers report their load, unless their row names another.
const ReportPath = table.DefaultHealthPath

// maxReportBytes bounds the size of a report.
const maxReportBytes = 4 << 10

// Probe requests the server's load report, if the row's budget allows a probe now and the
// last one has ended. It waits for the answer for up to limit. While a probe is late, a second
// one may be sent to find out whether the server is cold.
func (g *Gate) Probe(now time.Time, limit time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.needsProbe(now) {
		return
	}
	running, open := &g.probing, g.openKept
	if g.probing {
		if !g.needsSecondColdProbe(now) {
			g.cold.wait.blocked++
			return
		}
		running, open, limit = &g.cold.probing, g.openNew, min(limit, coldProbeTimeout)
	}
	if !g.bucket.Take(now) && !g.payFromReserve(now) {
		g.cold.wait.overBudget++
		return
	}
	g.startProbe(now, running, limit, open)
}

// payFromReserve reports whether the reserve pays for a probe: the server may just have become
// cold, and until that is known it gets more requests than it can serve. It is called with the lock
// held.
func (g *Gate) payFromReserve(now time.Time) bool {
	return g.cold.needsProbe && g.row.ColdPerSecond > 0 && g.check.reserve.AllowN(now, 1)
}

// startProbe sends a probe and sets running while it waits for the answer. It is called with
// the lock held.
func (g *Gate) startProbe(now time.Time, running *bool, limit time.Duration, open opener) {
	*running = true
	if running == &g.probing {
		g.probeStarted = now
	}
	row := g.row
	go func() {
		g.probe(row, limit, open)
		g.mu.Lock()
		*running = false
		g.mu.Unlock()
	}()
}

// needsSecondColdProbe reports whether a probe must find out whether the server is cold
// although another probe is still unanswered. A probe on a connection that has become unresponsive may
// take a second to fail, and meanwhile a cold server would get as many requests as arrive. It
// is called with the lock held.
func (g *Gate) needsSecondColdProbe(now time.Time) bool {
	return g.needsColdProbe(now) && !g.cold.probing && now.Sub(g.probeStarted) >= secondProbeAfter
}

// demandWindow is how long after a request the server is still probed.
const demandWindow = time.Second

// A slow server is probed sooner, because requests wait for the end of its slow period.
// slowPercent is the slowness from which on this applies, and slowIntervalFactor the factor on
// the time since its last report. A factor of 1/3 probes more often, brings no more, and costs
// 0.01 of the net value of all requests where probes are expensive.
const (
	slowPercent        = 150
	slowIntervalFactor = 2.0 / 3
)

// needsProbe reports whether a probe would give newer information than the last response. It
// is called with the lock held.
func (g *Gate) needsProbe(now time.Time) bool {
	after := g.settings.ProbeAfter
	if after == 0 {
		return true
	}
	if g.slowness >= slowPercent {
		after = time.Duration(slowIntervalFactor * float64(after))
	}
	if g.needsColdProbe(now) {
		after = 0
	}
	if g.needsRateLimitProbe(now) {
		return true
	}
	return g.drain == 0 && now.Sub(g.lastRequest) < demandWindow && now.Sub(g.slownessAsOf) >= after
}

// wrongServer reports that another server than the row's answers at its address.
func (g *Gate) wrongServer() {
	if g.settings.OnWrongServer != nil {
		g.settings.OnWrongServer(g.name)
	}
}

// probe requests the server's report and takes from it whether the server is draining.
func (g *Gate) probe(row table.Server, limit time.Duration, open opener) {
	g.Counters.Probes.Add(1)
	report, ok := g.requestReport(row, limit, open)
	if !ok {
		g.Counters.FailedProbes.Add(1)
		return
	}
	if !g.settings.Dialect.Strict() {
		g.SetDrain(DrainServer, report.Draining || g.ServerLeaving(), time.Now())
	}
}

// probePool sends a probe on a connection of a pool and waits for the head of the response.
func probePool(server *backend.Pool, path, service string, limit time.Duration) (*backend.Exchange, error) {
	exchange, err := server.Open(false)
	if err != nil {
		return nil, err
	}
	p := sendProbe(exchange, path, service, limit)
	if <-p.done; p.err != nil {
		exchange.Finish(false)
		return nil, p.err
	}
	return exchange, nil
}

// ServerInfo is what the backend server at an address reports about itself.
type ServerInfo struct {
	ID string
	// Accepting says that the server accepts new requests. A server that does not is full, is
	// failing or leaves; Leaving says that it leaves.
	Accepting, Leaving bool
	// Slots is 0 if the server does not report it.
	Slots int
	// Cold is how much longer the server is cold.
	Cold time.Duration
}

// QueryServer asks the server at an address about itself. ok is false unless a server has answered
// with its ID.
func QueryServer(address, path, service string, dialect *header.Dialect, limit time.Duration) (found ServerInfo, ok bool) {
	answer, ok := probeAddress(address, path, service, dialect, limit)
	if !ok {
		return ServerInfo{}, false
	}
	load, _ := header.ParseLoad(string(answer.Header.Peek(dialect.Load)))
	found = ServerInfo{
		ID:        string(answer.Header.Peek(dialect.ServerID)),
		Leaving:   dialect.Leaving != "" && header.IsLeaving(answer.Header.Peek(dialect.Leaving)),
		Accepting: answer.StatusCode() == fasthttp.StatusOK,
		Slots:     load.Slots,
	}
	found.Accepting = found.Accepting && !found.Leaving
	if dialect.Cold != "" {
		found.Cold, _ = header.ParseCold(string(answer.Header.Peek(dialect.Cold))) // The gate probes again.
	}
	return found, found.ID != ""
}

// probeAddress sends a probe over a connection of its own and returns the head of the
// response.
func probeAddress(address, path, service string, dialect *header.Dialect, limit time.Duration) (*fasthttp.Response, bool) {
	if dialect.ServerID == "" {
		return nil, false
	}
	server := &backend.Pool{Address: address, MaxConns: 1, DialTimeout: limit}
	defer server.Close()
	exchange, err := probePool(server, path, service, limit)
	if err != nil {
		return nil, false
	}
	defer exchange.Finish(false)
	return &exchange.Response, true
}
