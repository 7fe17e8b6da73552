// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Options holds the options of a run.
type Options struct {
	// Programs is the directory of the built commands. Dir is a directory for settings and
	// logs; Run adds the schedule, report and history if the run fails.
	Programs, Dir string
	// OlderPrograms is the directory of the commands of an earlier version. If it is set, all
	// nodes start with that version and every restart upgrades a node.
	OlderPrograms string
	Seed          uint64
	Hosts         int
	// Callers is the number of callers on each host.
	Callers int
	// Length is the time for which faults are injected; recovery follows.
	Length time.Duration
	// Steps replaces the schedule that the seed draws; nil uses the seed's schedule.
	Steps []Step
	// ServiceTime is the time that servers usually work on a request; 0 means 4 ms.
	ServiceTime time.Duration
	// SlowPeriods makes servers four times slower for periods of up to some hundred
	// milliseconds, like servers that share their hosts with other programs.
	SlowPeriods bool
	// Tenants has routes require keys. A tenant that sends many times its quota and one whose
	// key changes with every version send requests besides the usual callers.
	Tenants bool
	// Pipelining adds a caller on each host that does not wait for answers.
	Pipelining bool
	// LoadBursts adds bursts of more requests than the servers can serve, from callers that
	// retry when they are rejected.
	LoadBursts bool
	// Bounds holds the limits of the promises; the zero value means UsualBounds.
	Bounds Bounds
}

// Report is the result of a run.
type Report struct {
	Seed                                     uint64
	Hosts                                    int
	Steps                                    []Step
	Calls, Answered, Refused, Failed, Others int
	// Crashed is the number of servers that requests crashed, and Tries the number of such
	// requests sent.
	Crashed, Tries int
	// RecoveredAfter is the time from the last fault until all hosts served requests again.
	RecoveredAfter time.Duration `json:"HealedAfter"`
	Violations     []Violation
	// StallOutcomes says how many requests were served around each stall of all hosts.
	StallOutcomes []StallOutcome `json:"Aftermaths"`
	Notes         []string
}

// recoveryTimeout is the time after the last fault within which all hosts must serve requests
// again.
const recoveryTimeout = 15 * time.Second

// loadAfterRecovery is how long the load continues after recovery.
const loadAfterRecovery = time.Second

// Run runs the schedule of one seed.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.Bounds == (Bounds{}) {
		o.Bounds = UsualBounds()
	}
	report := Report{Seed: o.Seed, Hosts: o.Hosts, Steps: o.Steps}
	if report.Steps == nil {
		report.Steps = Draw(o.Seed, o.Hosts, o.Length)
	}
	s, err := startSite(o)
	if err != nil {
		return report, err
	}
	defer s.close()
	working, cancel := context.WithCancel(ctx)
	defer cancel()
	var wait sync.WaitGroup
	wait.Go(func() { s.onEveryHost(working, announceInterval, func(h *host) { h.announce() }) })
	wait.Go(func() { s.onEveryHost(working, readyInterval, (*host).checkReady) })
	wait.Go(func() { s.watchMachine(working) })
	wait.Go(func() { s.runInvalidAnnouncements(working) })
	if o.SlowPeriods {
		wait.Go(func() { s.runSlowPeriods(working) })
	}
	load, endLoad := context.WithCancel(working)
	var callers sync.WaitGroup
	callers.Go(func() { s.runLoad(load) })

	s.playSteps(working, report.Steps)
	began := time.Now()
	if err := s.waitRecovered(recoveryTimeout); err != nil {
		s.history.RecoveryError = err.Error()
	} else {
		s.history.Recovered = true
		report.RecoveredAfter = time.Since(began)
	}
	pause(ctx, max(loadAfterRecovery, time.Until(s.stallsWatchedUntil())))
	endLoad()
	callers.Wait()
	cancel()
	wait.Wait()
	s.collectResults()
	report.Violations = Check(s.history, o.Bounds)
	report.StallOutcomes = StallOutcomes(s.history, o.Bounds)
	report.count(s.history.Calls)
	report.countCrashes(&s.history)
	report.Notes = s.notes
	if len(report.Violations) > 0 {
		return report, s.saveResults(report)
	}
	return report, nil
}

// stallsWatchedUntil returns when the last period ends in which a stall of all hosts may affect
// requests or configuration changes.
func (s *site) stallsWatchedUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.history.Stalls) == 0 {
		return time.Time{}
	}
	last := s.history.Stalls[len(s.history.Stalls)-1]
	return last.At.Add(max(s.options.Bounds.StallWindow, s.options.Bounds.Undisturbed) + watchAfterStall)
}

// collectResults stops all node processes and collects what servers recorded.
func (s *site) collectResults() {
	for _, h := range s.hosts {
		h.stopProcess(syscall.SIGKILL, stopTimeout)
		if trace := h.crashTrace(); trace != "" {
			s.addProcess(NodeProcess{Host: h.number, To: time.Now(), Unexpected: trace})
		}
		for _, server := range h.allServers() {
			s.history.ColdPeaks = append(s.history.ColdPeaks, ColdPeak{Server: server.Key(), Peak: server.PeakRateWhileCold()})
			for _, p := range server.RateLimitPeriods() {
				if p.To.IsZero() {
					p.To = time.Now()
				}
				s.history.RateLimits = append(s.history.RateLimits, RateLimit{Server: server.Key(), RateLimitPeriod: p})
			}
			for _, a := range server.Arrivals() {
				s.history.Arrivals = append(s.history.Arrivals, Arrival{Arrival: a, Server: server.Key(), Host: h.number})
			}
		}
		h.exited = nil
	}
}

// count adds up the results of the calls.
func (r *Report) count(calls []Call) {
	for _, c := range calls {
		r.Calls++
		switch {
		case c.Abandoned:
			r.Others++
		case c.Reply.Err != nil:
			r.Failed++
		case c.Reply.Status == 200:
			r.Answered++
		case promisesNotRun(c.Reply.Status):
			r.Refused++
		default:
			r.Others++
		}
	}
}

// countCrashes counts the requests that crash servers, and the crashes.
func (r *Report) countCrashes(h *History) {
	for _, c := range h.Calls {
		if strings.Contains(c.URI, crashMarker) {
			r.Tries++
		}
	}
	for _, a := range h.Arrivals {
		if a.Ran && strings.Contains(a.URI, crashMarker) {
			r.Crashed++
		}
	}
}

// saveResults writes the report with the schedule, and the history, to the directory of the logs.
func (s *site) saveResults(r Report) error {
	for name, v := range map[string]any{"report.json": r, "history.json": s.history} {
		text, err := json.MarshalIndent(v, "", " ")
		if err != nil {
			return eris.Wrapf(err, "encode %s", name)
		}
		if err := os.WriteFile(filepath.Join(s.options.Dir, name), text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// playSteps runs a schedule and returns once every step has ended.
func (s *site) playSteps(ctx context.Context, steps []Step) {
	began := time.Now()
	var wait sync.WaitGroup
	for _, step := range steps {
		wait.Go(func() {
			pause(ctx, time.Until(began.Add(step.At)))
			if ctx.Err() == nil {
				s.inject(ctx, step)
			}
		})
	}
	wait.Wait()
}

// String summarizes the report in one line.
func (r Report) String() string {
	crashes := ""
	if r.Tries > 0 {
		crashes = fmt.Sprintf("%d servers crashed by %d requests; ", r.Crashed, r.Tries)
	}
	return fmt.Sprintf("seed %d: %d hosts, %d steps, %d calls: %d answered, %d refused, %d without answer, %d others; %srecovered after %.2fs; %d violations",
		r.Seed, r.Hosts, len(r.Steps), r.Calls, r.Answered, r.Refused, r.Failed, r.Others, crashes, r.RecoveredAfter.Seconds(), len(r.Violations))
}

// maxFindings is the maximum number of findings of one promise that Findings returns; the
// history has all.
const maxFindings = 5

// Findings describes the broken promises: the first violations of each, and their number if
// there are more.
func (r Report) Findings() []string {
	var lines []string
	found := map[string]int{}
	for _, v := range r.Violations {
		found[v.Promise]++
		if found[v.Promise] <= maxFindings {
			lines = append(lines, fmt.Sprintf("%s %s: %s", v.At.Format("15:04:05.000"), v.Promise, v.Detail))
		}
	}
	for _, promise := range slices.Sorted(maps.Keys(found)) {
		if n := found[promise]; n > maxFindings {
			lines = append(lines, fmt.Sprintf("%s: %d in total", promise, n))
		}
	}
	return lines
}
