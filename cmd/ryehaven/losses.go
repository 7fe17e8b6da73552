// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/explain"
	"github.com/ryehaven/ryehaven/report"
)

type lossesCommand struct {
	Files []string      `arg:"" type:"existingfile" help:"Log files of nodes, in any order; shares are exact only if log.requests was 1."`
	Every time.Duration `default:"2s" help:"Length of the intervals that are summarized separately."`
	JSON  bool          `help:"Print JSON."`
	Page  string        `type:"path" help:"Also write an HTML page to this file."`
}

// Run summarizes which requests were not answered with success within their
// route's aim, and why.
func (c *lossesCommand) Run() error {
	if c.Every <= 0 {
		return eris.Errorf("--every %v: must be above 0", c.Every)
	}
	log := explain.NewLog("")
	for _, name := range c.Files {
		if err := readLog(log, name); err != nil {
			return err
		}
	}
	if log.Skipped > 0 {
		fmt.Fprintf(os.Stderr, "%d lines could not be read\n", log.Skipped)
	}
	summary := log.Summarize(c.Every)
	if len(summary.Intervals) == 0 {
		return eris.New("these logs have no line about a request; see the setting log.requests")
	}
	if c.Page != "" {
		if err := c.writePage(summary); err != nil {
			return err
		}
	}
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(summary)
	}
	return explain.WriteSummary(os.Stdout, summary)
}

func (c *lossesCommand) writePage(s explain.Summary) error {
	f, err := os.Create(c.Page)
	if err != nil {
		return eris.Wrap(err, "create page")
	}
	defer f.Close() // Only errors of writing are reported.
	return eris.Wrap(c.reportPage(s).Write(f), "write page")
}

func (c *lossesCommand) reportPage(s explain.Summary) report.Page {
	return report.Page{
		Title: "Requests without a successful answer in time",
		Text:  fmt.Sprintf("From %d logs, in intervals of %v. Only a sample of the successful requests is logged, unless log.requests is 1.", len(c.Files), c.Every),
		Sections: []report.Section{
			{Heading: "By route and reason", Table: routesTable(s)},
			{Heading: "By route and time", Table: intervalsTable(s)},
		},
	}
}

func routesTable(s explain.Summary) report.Table {
	t := report.Table{Columns: []string{"route", "loss", "requests", "of", "example"}}
	for _, cell := range s.LossesByRoute() {
		requests, _ := s.Requests(cell.Route)
		t.Rows = append(t.Rows, []string{cell.Route, string(cell.Loss), fmt.Sprint(cell.Count), fmt.Sprint(requests), cell.Example})
	}
	return t
}

func intervalsTable(s explain.Summary) report.Table {
	t := report.Table{Columns: []string{"route", "from", "requests", "in aim", "most lost by"}}
	for _, interval := range s.Intervals {
		t.Rows = append(t.Rows, []string{interval.Route, interval.From.Format("15:04:05.0"), fmt.Sprint(interval.Requests), fmt.Sprint(interval.Good), s.MainLoss(interval)})
	}
	return t
}
