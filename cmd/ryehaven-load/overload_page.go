// SPDX-License-Identifier: MIT

package main

import (
	"fmt"

	"github.com/ryehaven/ryehaven/report"
)

// writeReport writes an HTML page with a chart of each result, with one series for overload
// control disabled and one for it enabled.
func (c *overloadCommand) writeReport(points []overloadPoint) error {
	rates := c.rates()
	page := report.Page{
		Title: "Offered load",
		Text: fmt.Sprintf("%d servers per service with %d slots, %d levels of calls, service time of an order %v; full load is %.0f orders and %.0f reads per second. "+
			"Orders are in time within %v, reads within twice as much; latencies are measured from the time at which a request was due. "+
			"Callers retry a refused request once, if the retry delay is at most a third of the time until their deadline; seed %d.",
			c.Servers, c.Slots, c.Depth, c.Work, rates[orders], rates[reads], c.Aim, c.Seed),
	}
	for _, figure := range []struct {
		title, unit string
		of          func(p *overloadPoint) float64
	}{
		{"Answered in time", "requests per second", func(p *overloadPoint) float64 { return p.goodput }},
		{"Orders in time", "%", func(p *overloadPoint) float64 { return p.kindPercent(orders, resultInAim) }},
		{"Reads in time", "%", func(p *overloadPoint) float64 { return p.kindPercent(reads, resultInAim) }},
		{"Answered late", "%", func(p *overloadPoint) float64 { return p.totalPercent(resultLate) }},
		{"Refused", "%", func(p *overloadPoint) float64 { return p.totalPercent(resultRefused) }},
		{"Failed", "%", func(p *overloadPoint) float64 { return p.totalPercent(resultFailed) }},
		{"Started and not answered", "% of executions", func(p *overloadPoint) float64 { return 100 * p.wasted }},
	} {
		series := []report.Series{{Name: "decisions off"}, {Name: "decisions on"}}
		for i := range points {
			p := &points[i]
			current := &series[0]
			if p.enabled {
				current = &series[1]
			}
			current.Points = append(current.Points, report.Point{X: p.load, Y: figure.of(p)})
		}
		chart, err := report.Lines(figure.title, "offered load, as a share of the servers' capacity", figure.unit, series...)
		if err != nil {
			return err
		}
		page.Sections = append(page.Sections, report.Section{Heading: figure.title, Charts: []report.Chart{chart}})
	}
	return writePage(c.Report, page)
}
