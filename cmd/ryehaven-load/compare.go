// SPDX-License-Identifier: MIT

package main

import (
	"encoding/csv"
	"fmt"
	"os"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/settings"
)

// trialFlags are the flags that select what is run.
type trialFlags struct {
	Deployment  string        `default:"carpati" enum:"carpati,cascade" help:"Deployment that the site follows: carpati or cascade."`
	Scenarios   []string      `help:"Scenarios to run; all by default."`
	Length      time.Duration `default:"5s" help:"Length of each run, including one second of warm-up."`
	Rounds      int           `default:"1" help:"Runs per row, with the variants taking turns; the run with the median p99 is printed."`
	Exponential bool          `help:"Draw each request's service time from an exponential distribution."`
	Seed        uint64        `default:"1" help:"Seed of the arrivals."`
	CSV         string        `help:"File to which the rows are written as CSV."`
}

// variant is a configuration that is run in each scenario; its result is one row.
type variant struct {
	name   string
	adjust func(*settings.Experiment)
	// queue is the length of each gate's queue; 0 means as many as slots.
	queue int
}

// row is one row of the printed table.
type row struct {
	scenario, variant string
	outcome
}

func (f trialFlags) chosenScenarios() ([]scenario, error) {
	if len(f.Scenarios) == 0 {
		return scenarios, nil
	}
	var found []scenario
	for _, name := range f.Scenarios {
		i := slices.IndexFunc(scenarios, func(s scenario) bool { return s.name == name })
		if i < 0 {
			return nil, eris.Errorf("no scenario %q", name)
		}
		found = append(found, scenarios[i])
	}
	return found, nil
}

// run runs every variant in every scenario and prints the rows. The variants take turns,
// so that a change of the machine's speed affects all of them.
func (f trialFlags) run(variants []variant) error {
	chosen, err := f.chosenScenarios()
	if err != nil {
		return err
	}
	fmt.Printf("deployment %s, seed %d, %v a run, %d rounds, median of p99\n\n", f.Deployment, f.Seed, f.Length, f.Rounds)
	capacity, err := directCapacity(deployments[f.Deployment], f.Exponential)
	if err != nil {
		return err
	}
	fmt.Printf("capacity, measured with as many direct callers as slots: %.0f a second\n\n", capacity)
	var rows []row
	for _, s := range chosen {
		rounds := make([][]row, len(variants))
		for round := range f.Rounds {
			for i, v := range variants {
				t := trial{
					deployment:  deployments[f.Deployment],
					scenario:    s,
					adjust:      v.adjust,
					seed:        f.Seed + uint64(round),
					length:      f.Length,
					exponential: f.Exponential,
					queue:       v.queue,
				}
				o, err := t.run()
				if err != nil {
					return err
				}
				rounds[i] = append(rounds[i], row{s.name, v.name, o})
			}
		}
		for _, r := range rounds {
			rows = append(rows, medianRowByP99(r))
		}
		printRows(rows[len(rows)-len(variants):])
	}
	return f.write(rows)
}

func medianRowByP99(rows []row) row {
	slices.SortFunc(rows, func(a, b row) int {
		return int(a.Latency.ValueAtQuantile(99) - b.Latency.ValueAtQuantile(99))
	})
	return rows[len(rows)/2]
}

var columnNames = []string{"scenario", "variant", "p50 ms", "p99 ms", "p99.9 ms", "good/s", "sent/s", "failed %",
	"not run", "unknown", "bad answer", "attempts/call", "measured/s", "control B/s"}

func (r row) cells() []string {
	format := func(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }
	return []string{
		r.scenario, r.variant,
		format(r.Quantile(50), 2), format(r.Quantile(99), 2), format(r.Quantile(99.9), 2),
		format(r.Goodput(), 0), format(float64(r.Sent)/r.Length.Seconds(), 0),
		format(100*float64(r.Failures())/float64(max(r.Sent, 1)), 3),
		fmt.Sprint(r.NotRun), fmt.Sprint(r.Unknown + r.Skipped), fmt.Sprint(r.BadAnswer),
		format(r.AttemptsPerCall, 3), format(r.ProbesPerSecond, 2), format(r.ControlBytesPerSecond, 0),
	}
}

// printRows prints the rows of one scenario as a Markdown table.
func printRows(rows []row) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	printLine := func(cells []string) {
		for _, cell := range cells {
			fmt.Fprintf(w, "| %s\t", cell)
		}
		fmt.Fprintln(w, "|")
	}
	printLine(columnNames)
	separator := make([]string, len(columnNames))
	for i := range separator {
		separator[i] = "---"
	}
	printLine(separator)
	for _, r := range rows {
		printLine(r.cells())
	}
	_ = w.Flush() // Fails only if standard output is closed: there is nowhere to report it.
}

func (f trialFlags) write(rows []row) error {
	if f.CSV == "" {
		return nil
	}
	file, err := os.Create(f.CSV)
	if err != nil {
		return err
	}
	w := csv.NewWriter(file)
	_ = w.Write(columnNames) // Error returns the errors of all writes.
	for _, r := range rows {
		_ = w.Write(r.cells())
	}
	w.Flush()
	if err := w.Error(); err != nil {
		return err
	}
	return file.Close()
}

type compareCommand struct {
	trialFlags
	Variants []string `help:"Variants to compare, by their names in the printed table; all by default."`
}

// plainProxyQueue is a queue length that is never reached, so that the gates of a plain
// proxy refuse nothing.
const plainProxyQueue = 10_000

// plainProxy makes nodes behave like ordinary proxies, which choose a server and neither
// limit, refuse nor retry requests.
func plainProxy(policy balance.Policy) variant {
	return variant{
		name: "plain " + string(policy),
		adjust: func(e *settings.Experiment) {
			e.Balance.Policy = policy
			e.NoRetries, e.NoHedges, e.NoDeadlineBound = true, true, true
		},
		queue: plainProxyQueue,
	}
}

// comparisons returns the default configuration, the other policies with the rest at its
// defaults, and plain proxies.
func comparisons() []variant {
	var variants []variant
	for _, policy := range balance.Policies() {
		variants = append(variants, variant{
			name: string(policy),
			adjust: func(e *settings.Experiment) {
				e.Balance.Policy = policy
				e.NoHedges = policy != balance.Expected
			},
		})
	}
	return append(variants, plainProxy(balance.TwoChoices), plainProxy(balance.LeastOutstanding), plainProxy(balance.RoundRobin))
}

// Run compares policies.
func (c *compareCommand) Run() error { return c.run(selectVariants(comparisons(), c.Variants)) }

// selectVariants returns the variants with the given names; all if there are no names.
func selectVariants(variants []variant, names []string) []variant {
	if len(names) == 0 {
		return variants
	}
	var chosen []variant
	for _, v := range variants {
		if slices.Contains(names, v.name) {
			chosen = append(chosen, v)
		}
	}
	return chosen
}

type ablateCommand struct {
	trialFlags
	Parts []string `help:"Parts to disable, by their names in the printed table; all by default."`
}

var ablations = []variant{
	{name: "whole", adjust: func(*settings.Experiment) {}},
	{name: "no reports", adjust: func(e *settings.Experiment) { e.Balance.NoReports = true }},
	{name: "no silence", adjust: func(e *settings.Experiment) { e.Balance.IgnoreUnanswered = true }},
	{name: "no notices", adjust: func(e *settings.Experiment) { e.Balance.NoNotices = true }},
	{name: "no hedges", adjust: func(e *settings.Experiment) { e.NoHedges = true }},
	{name: "no ejection", adjust: func(e *settings.Experiment) { e.Balance.NoEjection = true }},
	{name: "draw 3", adjust: func(e *settings.Experiment) { e.Balance.Choices = 3 }},
	{name: "look at all", adjust: func(e *settings.Experiment) { e.Balance.Choices = 1000 }},
	{name: "no retries", adjust: func(e *settings.Experiment) { e.NoRetries = true }},
	{name: "adaptive limit", adjust: func(e *settings.Experiment) { e.AdaptiveLimit = true }},
	{name: "no deadline bound", adjust: func(e *settings.Experiment) { e.NoDeadlineBound = true }},
}

// Run disables one part of the decisions at a time.
func (c *ablateCommand) Run() error { return c.run(selectVariants(ablations, c.Parts)) }
