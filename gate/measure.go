// SPDX-License-Identifier: MIT

package gate

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/measure"
	"github.com/ryehaven/ryehaven/table"
)

// ReportPath is the path that the gate asks for a server's report unless its
// row names another.
const ReportPath = table.DefaultHealthPath

// maxReport bounds the size of a report in bytes.
const maxReport = 4 << 10

// Measure starts to ask the server for its report if the row's budget allows
// a call now and the last one has ended. The answer is awaited up to limit.
func (g *Gate) Measure(now time.Time, limit time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.measuring || !g.wantsMeasure(now) || !g.bucket.Take(now) {
		return
	}
	g.measuring = true
	row := g.row
	go g.measure(row, limit)
}

// demandFor is how long after a request there is demand for measuring.
const demandFor = time.Second

// wantsMeasure reports whether a measuring call would tell anything that an
// answer has not. It is called with the lock held.
func (g *Gate) wantsMeasure(now time.Time) bool {
	after := g.settings.MeasureAfter
	if after == 0 {
		return true
	}
	return g.drain == 0 && now.Sub(g.asked) < demandFor && now.Sub(g.toldAt) >= after
}

// wrongServer takes note that another server answers at the address.
func (g *Gate) wrongServer() {
	if g.settings.WrongServer != nil {
		g.settings.WrongServer(g.name)
	}
}

func (g *Gate) measure(row table.Server, limit time.Duration) {
	defer func() {
		g.mu.Lock()
		g.measuring = false
		g.mu.Unlock()
	}()
	g.Counters.Measured.Add(1)
	report, ok := g.askReport(row, limit)
	if !ok {
		g.Counters.MeasureFailed.Add(1)
		return
	}
	if !g.settings.Dialect.Strict() {
		g.SetDrain(DrainServer, report.Draining, time.Now())
	}
}

func (g *Gate) askReport(row table.Server, limit time.Duration) (measure.Report, bool) {
	exchange, err := g.server.Open(false)
	if err != nil {
		return measure.Report{}, false
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI(row.HealthPath)
	request.Header.SetHost(row.Service)
	if err := exchange.Send(request, time.Now().Add(limit)); err != nil {
		exchange.Finish(false)
		return measure.Report{}, false
	}
	body, err := readFirst(exchange.Body(), maxReport)
	whole := err == io.EOF
	g.learn(&exchange.Response.Header)
	dialect := &g.settings.Dialect
	if id := exchange.Response.Header.Peek(dialect.ServerID); dialect.Strict() && len(id) > 0 && string(id) != row.Name {
		g.wrongServer()
	}
	exchange.Finish(whole)
	if !whole || exchange.Response.StatusCode() != fasthttp.StatusOK {
		return measure.Report{}, false
	}
	if dialect.Strict() {
		return measure.Report{}, true // The header fields have told everything.
	}
	return measure.Parse(body)
}
