// SPDX-License-Identifier: MIT

package gate

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/measure"
)

// ReportPath is the path that the gate asks for a server's report.
const ReportPath = "/ryehaven/report"

// maxReport bounds the size of a report in bytes.
const maxReport = 4 << 10

// Measure starts to ask the server for its report if the row's budget allows
// a call now and the last one has ended. The answer is awaited up to limit.
func (g *Gate) Measure(now time.Time, limit time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.measuring || !g.bucket.Take(now) {
		return
	}
	g.measuring = true
	service := g.row.Service
	go g.measure(service, limit)
}

func (g *Gate) measure(service string, limit time.Duration) {
	defer func() {
		g.mu.Lock()
		g.measuring = false
		g.mu.Unlock()
	}()
	g.Counters.Measured.Add(1)
	report, ok := g.askReport(service, limit)
	if !ok {
		g.Counters.MeasureFailed.Add(1)
		return
	}
	g.SetDrain(DrainServer, report.Draining, time.Now())
}

func (g *Gate) askReport(service string, limit time.Duration) (measure.Report, bool) {
	exchange, err := g.server.Open(false)
	if err != nil {
		return measure.Report{}, false
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI(ReportPath)
	request.Header.SetHost(service)
	if err := exchange.Send(request, time.Now().Add(limit)); err != nil {
		exchange.Finish(false)
		return measure.Report{}, false
	}
	buf := make([]byte, maxReport)
	n, err := readFirst(exchange.Body(), buf)
	whole := err != nil && n < maxReport
	exchange.Finish(whole)
	if !whole || exchange.Response.StatusCode() != fasthttp.StatusOK {
		return measure.Report{}, false
	}
	return measure.Parse(buf[:n])
}
