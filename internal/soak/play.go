// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/internal/faultproxy"
	"github.com/ryehaven/ryehaven/platform/emulator"
)

// Options of a run.
type Options struct {
	// Programs is the directory of the built commands, Dir one for settings and
	// logs that is kept if the run fails.
	Programs, Dir string
	// Older is a directory of the commands of an earlier version. If it is given,
	// all nodes start as that version, and every restart of one is its upgrade.
	Older string
	Seed  uint64
	Hosts int
	// Callers is how many callers each host has.
	Callers int
	// Length is how long faults are injected; healing follows.
	Length time.Duration
	// Steps replaces the schedule that the seed draws; nil leaves it.
	Steps []Step
	// Bounds are the times of the promises; zero stands for UsualBounds.
	Bounds Bounds
}

// Report is what a run found.
type Report struct {
	Seed                                     uint64
	Hosts                                    int
	Steps                                    []Step
	Calls, Answered, Refused, Failed, Others int
	// HealedAfter is how long after the last fault all hosts served again.
	HealedAfter time.Duration
	Violations  []Violation
	Notes       []string
}

// recoverBound is when all hosts must serve again after the last fault.
const recoverBound = 15 * time.Second

// calmAfter is how much longer the load goes on after healing.
const calmAfter = time.Second

// Run plays one seed.
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
	wait.Go(func() { s.onEveryHost(working, beatEvery, func(h *host) { h.beat() }) })
	wait.Go(func() { s.onEveryHost(working, readyEvery, (*host).askReady) })
	wait.Go(func() { s.runStalls(working) })
	load, endLoad := context.WithCancel(working)
	var callers sync.WaitGroup
	callers.Go(func() { s.runLoad(load) })

	s.play(working, report.Steps)
	began := time.Now()
	if err := s.waitHealed(recoverBound); err != nil {
		s.history.Unhealed = err.Error()
	} else {
		s.history.Healed = true
		report.HealedAfter = time.Since(began)
	}
	pause(ctx, calmAfter)
	endLoad()
	callers.Wait()
	cancel()
	wait.Wait()
	s.finish()
	report.Violations = Check(s.history, o.Bounds)
	report.count(s.history.Calls)
	report.Notes = s.notes
	if len(report.Violations) > 0 {
		return report, s.keep(report)
	}
	return report, nil
}

// finish ends the lives of all processes and gathers what servers saw.
func (s *site) finish() {
	for _, h := range s.hosts {
		h.end(syscall.SIGKILL, stopBound)
		if trace := h.crashed(); trace != "" {
			s.addLife(Life{Host: h.number, To: time.Now(), Unexpected: trace})
		}
		for _, server := range h.servers() {
			s.history.Cold = append(s.history.Cold, Cold{Server: server.ID, Most: server.MostWhileCold()})
			for _, a := range server.Arrivals() {
				s.history.Arrivals = append(s.history.Arrivals, Arrival{Arrival: a, Server: server.ID, Host: h.number})
			}
		}
		h.ended = nil
	}
}

// count sums up how calls ended.
func (r *Report) count(calls []Call) {
	for _, c := range calls {
		r.Calls++
		switch {
		case c.Left:
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

// keep writes the schedule, the report and the history beside the logs.
func (s *site) keep(r Report) error {
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

// play plays a schedule and returns once every step has ended.
func (s *site) play(ctx context.Context, steps []Step) {
	began := time.Now()
	var wait sync.WaitGroup
	for _, step := range steps {
		wait.Go(func() {
			pause(ctx, time.Until(began.Add(step.At)))
			if ctx.Err() == nil {
				s.strike(ctx, step)
			}
		})
	}
	wait.Wait()
}

// strike plays one step to its end and notes the time that it took.
func (s *site) strike(ctx context.Context, step Step) {
	hosts := step.Hosts
	if step.Kind == KillAll {
		hosts = nil
		for i := range s.hosts {
			hosts = append(hosts, i)
		}
	}
	if len(hosts) == 0 {
		s.during(Everywhere, step, func() { s.strikeStore(ctx, step) })
		return
	}
	var wait sync.WaitGroup
	for _, i := range hosts {
		wait.Go(func() { s.during(i, step, func() { s.strikeHost(ctx, s.hosts[i], step) }) })
	}
	wait.Wait()
}

// during notes the time that a disturbance takes.
func (s *site) during(host int, step Step, disturb func()) {
	from := time.Now()
	disturb()
	isPlanned := isPlanned(step.Kind)
	if isPlanned && host == Everywhere {
		return // A change of the configuration disturbs nobody.
	}
	if step.Kind == Release || step.Kind == Reload || step.Kind == Evacuate || step.Kind == ServerCold {
		return // The host's node goes on.
	}
	s.addSpan(Span{Host: host, From: from, To: time.Now(), Kind: step.Kind, Unplanned: !isPlanned})
}

func isPlanned(k Kind) bool {
	for _, p := range planned {
		if p == k {
			return true
		}
	}
	return false
}

const (
	stormChanges = 8
	slowStore    = 400 * time.Millisecond
	lostReplies  = 3
	linkDelay    = 60 * time.Millisecond
	slowPercent  = 800
)

func (s *site) strikeStore(ctx context.Context, step Step) {
	switch step.Kind {
	case Change:
		s.change()
	case Storm:
		for range stormChanges {
			s.change()
			pause(ctx, step.For/stormChanges)
		}
	case StoreForget:
		s.store.ForgetHistory()
	default:
		s.setStoreFault(step.Kind, 1)
		pause(ctx, step.For)
		s.setStoreFault(step.Kind, -1)
	}
}

// setStoreFault adds a step that keeps the store in a fault, or ends one.
func (s *site) setStoreFault(k Kind, change int) {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	s.storeFaults[k] += change
	var f emulator.Faults
	f.Down = s.storeFaults[StoreDown] > 0
	f.Silent = s.storeFaults[StoreSilent] > 0
	if s.storeFaults[StoreSlow] > 0 {
		f.Delay = slowStore
	}
	if s.storeFaults[StoreLost] > 0 {
		f.LostReplies = lostReplies
	}
	s.store.SetFaults(f)
}

// linkFaults are what proxies do for each kind of step.
var linkFaults = map[Kind]faultproxy.Fault{
	Cut:      {Refuse: true, Cut: true},
	Reset:    {Cut: true},
	Silence:  {HoldForward: true, HoldBackward: true},
	OneWay:   {HoldBackward: true},
	Delay:    {Delay: linkDelay},
	StoreCut: {Refuse: true, Cut: true},
}

func (s *site) strikeHost(ctx context.Context, h *host, step Step) {
	switch step.Kind {
	case Kill, KillAll, ClockStep, Stop:
		s.restart(ctx, h, step)
	case Pause:
		h.signal(syscall.SIGSTOP)
		pause(ctx, step.For)
		h.signal(syscall.SIGCONT)
	case Reload:
		h.reload()
		pause(ctx, step.For)
	case Reset:
		h.peer.Set(linkFaults[Reset])
		h.peer.Set(faultproxy.Fault{})
	case StoreCut:
		h.store.Set(linkFaults[StoreCut])
		pause(ctx, step.For)
		h.store.Set(faultproxy.Fault{})
	case Cut, Silence, OneWay, Delay:
		h.peer.Set(linkFaults[step.Kind])
		pause(ctx, step.For)
		h.peer.Set(faultproxy.Fault{})
	case ServerFault:
		h.current().SetBehaviour(step.Behaviour)
		pause(ctx, step.For)
		h.current().SetBehaviour(emulator.Answer)
	case ServerSlow:
		h.current().SetSlowness(slowPercent)
		pause(ctx, step.For)
		h.current().SetSlowness(100)
	case ServerCold:
		h.current().SetCold(step.For)
		pause(ctx, step.For)
	case Forget:
		h.peer.Silence()
		h.store.Silence()
	case Evacuate:
		s.evacuate(ctx, h.zone, step.For)
	case Release:
		h.release(step.For)
	}
}

// clockSteps are how far a node's time of day moves.
var clockSteps = []time.Duration{-5 * time.Second, 3 * time.Second}

// restart ends a node's process and begins its next life.
func (s *site) restart(ctx context.Context, h *host, step Step) {
	if !h.restarting.TryLock() {
		return // Another step is at it.
	}
	defer h.restarting.Unlock()
	h.signal(syscall.SIGCONT)
	signal := syscall.SIGKILL
	if step.Kind == Stop {
		signal = syscall.SIGTERM
	}
	h.end(signal, stopBound+time.Second)
	if step.Kind == ClockStep {
		h.clock = clockSteps[int(step.For)%len(clockSteps)]
	}
	pause(ctx, step.For/4)
	h.upgraded = true
	if err := h.start(); err != nil {
		s.note("host %d: %v", h.number, err)
		s.addLife(Life{Host: h.number, To: time.Now(), Unexpected: err.Error()})
	}
}

// reload changes the node's settings in place.
func (h *host) reload() {
	if !h.restarting.TryLock() {
		return
	}
	defer h.restarting.Unlock()
	h.revision++
	if err := os.WriteFile(h.settingsPath(), []byte(h.settings()), 0o600); err != nil {
		h.site.note("host %d: %v", h.number, err)
		return
	}
	h.signal(syscall.SIGHUP)
}

// String sums a report up on one line.
func (r Report) String() string {
	return fmt.Sprintf("seed %d: %d hosts, %d steps, %d calls: %d answered, %d refused, %d without answer, %d others; healed after %.2fs; %d broken",
		r.Seed, r.Hosts, len(r.Steps), r.Calls, r.Answered, r.Refused, r.Failed, r.Others, r.HealedAfter.Seconds(), len(r.Violations))
}
