// SPDX-License-Identifier: MIT

package main

import (
	"fmt"

	"github.com/ryehaven/ryehaven/report"
)

// writeReport writes a page with a chart for each figure, with the decisions off and on
// side by side.
func (c *overloadCommand) writeReport(points []overloadPoint) error {
	rates := c.rates()
	page := report.Page{
		Title: "Offered load",
		Text: fmt.Sprintf("%d servers a service with %d slots, calls %d deep, %v of own work; full load is %.0f orders and %.0f reads a second. "+
			"Orders are in time within %v, reads within twice as much; times count from the moment at which a request was due. "+
			"Callers that are refused come back once, if they are told a time within a third of what they have left; seed %d.",
			c.Servers, c.Slots, c.Depth, c.Work, rates[orders], rates[reads], c.Aim, c.Seed),
	}
	for _, figure := range []struct {
		title, unit string
		of          func(p *overloadPoint) float64
	}{
		{"Answered in time", "requests a second", func(p *overloadPoint) float64 { return p.goodput }},
		{"Orders in time", "%", func(p *overloadPoint) float64 { return p.percent(orders, inAimEnd) }},
		{"Reads in time", "%", func(p *overloadPoint) float64 { return p.percent(reads, inAimEnd) }},
		{"Answered late", "%", func(p *overloadPoint) float64 { return p.share(lateEnd) }},
		{"Refused", "%", func(p *overloadPoint) float64 { return p.share(refusedEnd) }},
		{"Failed", "%", func(p *overloadPoint) float64 { return p.share(failedEnd) }},
		{"Begun and not answered", "% of runs", func(p *overloadPoint) float64 { return 100 * p.wasted }},
	} {
		series := []report.Series{{Name: "decisions off"}, {Name: "decisions on"}}
		for i := range points {
			p := &points[i]
			at := &series[0]
			if p.on {
				at = &series[1]
			}
			at.Points = append(at.Points, report.Point{X: p.load, Y: figure.of(p)})
		}
		chart, err := report.Lines(figure.title, "offered load, in shares of what servers can do", figure.unit, series...)
		if err != nil {
			return err
		}
		page.Sections = append(page.Sections, report.Section{Heading: figure.title, Charts: []report.Chart{chart}})
	}
	return writePage(c.Report, page)
}
