// SPDX-License-Identifier: MIT

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/ryehaven/ryehaven/client"
	"github.com/ryehaven/ryehaven/internal/process"
	"github.com/ryehaven/ryehaven/standin"
)

type recoverCommand struct {
	processFlags
	Rate   float64 `default:"1500" help:"Requests per second, half of them not repeatable."`
	Rounds int     `default:"3" help:"Number of runs of each fault."`
}

// fault is a fault of a process, with the functions that inject and undo it.
type fault struct {
	name   string
	inject func(s *process.Site) error
	undo   func(s *process.Site) error
}

var faults = []fault{
	{"gate killed", func(s *process.Site) error { return s.Nodes[0].Signal(syscall.SIGKILL) },
		func(s *process.Site) error { s.Nodes[0].Wait(); return s.StartNode(s.Nodes[0]) }},
	{"server killed", func(s *process.Site) error { return s.Servers[0].Signal(syscall.SIGKILL) },
		func(s *process.Site) error { s.Servers[0].Wait(); return s.StartServer(s.Servers[0]) }},
	{"gate frozen", func(s *process.Site) error { return s.Nodes[0].Signal(syscall.SIGSTOP) },
		func(s *process.Site) error { return s.Nodes[0].Signal(syscall.SIGCONT) }},
	{"server frozen", func(s *process.Site) error { return s.Servers[0].Signal(syscall.SIGSTOP) },
		func(s *process.Site) error { return s.Servers[0].Signal(syscall.SIGCONT) }},
}

const (
	recoverBefore  = 2 * time.Second
	recoverDuring  = 3 * time.Second
	recoverAfter   = 3 * time.Second
	recoverTimeout = 500 * time.Millisecond
	// delayedThreshold is the latency above which a call counts as delayed. The server's
	// service time is 2 ms.
	delayedThreshold = 50 * time.Millisecond
)

// recoverCall is one request of a recovery run.
type recoverCall struct {
	at         time.Duration
	took       time.Duration
	repeatable bool
	failed     bool
	unknown    bool
}

// Run measures the effect of every fault.
func (c *recoverCommand) Run() error {
	fmt.Printf("3 servers, 2 more nodes as entries, %.0f requests a second, server's time 2 ms, deadline %v\n\n", c.Rate, recoverTimeout)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	fmt.Fprintln(w, "| fault\t| requests\t| repeatable failed\t| others not run\t| others unknown\t| last failure after ms\t| held up over 50 ms\t| last held up after ms\t| slowest repeatable ms\t| gate serves again after ms\t|")
	fmt.Fprintln(w, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, f := range faults {
		for range c.Rounds {
			if err := c.measure(w, f); err != nil {
				return err
			}
		}
	}
	return w.Flush()
}

func (c *recoverCommand) measure(w *tabwriter.Writer, f fault) error {
	s, stop, err := c.start(process.Config{
		Service:   "termostat",
		Nodes:     5,
		Servers:   3,
		Zones:     []string{"zone"},
		Columns:   map[string]string{"slots": "12"},
		Behaviour: standin.Behaviour{Slots: 12, ServiceMicros: 2000},
	})
	if err != nil {
		return err
	}
	defer stop()
	var calls []recoverCall
	done := make(chan struct{})
	began := time.Now()
	go func() {
		defer close(done)
		calls = c.sendRequests(s, began)
	}()
	time.Sleep(recoverBefore)
	faultAt := time.Since(began)
	if err := f.inject(s); err != nil {
		return err
	}
	time.Sleep(recoverDuring)
	undoneAt := time.Now()
	if err := f.undo(s); err != nil {
		return err
	}
	resumedAt, err := waitForExecution(s)
	if err != nil {
		return err
	}
	<-done
	printRecovery(w, f.name, calls, faultAt, resumedAt.Sub(undoneAt))
	return nil
}

// waitForExecution waits until the first server executes a request again, for at most
// recoverAfter, and returns the time at which it stopped waiting.
func waitForExecution(s *process.Site) (time.Time, error) {
	before, err := s.RunsOf(s.Servers[0])
	if err != nil {
		return time.Time{}, err
	}
	end := time.Now().Add(recoverAfter)
	for time.Now().Before(end) {
		now, err := s.RunsOf(s.Servers[0])
		if err != nil {
			return time.Time{}, err
		}
		if now > before {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return time.Now(), nil
}

// sendRequests sends requests at random times over the whole run, whether or not earlier
// ones have ended.
func (c *recoverCommand) sendRequests(s *process.Site, began time.Time) []recoverCall {
	clients := []*client.Client{client.New([]string{s.Nodes[3].Caller}), client.New([]string{s.Nodes[4].Caller})}
	var mu sync.Mutex
	var calls []recoverCall
	var wait sync.WaitGroup
	at := time.Duration(0)
	for number := 0; at < recoverBefore+recoverDuring+recoverAfter; number++ {
		at += time.Duration(rand.ExpFloat64() / c.Rate * float64(time.Second))
		time.Sleep(time.Until(began.Add(at)))
		call := recoverCall{at: at, repeatable: number%2 == 0}
		wait.Go(func() {
			method := "POST"
			if call.repeatable {
				method = "GET"
			}
			answer, err := clients[number%len(clients)].Do(client.Request{
				Service: "termostat", Method: method, Path: "/x", Timeout: recoverTimeout,
				Header: map[string]string{standin.RequestNumberField: fmt.Sprint(number)},
			})
			call.took = time.Since(began) - call.at
			call.failed = err != nil || answer.Status != 200
			call.unknown = errors.Is(err, client.ErrUnknown)
			mu.Lock()
			calls = append(calls, call)
			mu.Unlock()
		})
	}
	wait.Wait()
	return calls
}

func printRecovery(w *tabwriter.Writer, name string, calls []recoverCall, faultAt, resumedAfter time.Duration) {
	var repeatableFailed, notRun, unknown, delayed int
	var lastFailure, lastDelayed, slowest time.Duration
	for _, call := range calls {
		since := max(call.at-faultAt, 0)
		switch {
		case call.failed && call.repeatable:
			repeatableFailed++
		case call.unknown:
			unknown++
		case call.failed:
			notRun++
		}
		if call.failed {
			lastFailure = max(lastFailure, since)
		}
		if call.took > delayedThreshold {
			delayed++
			lastDelayed = max(lastDelayed, since)
		}
		if call.repeatable {
			slowest = max(slowest, call.took)
		}
	}
	fmt.Fprintf(w, "| %s\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %.0f\t| %d\t|\n", name, len(calls), repeatableFailed, notRun, unknown,
		lastFailure.Milliseconds(), delayed, lastDelayed.Milliseconds(), slowest.Seconds()*1000, resumedAfter.Milliseconds())
}
