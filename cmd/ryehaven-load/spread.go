// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/command"
	"github.com/ryehaven/ryehaven/internal/process"
	"github.com/ryehaven/ryehaven/query"
	"github.com/ryehaven/ryehaven/standin"
	"github.com/ryehaven/ryehaven/store/storetest"
	"github.com/ryehaven/ryehaven/table"
)

type spreadCommand struct {
	processFlags
	Nodes    []int         `default:"5,10,20,40" help:"Numbers of nodes."`
	Services []int         `default:"0" help:"Numbers of additional services in the table, of 7 servers each."`
	Edits    int           `default:"30" help:"Number of changes of the table."`
	Every    time.Duration `default:"500ms" help:"Time between two changes."`
	Quiet    time.Duration `default:"10s" help:"Time without changes, over which the idle cost is measured."`
	Zones    int           `default:"5" help:"Number of availability zones."`
}

// serversPerService follows a deployment with 660 servers in 94 services.
const serversPerService = 7

// Run measures each combination of numbers of nodes and services.
func (c *spreadCommand) Run() error {
	fmt.Printf("%d zones, %v quiet, then %d changes, one every %v; cost per node\n\n", c.Zones, c.Quiet, c.Edits, c.Every)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	fmt.Fprintln(w, "| nodes\t| services\t| table KB\t| quiet cpu ms/s\t| quiet sent B/s\t| platform calls/s\t| MB median\t| MB most\t| connections\t| cpu ms/change\t| sent KB/change\t| in force ms p50\t| p99\t| most\t|")
	fmt.Fprintln(w, "|"+strings.Repeat(" ---\t|", 14))
	for _, nodes := range c.Nodes {
		for _, services := range c.Services {
			if err := c.measure(w, nodes, services); err != nil {
				return err
			}
			_ = w.Flush() // Fails only if standard output is closed: there is nowhere to report it.
		}
	}
	return nil
}

// cost is the resource usage of all nodes together since their start.
type cost struct {
	cpu           time.Duration
	controlBytes  float64
	connections   float64
	residentBytes []int64
	platformCalls int64
}

func (c *spreadCommand) measure(w *tabwriter.Writer, nodes, services int) error {
	zones := make([]string, c.Zones)
	for i := range zones {
		zones[i] = fmt.Sprint("zone-", i)
	}
	s, stop, err := c.start(process.Config{
		Service:        "termostat",
		Nodes:          nodes,
		Servers:        3,
		Zones:          zones,
		Columns:        map[string]string{"slots": "12"},
		Behaviour:      standin.Behaviour{Slots: 12},
		FillerServices: services,
		FillerServers:  serversPerService,
	})
	if err != nil {
		return err
	}
	defer stop()
	time.Sleep(3 * time.Second) // Nodes exchange records after they first connect.
	before, err := totalCost(s)
	if err != nil {
		return err
	}
	time.Sleep(c.Quiet)
	quiet, err := totalCost(s)
	if err != nil {
		return err
	}
	began := time.Now()
	times, err := c.applyEdits(s)
	if err != nil {
		return err
	}
	edited := time.Since(began)
	after, err := totalCost(s)
	if err != nil {
		return err
	}
	c.print(w, s, services, before, quiet, after, edited, times)
	return nil
}

// applyEdits applies the changes. It returns, for each change and node, the time from the
// operator's command until the change was in force at the node.
func (c *spreadCommand) applyEdits(s *process.Site) ([]time.Duration, error) {
	sentAt := map[uint64]time.Time{}
	text := s.Table()
	for i := range c.Edits {
		edited := strings.Replace(text, "termostat,*,,,,", fmt.Sprintf("# change %d\ntermostat,*,,,,", i), 1)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		at := time.Now()
		result, err := command.Apply(ctx, s.Client, command.Change{File: "t", Text: []byte(edited), BaseGeneration: table.Generation(i + 1)})
		cancel()
		if err != nil || result.Outcome != command.Accepted {
			return nil, eris.Errorf("change %d: %+v, error %v", i, result, err)
		}
		sentAt[uint64(result.Generation)] = at
		time.Sleep(time.Until(at.Add(c.Every)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := s.WaitGeneration(ctx, uint64(c.Edits+1), s.Nodes); err != nil {
		return nil, err
	}
	return inForceDelays(s, sentAt)
}

// inForceLine is a node's log line about a table that came into force.
type inForceLine struct {
	At         time.Time `json:"ts"`
	Message    string    `json:"msg"`
	Generation uint64    `json:"generation"`
}

// inForceDelays reads from each node's log when each generation came into force, and
// returns the delays since sentAt, sorted. A generation that a node skipped counts as in
// force when the next newer one is.
func inForceDelays(s *process.Site, sentAt map[uint64]time.Time) ([]time.Duration, error) {
	var times []time.Duration
	for _, n := range s.Nodes {
		done := map[uint64]bool{}
		last := uint64(0)
		for _, line := range n.Log() {
			var l inForceLine
			if json.Unmarshal([]byte(line), &l) != nil || l.Message != "table in force" {
				continue
			}
			if l.Generation <= last {
				return nil, eris.Errorf("%s went from generation %d to %d", n.Host, last, l.Generation)
			}
			for g := last + 1; g <= l.Generation; g++ {
				if at, ok := sentAt[g]; ok && !done[g] {
					done[g] = true
					times = append(times, l.At.Sub(at))
				}
			}
			last = l.Generation
		}
		if len(done) != len(sentAt) {
			return nil, eris.Errorf("%s had %d of %d changes in force", n.Host, len(done), len(sentAt))
		}
	}
	slices.Sort(times)
	return times, nil
}

func totalCost(s *process.Site) (cost, error) {
	var sum cost
	for _, n := range s.Nodes {
		u, err := processUsage(n.PID())
		if err != nil {
			return sum, err
		}
		sum.cpu += u.cpu
		sum.residentBytes = append(sum.residentBytes, u.residentBytes)
		metrics, err := nodeMetrics(n.Admin)
		if err != nil {
			return sum, err
		}
		sum.controlBytes += metrics["peer_control_sent"]
		sum.connections += metrics["peer_dialed"]
	}
	slices.Sort(sum.residentBytes)
	_, body, err := fasthttp.GetTimeout(nil, "http://"+s.PlatformAddress+storetest.CallsPath, 5*time.Second)
	if err != nil {
		return sum, err
	}
	var calls storetest.Calls
	if err := json.Unmarshal(body, &calls); err != nil {
		return sum, err
	}
	sum.platformCalls = calls.Reads + calls.Watches + calls.Writes
	return sum, nil
}

// nodeMetrics reads a node's metrics.
func nodeMetrics(admin string) (map[string]float64, error) {
	_, body, err := fasthttp.GetTimeout(nil, "http://"+admin+query.MetricsPath, 5*time.Second)
	if err != nil {
		return nil, err
	}
	var all struct {
		Ryehaven map[string]float64 `json:"ryehaven"`
		Memory   struct {
			Mallocs float64
		} `json:"memstats"`
	}
	if err := json.Unmarshal(body, &all); err != nil {
		return nil, err
	}
	all.Ryehaven[allocationsMetric] = all.Memory.Mallocs
	return all.Ryehaven, nil
}

// allocationsMetric is the name under which nodeMetrics returns the process's number of
// heap allocations.
const allocationsMetric = "allocations"

func (c *spreadCommand) print(w *tabwriter.Writer, s *process.Site, services int, before, quiet, after cost, edited time.Duration, times []time.Duration) {
	nodes := float64(len(s.Nodes))
	seconds := c.Quiet.Seconds()
	quietCPU := float64((quiet.cpu - before.cpu).Milliseconds()) / nodes / seconds
	quietSent := (quiet.controlBytes - before.controlBytes) / nodes / seconds
	// The cost of a change is what the time with changes took in excess of a quiet time of
	// the same length.
	perChange := func(total, quietPerSecond float64) float64 {
		return (total/nodes - quietPerSecond*edited.Seconds()) / float64(c.Edits)
	}
	quantile := func(q float64) int64 { return times[int(q*float64(len(times)-1))].Milliseconds() }
	fmt.Fprintf(w, "| %.0f\t| %d\t| %.0f\t| %.2f\t| %.0f\t| %.2f\t| %.1f\t| %.1f\t| %.1f\t| %.2f\t| %.2f\t| %d\t| %d\t| %d\t|\n",
		nodes, services, float64(len(s.Table()))/1000, quietCPU, quietSent, float64(quiet.platformCalls-before.platformCalls)/seconds,
		float64(after.residentBytes[len(after.residentBytes)/2])/1e6, float64(after.residentBytes[len(after.residentBytes)-1])/1e6, after.connections/nodes,
		perChange(float64((after.cpu-quiet.cpu).Milliseconds()), quietCPU),
		perChange(after.controlBytes-quiet.controlBytes, quietSent)/1000,
		quantile(0.5), quantile(0.99), quantile(1))
}
