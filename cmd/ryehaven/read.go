// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/ryehaven/ryehaven/node"
	"github.com/ryehaven/ryehaven/query"
	"github.com/ryehaven/ryehaven/settings"
)

type statusCommand struct {
	Nodes []string `arg:"" placeholder:"IP:PORT" help:"Admin addresses of nodes."`
	JSON  bool     `help:"Print JSON."`
}

// Run prints one line per node and one per gate. Nodes that do not answer are
// reported and skipped.
func (c *statusCommand) Run() error {
	var all []query.Status
	failed := 0
	for _, admin := range c.Nodes {
		status, err := query.GetStatus(admin)
		if err != nil {
			fmt.Fprintln(os.Stderr, eris.ToString(err, false))
			failed++
			continue
		}
		all = append(all, status)
	}
	if c.JSON {
		if err := printJSON(all); err != nil {
			return err
		}
	} else {
		printStatus(all)
	}
	if failed > 0 {
		return eris.Errorf("%d of %d nodes did not answer", failed, len(c.Nodes))
	}
	return nil
}

func printStatus(all []query.Status) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tZONE\tSTATE\tGENERATION\tCONFIRMED\tNODES\tUNREACHABLE\tEVACUATED ZONES")
	for _, s := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%s\t%s\n", s.Host, s.Zone, s.State, s.Generation,
			formatConfirmed(s.ConfirmedMillis), s.Nodes, strings.Join(s.Unreachable, ","), strings.Join(s.Evacuated, ","))
	}
	fmt.Fprintln(w, "\nHOST\tSERVER\tIN FLIGHT\tQUEUED\tLIMIT\tSERVICE TIME\tRATE LIMIT\tDRAINING")
	for _, s := range all {
		for _, g := range s.Gates {
			fmt.Fprintf(w, "%s\t%s/%s\t%d\t%d\t%d\t%.2f ms\t%s\t%t\n", s.Host, g.Service, g.Server,
				g.InFlight, g.Queued, g.Limit, float64(g.ServiceMicros)/1000, formatRateLimit(g.RateLimit), g.Draining)
		}
	}
	_ = w.Flush() // Fails only if standard output is closed: there is nowhere to report it.
}

func formatRateLimit(perSecond *float64) string {
	if perSecond == nil {
		return "none"
	}
	return fmt.Sprintf("%g/s", *perSecond)
}

func formatConfirmed(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1f s ago", float64(ms)/1000)
}

type burnCommand struct {
	Node string `arg:"" placeholder:"IP:PORT" help:"Admin address of any node; it collects the counts of the others."`
	JSON bool   `help:"Print JSON."`
}

// Run prints the burn rate of every service's error budget in every window.
func (c *burnCommand) Run() error {
	burn, err := query.GetBurn(c.Node)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(burn)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tOBJECTIVE\tWINDOW\tCALLS\tBAD\tBAD SHARE\tBURN RATE")
	for _, s := range burn.Services {
		for _, window := range s.Windows {
			fmt.Fprintf(w, "%s\t%g%% in %g ms\t%s\t%d\t%d\t%.4f%%\t%.2f\n", s.Service, s.ObjectiveShare*100,
				s.ObjectiveMillis, window.Window, window.Calls, window.Bad, window.BadShare*100, window.Rate)
		}
	}
	_ = w.Flush() // Fails only if standard output is closed: there is nowhere to report it.
	fmt.Printf("\n%d nodes answered\n", burn.Answered)
	if len(burn.Missing) > 0 {
		fmt.Printf("no answer from: %s\n", strings.Join(burn.Missing, ", "))
	}
	return nil
}

type metricsCommand struct{}

// Run prints the table in docs/METRICS.md.
func (c *metricsCommand) Run() error {
	s := settings.Default()
	s.Host, s.Zone, s.Region = "host", "zone", "region"
	s.Listen = settings.Listen{Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	n, err := node.New(s, zap.NewNop(), node.Options{})
	if err != nil {
		return err
	}
	fmt.Println("| name | unit | meaning |")
	fmt.Println("| --- | --- | --- |")
	for _, m := range n.Metrics() {
		fmt.Printf("| `%s` | %s | %s |\n", m.Name, m.Unit, m.Meaning)
	}
	return nil
}

// settingsCommand lists the keys of a settings file.
type settingsCommand struct{}

// Run prints the table in docs/SETTINGS.md.
func (c *settingsCommand) Run() error {
	fmt.Println("| key | required | meaning |")
	fmt.Println("| --- | --- | --- |")
	for _, k := range settings.Keys() {
		required := ""
		if k.Required {
			required = "yes"
		}
		fmt.Printf("| `%s` | %s | %s |\n", k.Name, required, k.Meaning)
	}
	return nil
}
