// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"os"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/report"
)

// policyRun is the run of one policy.
type policyRun struct {
	policy balance.Policy
	*callerOutcome
}

// chartStep is the interval of time that one point of a chart covers.
const chartStep = 250 * time.Millisecond

// writeReport writes the HTML report of all runs.
func (c *platformCommand) writeReport(runs []policyRun) error {
	page := report.Page{
		Title: "Policies on an emulated site",
		Text: fmt.Sprintf("%d servers of one service in %d zones, %v of work, each %d times slower for %.0f%% of the time in slow periods of %v; "+
			"%.0f requests per second for %v, in aim within %v; seed %d, the same arrivals and slow periods for every policy. "+
			"Latencies are measured from the time at which a request was due.",
			c.Servers, c.Zones, c.Work, c.Slow, 100*c.Share, c.Spell, c.Rate, c.Length, c.Aim, c.Seed),
	}
	page.Sections = append(page.Sections, summarySection(runs))
	for _, run := range runs {
		section, err := c.policySection(run)
		if err != nil {
			return eris.Wrapf(err, "report of %s", run.policy)
		}
		page.Sections = append(page.Sections, section)
	}
	return writePage(c.Report, page)
}

func writePage(path string, page report.Page) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create report")
	}
	if err := page.Write(file); err != nil {
		file.Close()
		return err
	}
	return eris.Wrap(file.Close(), "write report")
}

func summarySection(runs []policyRun) report.Section {
	s := report.Section{
		Heading: "Summary",
		Table:   report.Table{Columns: []string{"policy", "sent", "in aim %", "late %", "refused %", "failed %", "in own zone %", "p50 ms", "p99 ms"}},
	}
	for _, run := range runs {
		percent := func(n int) string { return fmt.Sprintf("%.1f", 100*float64(n)/float64(max(run.sent, 1))) }
		sameZone := 0
		for _, call := range run.recording.calls {
			if call.sameZone {
				sameZone++
			}
		}
		s.Table.Rows = append(s.Table.Rows, []string{
			string(run.policy), fmt.Sprint(run.sent), percent(run.inAim), percent(run.late), percent(run.refused), percent(run.failed), percent(sameZone),
			fmt.Sprintf("%.1f", float64(run.latency.ValueAtQuantile(50))/1000),
			fmt.Sprintf("%.1f", float64(run.latency.ValueAtQuantile(99))/1000),
		})
	}
	return s
}

// policySection returns the section with the charts of one run.
func (c *platformCommand) policySection(run policyRun) (report.Section, error) {
	r := &run.recording
	section := report.Section{Heading: string(run.policy)}
	for _, drawChart := range []func() (report.Chart, error){
		func() (report.Chart, error) {
			return report.Lines("Latency of answers", "s", "ms", r.quantiles(c.Length)...)
		},
		func() (report.Chart, error) {
			return report.Stacked("Outcomes", "s", "requests per second", r.outcomes(c.Length)...)
		},
		func() (report.Chart, error) {
			return report.Stacked("Answers by server", "s", "answers per second", r.byServer(c.Length)...)
		},
		func() (report.Chart, error) {
			return report.Lines("Slowness of servers", "s", "% of usual", r.slowness(c.Length)...)
		},
		func() (report.Chart, error) {
			return report.Lines("Retries and hedges", "s", "total of all nodes", r.retriesAndHedges()...)
		},
	} {
		chart, err := drawChart()
		if err != nil {
			return section, err
		}
		section.Charts = append(section.Charts, chart)
	}
	return section, nil
}

// stepCount returns the number of chart steps of a run.
func stepCount(length time.Duration) int { return int((length + chartStep - 1) / chartStep) }

// step returns the index of the chart step in which the request was due.
func (c recordedCall) step(length time.Duration) int {
	return min(max(int(c.due/chartStep), 0), stepCount(length)-1)
}

// quantiles returns series of latency quantiles, one point per step.
func (r *recording) quantiles(length time.Duration) []report.Series {
	latencies := make([][]float64, stepCount(length))
	for _, call := range r.calls {
		if call.result == resultInAim || call.result == resultLate {
			at := call.step(length)
			latencies[at] = append(latencies[at], call.took.Seconds()*1000)
		}
	}
	series := []report.Series{{Name: "p50"}, {Name: "p90"}, {Name: "p99"}}
	for i, values := range latencies {
		if len(values) == 0 {
			continue
		}
		sort.Float64s(values)
		for n, quantile := range []float64{0.5, 0.9, 0.99} {
			value := values[min(int(quantile*float64(len(values))), len(values)-1)]
			series[n].Points = append(series[n].Points, report.Point{X: stepStart(i), Y: value})
		}
	}
	return series
}

func stepStart(step int) float64 { return (time.Duration(step) * chartStep).Seconds() }

// rateSeries returns a series of rates per second from the counts in each step.
func rateSeries(name string, counts []int) report.Series {
	s := report.Series{Name: name}
	for i, n := range counts {
		s.Points = append(s.Points, report.Point{X: stepStart(i), Y: float64(n) / chartStep.Seconds()})
	}
	return s
}

func (r *recording) outcomes(length time.Duration) []report.Series {
	var counts [callResultCount][]int
	for result := range counts {
		counts[result] = make([]int, stepCount(length))
	}
	for _, call := range r.calls {
		counts[call.result][call.step(length)]++
	}
	var series []report.Series
	for result, name := range callResultNames {
		series = append(series, rateSeries(name, counts[result]))
	}
	return series
}

func (r *recording) byServer(length time.Duration) []report.Series {
	counts := map[string][]int{}
	for _, server := range r.serverNames() {
		counts[server] = make([]int, stepCount(length))
	}
	for _, call := range r.calls {
		if perStep := counts[call.server]; perStep != nil {
			perStep[call.step(length)]++
		}
	}
	var series []report.Series
	for _, server := range r.serverNames() {
		series = append(series, rateSeries(server+" in "+r.zones[server], counts[server]))
	}
	return series
}

// serverNames returns the names of all servers, sorted.
func (r *recording) serverNames() []string {
	var names []string
	for name := range r.zones {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (r *recording) slowness(length time.Duration) []report.Series {
	var series []report.Series
	for _, server := range r.serverNames() {
		s := report.Series{Name: server, Steps: true}
		for _, change := range r.slownessChanges {
			if change.server == server {
				s.Points = append(s.Points, report.Point{X: change.at.Seconds(), Y: float64(change.percent)})
			}
		}
		if n := len(s.Points); n > 0 {
			s.Points = append(s.Points, report.Point{X: length.Seconds(), Y: s.Points[n-1].Y})
		}
		series = append(series, s)
	}
	return series
}

func (r *recording) retriesAndHedges() []report.Series {
	series := []report.Series{{Name: "retries"}, {Name: "denied by the budget"}, {Name: "hedges"}}
	for _, c := range r.counters {
		for i, n := range []int64{c.retries, c.denied, c.hedges} {
			series[i].Points = append(series[i].Points, report.Point{X: c.at.Seconds(), Y: float64(n)})
		}
	}
	return series
}
