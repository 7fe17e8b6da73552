// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"text/tabwriter"
	"time"

	"github.com/ryehaven/ryehaven/client"
	"github.com/ryehaven/ryehaven/internal/site"
	"github.com/ryehaven/ryehaven/load"
	"github.com/ryehaven/ryehaven/settings"
	"github.com/ryehaven/ryehaven/standin"
)

type chainCommand struct {
	Depth  int           `default:"9" help:"Number of services in the chain."`
	Load   float64       `default:"1.5" help:"Arrival rate as a share of the bottom service's capacity."`
	Where  string        `default:"bottom" enum:"bottom,all" help:"Which services are overloaded: the bottom one, or all."`
	Length time.Duration `default:"6s" help:"Length of the run."`
	Seed   uint64        `default:"1" help:"Seed of the arrivals."`
}

const (
	chainServers = 3
	chainSlots   = 2
	chainTimeout = time.Second
	chainWork    = 4 * time.Millisecond
	// upperSlotsFactor is how many times as many slots as the bottom service the services
	// above it have if only the bottom is overloaded. They need more, since a request holds
	// its slot while it waits for the next service.
	upperSlotsFactor = 40
)

// Run sends calls to the top service and counts the requests that arrive at each level.
func (c *chainCommand) Run() error {
	config := site.Config{
		Region: "region",
		Zones:  []string{"zone-a", "zone-b", "zone-c"},
		Adjust: func(s *settings.Settings) { s.Limits.IdleTimeout = time.Second },
	}
	for level := 1; level <= c.Depth; level++ {
		config.Services = append(config.Services, site.Service{
			Name:    levelName(level),
			Servers: chainServers,
			Columns: map[string]string{"slots": fmt.Sprint(c.slots(level)), "queue": fmt.Sprint(c.slots(level))},
			Behaviour: func(int) standin.Behaviour {
				return standin.Behaviour{Slots: c.slots(level), ServiceMicros: c.work(level).Microseconds()}
			},
		})
	}
	s, err := site.Start(config)
	if err != nil {
		return err
	}
	defer s.Stop()
	c.linkServices(s)
	capacity := chainServers * chainSlots / chainWork.Seconds()
	result := load.Run(load.Plan{
		Seed:    c.Seed,
		Rate:    c.Load * capacity,
		Length:  c.Length,
		Callers: []string{s.Servers[0].Node.CallerAddress(), s.Servers[1].Node.CallerAddress()},
		Request: func(int, *rand.Rand) client.Request {
			return client.Request{Service: levelName(1), Method: "GET", Path: "/x", Timeout: chainTimeout}
		},
	})
	c.print(s, result, capacity)
	return nil
}

func levelName(level int) string { return fmt.Sprintf("level%d", level) }

func (c *chainCommand) slots(level int) int {
	if level == c.Depth || c.Where == "all" {
		return chainSlots
	}
	return chainSlots * upperSlotsFactor
}

func (c *chainCommand) work(level int) time.Duration {
	if level == c.Depth || c.Where == "all" {
		return chainWork
	}
	return 0
}

// linkServices makes each server call the next service through the node on its own host.
func (c *chainCommand) linkServices(s *site.Site) {
	for level := 1; level < c.Depth; level++ {
		for _, server := range s.ServersOf(levelName(level)) {
			server.Standin.Set(standin.Behaviour{
				Slots:         c.slots(level),
				ServiceMicros: c.work(level).Microseconds(),
				NextEntry:     server.Node.CallerAddress(),
				NextService:   levelName(level + 1),
			})
		}
	}
}

func (c *chainCommand) print(s *site.Site, result *load.Result, capacity float64) {
	fmt.Printf("depth %d, %s overloaded, seed %d: %d calls at the top, %.1f times the bottom's capacity of %.0f a second\n",
		c.Depth, c.Where, c.Seed, result.Sent, c.Load, capacity)
	fmt.Printf("%d good, %d not run, %d failed with an answer, %d unknown\n\n", result.Good, result.NotRun, result.BadAnswer, result.Unknown)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	fmt.Fprintln(w, "| level\t| received by gates\t| per call at the top\t| run\t| per call at the top\t|")
	fmt.Fprintln(w, "| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for level := 1; level <= c.Depth; level++ {
		sums := sumMetrics(s.ServersOf(levelName(level)))
		received, run := sums["gate_received"], sums["gate_dispatched"]
		fmt.Fprintf(w, "| %d\t| %.0f\t| %.3f\t| %.0f\t| %.3f\t|\n", level, received, received/float64(result.Sent), run, run/float64(result.Sent))
	}
	_ = w.Flush() // Fails only if standard output is closed: there is nowhere to report it.
}
