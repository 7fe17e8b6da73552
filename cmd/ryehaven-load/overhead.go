// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/internal/process"
	"github.com/ryehaven/ryehaven/standin"
)

type overheadCommand struct {
	processFlags
	Callers []int         `default:"1,12,64" help:"Numbers of concurrent callers, each of which sends one request at a time."`
	Length  time.Duration `default:"4s" help:"Length of each run; direct calls and calls through nodes take turns."`
	Rounds  int           `default:"3" help:"Runs of each kind."`
	Work    time.Duration `default:"1ms" help:"The server's service time of a request."`
	Post    bool          `help:"Send requests that are not repeatable."`
}

const overheadSlots = 12

// Run compares calls through an entry and a gate, which run in separate processes, with
// calls directly to the server.
func (c *overheadCommand) Run() error {
	s, stop, err := c.start(process.Config{
		Service:   "termostat",
		Nodes:     2,
		Servers:   1,
		Zones:     []string{"zone"},
		Columns:   map[string]string{"slots": fmt.Sprint(overheadSlots), "queue": "1000", "deadline_ms": "5000"},
		Behaviour: standin.Behaviour{Slots: overheadSlots, ServiceMicros: c.Work.Microseconds()},
		Settings:  "",
	})
	if err != nil {
		return err
	}
	defer stop()
	method := fasthttp.MethodGet
	if c.Post {
		method = fasthttp.MethodPost
	}
	fmt.Printf("%s, server's time %v, %d slots, %d rounds of %v in turn\n\n", method, c.Work, overheadSlots, c.Rounds, c.Length)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	fmt.Fprintln(w, "| callers\t| way\t| calls/s\t| p50 ms\t| p99 ms\t| p99.9 ms\t| entry us/call\t| gate us/call\t| entry allocs/call\t| gate allocs/call\t| entry MB\t| gate MB\t|")
	fmt.Fprintln(w, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, callers := range c.Callers {
		if err := c.compare(w, s, callers, method); err != nil {
			return err
		}
	}
	return w.Flush()
}

// target is an address at which the server is called, with the measurements for it.
type target struct {
	name     string
	address  string
	latency  *hdrhistogram.Histogram
	length   time.Duration
	entryCPU time.Duration
	gateCPU  time.Duration
	// entryAllocations and gateAllocations count over all rounds.
	entryAllocations, gateAllocations float64
}

func (c *overheadCommand) compare(w *tabwriter.Writer, s *process.Site, callers int, method string) error {
	targets := []*target{
		{name: "direct", address: s.Servers[0].Address},
		{name: "through", address: s.Nodes[1].Caller},
	}
	var entry, gate usage
	for range c.Rounds {
		for _, target := range targets {
			before, err := nodeUsages(s)
			if err != nil {
				return err
			}
			began := time.Now()
			latency, err := closedLoop(target.address, method, callers, c.Length)
			if err != nil {
				return err
			}
			after, err := nodeUsages(s)
			if err != nil {
				return err
			}
			target.length += time.Since(began)
			gate, entry = after[0], after[1]
			target.gateCPU += after[0].cpu - before[0].cpu
			target.entryCPU += after[1].cpu - before[1].cpu
			target.gateAllocations += after[0].allocations - before[0].allocations
			target.entryAllocations += after[1].allocations - before[1].allocations
			if target.latency == nil {
				target.latency = latency
			} else {
				target.latency.Merge(latency)
			}
		}
	}
	for _, target := range targets {
		calls := float64(target.latency.TotalCount())
		ms := func(q float64) float64 { return float64(target.latency.ValueAtQuantile(q)) / 1e6 }
		fmt.Fprintf(w, "| %d\t| %s\t| %.0f\t| %.3f\t| %.3f\t| %.3f\t| %.0f\t| %.0f\t| %.0f\t| %.0f\t| %.1f\t| %.1f\t|\n",
			callers, target.name, calls/target.length.Seconds(), ms(50), ms(99), ms(99.9),
			float64(target.entryCPU.Microseconds())/calls, float64(target.gateCPU.Microseconds())/calls,
			target.entryAllocations/calls, target.gateAllocations/calls,
			float64(entry.residentBytes)/1e6, float64(gate.residentBytes)/1e6)
	}
	added := func(q float64) float64 {
		return float64(targets[1].latency.ValueAtQuantile(q)-targets[0].latency.ValueAtQuantile(q)) / 1e6
	}
	fmt.Fprintf(w, "| %d\t| added\t| \t| %.3f\t| %.3f\t| %.3f\t| \t| \t| \t| \t| \t| \t|\n", callers, added(50), added(99), added(99.9))
	return nil
}

// nodeUsages reads the resource usage of every node.
func nodeUsages(s *process.Site) ([]usage, error) {
	all := make([]usage, len(s.Nodes))
	for i, n := range s.Nodes {
		var err error
		if all[i], err = processUsage(n.PID()); err != nil {
			return nil, err
		}
		metrics, err := nodeMetrics(n.Admin)
		if err != nil {
			return nil, err
		}
		all[i].allocations = metrics[allocationsMetric]
	}
	return all, nil
}

// closedLoop sends requests for a time and returns their latencies in nanoseconds. Each
// caller has its own connection and sends the next request once the last one is answered.
func closedLoop(address, method string, callers int, length time.Duration) (*hdrhistogram.Histogram, error) {
	const maxLatencyNanos = int64(10 * time.Second)
	all := hdrhistogram.New(1000, maxLatencyNanos, histogramDigits)
	var mu sync.Mutex
	var lastErr error
	var wait sync.WaitGroup
	end := time.Now().Add(length)
	for range callers {
		wait.Go(func() {
			own := hdrhistogram.New(1000, maxLatencyNanos, histogramDigits)
			err := sendUntil(end, address, method, own)
			mu.Lock()
			defer mu.Unlock()
			all.Merge(own)
			if err != nil {
				lastErr = err
			}
		})
	}
	wait.Wait()
	return all, lastErr
}

const histogramDigits = 3

func sendUntil(end time.Time, address, method string, latency *hdrhistogram.Histogram) error {
	host := &fasthttp.HostClient{Addr: address, MaxConns: 1, MaxIdemponentCallAttempts: 1}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + "/x")
	request.UseHostHeader = true
	request.Header.SetHost("termostat")
	request.Header.SetMethod(method)
	request.Header.Set(header.Deadline, "5000")
	for time.Now().Before(end) {
		began := time.Now()
		if err := host.Do(request, response); err != nil {
			return err
		}
		if response.StatusCode() != fasthttp.StatusOK {
			return eris.Errorf("status %d: %s", response.StatusCode(), response.Body())
		}
		_ = latency.RecordValue(time.Since(began).Nanoseconds()) // Fails only above the maximum, which does not occur.
	}
	return nil
}
