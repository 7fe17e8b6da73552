// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/platform/emulator"
	"github.com/ryehaven/ryehaven/settings"
)

// platformCommand compares balancing policies on an emulated site of the users' platform
// whose servers have slow periods.
type platformCommand struct {
	Servers int           `default:"4" help:"Number of servers of the service."`
	Zones   int           `default:"3" help:"Number of zones over which the servers are spread."`
	Work    time.Duration `default:"40ms" help:"Service time of a request at usual speed."`
	Aim     time.Duration `default:"120ms" help:"Latency objective: an answer within this time is in time."`
	Rate    float64       `default:"120" help:"Requests per second."`
	Length  time.Duration `default:"10s" help:"Length of each run."`
	Slow    int           `default:"4" help:"How many times slower a server is in a slow period."`
	Share   float64       `default:"0.25" help:"Share of the time for which a server is slow."`
	Spell   time.Duration `default:"300ms" help:"Mean time after which a server's speed is drawn again."`
	Seed    uint64        `default:"1" help:"Seed of arrivals and slow periods."`
	Report  string        `help:"File to which an HTML report of the runs is written." type:"path"`
}

// callerOutcome holds the results that callers saw in one run. runs is the number of
// executions at the servers.
type callerOutcome struct {
	mu                    sync.Mutex
	sent, inAim, late     int
	refused, failed, runs int
	latency               *hdrhistogram.Histogram
	recording             recording
}

// Run runs every policy and prints a row for each.
func (c *platformCommand) Run() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "policy\tsent\tin aim %\tlate %\trefused %\tfailed %\truns a request\tp50 ms\tp99 ms")
	var runs []policyRun
	for _, policy := range []balance.Policy{balance.Random, balance.LeastOutstanding, balance.TwoChoices, balance.Expected, allKnowing} {
		o, err := c.runPolicy(policy)
		if err != nil {
			return err
		}
		runs = append(runs, policyRun{policy, o})
		percent := func(n int) float64 { return 100 * float64(n) / float64(max(o.sent, 1)) }
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.1f\t%.1f\n", policy, o.sent, percent(o.inAim), percent(o.late),
			percent(o.refused), percent(o.failed), float64(o.runs)/float64(max(o.sent, 1)),
			float64(o.latency.ValueAtQuantile(50))/1000, float64(o.latency.ValueAtQuantile(99))/1000)
	}
	if err := w.Flush(); err != nil || c.Report == "" {
		return err
	}
	return c.writeReport(runs)
}

const (
	platformService = "a"
	platformPath    = "/read/"
	// settleTimeout bounds the wait until every node knows every server.
	settleTimeout = 10 * time.Second
)

// allKnowing is a scheduler that knows the actual speed and load of every server at the
// time of each request, and calls it directly. No policy of nodes can be better, except by
// sending requests twice.
const allKnowing balance.Policy = "all-knowing"

// sendToFastest sends a call to the server that would answer it first.
func sendToFastest(site *emulator.Site, call emulator.Call) emulator.Reply {
	var best *emulator.Host
	for _, h := range site.Hosts {
		if best == nil || h.Server.CurrentServiceTime() < best.Server.CurrentServiceTime() {
			best = h
		}
	}
	return call.Send(best.Server.Address())
}

// runPolicy runs the load with one policy.
func (c *platformCommand) runPolicy(policy balance.Policy) (*callerOutcome, error) {
	site, err := emulator.StartSite(emulator.SiteOptions{
		Services: []emulator.ServiceOptions{{Name: platformService, Servers: c.Servers, ServiceTime: c.Work}},
		Zones:    c.Zones,
		Configuration: emulator.Configuration(1, []string{platformService}, []emulator.Route{{
			Prefix: platformPath, Repeatable: true, Service: platformService, Attempts: 2, Priority: 1,
			TimeoutMs: int(4 * c.Aim.Milliseconds()), AimMs: int(c.Aim.Milliseconds()),
		}}),
		Adjust: func(s *settings.Settings) {
			if policy != allKnowing {
				s.Experiment.Balance.Policy = policy
			}
		},
	})
	if err != nil {
		return nil, err
	}
	defer site.Close()
	until := time.Now().Add(settleTimeout)
	for _, h := range site.Hosts {
		for !h.Node.Ready() || h.KnownServers() < c.Servers {
			if time.Now().After(until) {
				return nil, eris.New("timed out waiting for every node to know every server")
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	o := &callerOutcome{latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
	o.recording.start(site)
	var background sync.WaitGroup
	for i, h := range site.Hosts {
		background.Go(func() { c.varySpeed(ctx, &o.recording, h.Server, rand.New(rand.NewPCG(c.Seed, uint64(i)))) })
	}
	if c.Report != "" {
		background.Go(func() { o.recording.recordCounters(ctx, site) })
	}
	c.sendRequests(o, site, policy)
	cancel()
	background.Wait()
	for _, h := range site.Hosts {
		o.runs += len(h.Server.Arrivals())
	}
	return o, nil
}

// varySpeed sets a server to slow or usual speed at random, until ctx ends.
func (c *platformCommand) varySpeed(ctx context.Context, r *recording, server *emulator.Server, rng *rand.Rand) {
	const usualPercent = 100
	for {
		percent := usualPercent
		if rng.Float64() < c.Share {
			percent = usualPercent * c.Slow
		}
		server.SetSlowness(percent)
		r.recordSlowness(server.ID, percent)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(c.Spell))):
		}
	}
}

// sendRequests sends requests at random times, whether or not earlier ones have ended.
func (c *platformCommand) sendRequests(o *callerOutcome, site *emulator.Site, policy balance.Policy) {
	rng := rand.New(rand.NewPCG(c.Seed, 0))
	var wait sync.WaitGroup
	began := time.Now()
	at := time.Duration(0)
	for number := 0; ; number++ {
		at += time.Duration(rng.ExpFloat64() / c.Rate * float64(time.Second))
		if at >= c.Length {
			break
		}
		host := site.Hosts[rng.IntN(len(site.Hosts))]
		time.Sleep(time.Until(began.Add(at)))
		due := began.Add(at)
		wait.Go(func() {
			call := emulator.Call{
				Method: "GET", Path: platformPath + fmt.Sprint(number), ID: fmt.Sprintf("%016x", number),
				DeadlineMs: int(4 * c.Aim.Milliseconds()),
			}
			var reply emulator.Reply
			if policy == allKnowing {
				reply = sendToFastest(site, call)
			} else {
				reply = call.Send(host.CallerAddress())
			}
			o.record(host, reply, due, c.Aim)
		})
	}
	wait.Wait()
}

// record records the result of a request that was due at a time.
func (o *callerOutcome) record(from *emulator.Host, reply emulator.Reply, due time.Time, aim time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	took := time.Since(due)
	o.sent++
	result := resultFailed
	switch {
	case reply.Err == nil && reply.Status == 200 && took <= aim:
		o.inAim++
		result = resultInAim
	case reply.Err == nil && reply.Status == 200:
		o.late++
		result = resultLate
	case reply.Err == nil && reply.Status == 503:
		o.refused++
		result = resultRefused
	default:
		o.failed++
	}
	if result == resultInAim || result == resultLate {
		_ = o.latency.RecordValue(took.Microseconds()) // Within the histogram's range.
	}
	o.recording.recordCall(from, reply.Server(), due, took, result)
}
