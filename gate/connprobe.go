// SPDX-License-Identifier: MIT

package gate

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/backend"
	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/measure"
	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/table"
)

// An open connection to the server may stop carrying data for good while new connections work,
// without the kernel noticing. This package calls it unresponsive. A probe that stays
// unanswered on a kept connection is therefore repeated on a new one: only the comparison
// distinguishes an unresponsive connection from a server that has stalled.
const (
	// secondProbeAfter is how long a probe may be unanswered on a kept connection before a
	// second one is sent on a new connection; a server usually answers within 1 or 2 ms.
	secondProbeAfter = 20 * time.Millisecond
	// keptConnGrace is the least time beyond what the answer on the new connection took for
	// which the answer on the kept connection is still waited for: when a stalled server
	// resumes, it answers both at once.
	keptConnGrace = 5 * time.Millisecond
	// probeTimeout is how long both answers are waited for.
	probeTimeout = time.Second
)

// probe is one request for the server's load report.
type probe struct {
	exchange *backend.Exchange
	sentAt   time.Time
	// awaited are the requests that the gate was waiting for when the probe was sent.
	awaited []*job
	// done is closed once err is set.
	done chan struct{}
	err  error
}

// sendProbe sends a probe that ends after a time limit.
func sendProbe(exchange *backend.Exchange, path, service string, limit time.Duration) *probe {
	p := &probe{exchange: exchange, sentAt: time.Now(), done: make(chan struct{})}
	go func() {
		defer close(p.done)
		request := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(request)
		request.SetRequestURI(path)
		request.Header.SetHost(service)
		p.err = exchange.Send(request, p.sentAt.Add(limit))
	}()
	return p
}

// waitFor waits for the answer until the given time after the probe was sent, and reports
// whether the probe has ended.
func (p *probe) waitFor(after time.Duration) bool {
	timer := time.NewTimer(time.Until(p.sentAt.Add(after)))
	defer timer.Stop()
	select {
	case <-p.done:
		return true
	case <-timer.C:
		return false
	}
}

// onKeptConn reports whether the probe was sent on a kept connection.
func (p *probe) onKeptConn() bool { return p.exchange.Origin() == backend.Kept }

// rejected reports whether the server answered that it accepts no more requests.
func (p *probe) rejected() bool {
	return p.err == nil && p.exchange.Response.StatusCode() == fasthttp.StatusServiceUnavailable
}

// cancel aborts the probe.
func (p *probe) cancel() {
	p.exchange.Abort()
	<-p.done
	p.exchange.Finish(false)
}

// opener opens an exchange with the server.
type opener func() (*backend.Exchange, error)

// openKept opens an exchange on the connection that a request would get.
func (g *Gate) openKept() (*backend.Exchange, error) { return g.server.Open(false) }

// openNew opens an exchange on a new connection, which cannot be unresponsive yet.
func (g *Gate) openNew() (*backend.Exchange, error) { return g.server.Open(true) }

// requestReport requests the server's report and waits for it up to a limit.
func (g *Gate) requestReport(row table.Server, limit time.Duration, open opener) (measure.Report, bool) {
	awaited := g.awaitedRequests()
	exchange, err := open()
	if err != nil {
		return measure.Report{}, false
	}
	p := sendProbe(exchange, row.HealthPath, row.Service, max(limit, probeTimeout))
	p.awaited = awaited
	if p.waitFor(min(limit, secondProbeAfter)) {
		return g.readReport(row, p)
	}
	if limit <= secondProbeAfter {
		go g.compareWithNewConn(row, p, probeTimeout)
		return measure.Report{}, false
	}
	return g.compareWithNewConn(row, p, limit)
}

// compareWithNewConn waits for a probe up to a limit. If the probe stays unanswered on a kept
// connection, it is repeated on a new one.
func (g *Gate) compareWithNewConn(row table.Server, p *probe, limit time.Duration) (measure.Report, bool) {
	if p.waitFor(secondProbeAfter) {
		return g.readReport(row, p)
	}
	second := g.probeNewConn(row, p, limit)
	if second == nil {
		if p.waitFor(limit) {
			return g.readReport(row, p)
		}
		g.recordUnanswered(p, event.StalledConnection{ProbeOverBudget: p.onKeptConn()})
		p.cancel()
		return measure.Report{}, false
	}
	select {
	case <-p.done:
		second.cancel()
		return g.readReport(row, p)
	case <-second.done:
	}
	took := time.Since(second.sentAt)
	switch {
	case second.rejected():
		// A full server may queue the first probe and reject the second. When the kept
		// connections were taken for unresponsive here, the requests that the server was
		// running were ended.
		p.waitFor(limit)
		p.cancel()
	case second.err != nil:
		g.Counters.UnansweredProbes.Add(1)
		g.recordUnanswered(p, event.StalledConnection{})
		p.cancel()
	case p.waitFor(time.Since(p.sentAt) + max(took, keptConnGrace)):
		p.cancel()
	default:
		g.Counters.UnresponsiveConnections.Add(1)
		g.recordUnanswered(p, event.StalledConnection{AnsweredOnNew: true})
		g.suspectConnsBefore(p.sentAt)
		go g.clearSuspicionIfAnswered(p)
	}
	return g.readReport(row, second)
}

// probeNewConn repeats a probe on a new connection. It returns nil if the first was on a new
// connection already, or the budget is spent, or no connection can be made.
func (g *Gate) probeNewConn(row table.Server, p *probe, limit time.Duration) *probe {
	if !p.onKeptConn() || !(g.check.limiter.Allow() || g.check.reserve.Allow()) {
		return nil
	}
	exchange, err := g.openNew()
	if err != nil {
		return nil
	}
	g.Counters.Probes.Add(1)
	awaited := g.awaitedRequests()
	second := sendProbe(exchange, row.HealthPath, row.Service, limit)
	second.awaited = awaited
	return second
}

// readReport reads the answer to a probe, if there is one.
func (g *Gate) readReport(row table.Server, p *probe) (measure.Report, bool) {
	exchange := p.exchange
	if p.err != nil {
		exchange.Finish(false)
		return measure.Report{}, false
	}
	body, err := readUpTo(exchange.Body(), maxReportBytes)
	whole := err == io.EOF
	g.updateSlowness(&exchange.Response.Header)
	g.matchWorkCount(p)
	g.updateCold(p.sentAt, &exchange.Response.Header)
	dialect := &g.settings.Dialect
	if id := exchange.Response.Header.Peek(dialect.ServerID); dialect.Strict() && len(id) > 0 && string(id) != member.ServerIncarnationOf(row.Name).ID {
		g.wrongServer()
	} else {
		g.observeServerState(p.sentAt, event.ProbeResponse, &exchange.Response.Header)
	}
	exchange.Finish(whole)
	if !whole || exchange.Response.StatusCode() != fasthttp.StatusOK {
		return measure.Report{}, false
	}
	if dialect.Strict() {
		return measure.Report{}, true // The header fields hold the whole report.
	}
	return measure.Parse(body)
}

// recordUnanswered logs that a probe stayed unanswered, and what is known about it.
func (g *Gate) recordUnanswered(p *probe, m event.StalledConnection) {
	g.mu.Lock()
	service := g.row.Service
	g.mu.Unlock()
	now := time.Now()
	m.Service, m.Server, m.Connection = service, g.name, string(p.exchange.Origin())
	m.Age, m.Waited = now.Sub(p.exchange.Opened()), now.Sub(p.sentAt)
	g.settings.Recorder.Record(&m)
}
