// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/ryehaven/ryehaven/platform/emulator"
)

// Kind is what a step does.
type Kind string

// The kinds of step. Planned ones are work that must cut nothing off.
const (
	// Kill ends node processes with SIGKILL and starts them again.
	Kill Kind = "kill"
	// KillAll does so to every node at once.
	KillAll Kind = "kill-all"
	// Pause stops node processes with SIGSTOP for a time.
	Pause Kind = "pause"
	// Stop ends node processes with SIGTERM, planned, and starts them again.
	Stop Kind = "stop"
	// Reload changes a node's settings and sends SIGHUP.
	Reload Kind = "reload"
	// ClockStep kills a node and starts it with its time of day moved.
	ClockStep Kind = "clock-step"
	// Cut closes the connections to a node's peer port and refuses new ones.
	Cut Kind = "cut"
	// Reset closes them once.
	Reset Kind = "reset"
	// Silence keeps back what is sent to a node's peer port and from it.
	Silence Kind = "silence"
	// OneWay keeps back what a node's peer port answers.
	OneWay Kind = "one-way"
	// Delay holds up every piece of data on the way to a node.
	Delay Kind = "delay"
	// StoreCut cuts a node off from the store.
	StoreCut Kind = "store-cut"
	// StoreDown makes the store answer 503.
	StoreDown Kind = "store-down"
	// StoreSilent makes it answer nothing.
	StoreSilent Kind = "store-silent"
	// StoreSlow makes it slow.
	StoreSlow Kind = "store-slow"
	// StoreLost loses the answers of the next writes.
	StoreLost Kind = "store-lost"
	// StoreForget drops the store's history.
	StoreForget Kind = "store-forget"
	// ServerFault makes a backend server misbehave.
	ServerFault Kind = "server-fault"
	// ServerSlow makes a backend server several times slower.
	ServerSlow Kind = "server-slow"
	// ServerCold makes a backend server cold, so that it bears few requests a second.
	ServerCold Kind = "server-cold"
	// Forget makes the open connections to a node's peer port and to the store silent
	// for good, while new ones work.
	Forget Kind = "forget"
	// Evacuate asks that the servers of a host's zone get nothing, for a time.
	Evacuate Kind = "evacuate"
	// Release drains a backend server and starts another in its place.
	Release Kind = "release"
	// Change writes a new configuration.
	Change Kind = "change"
	// Storm writes several in a row.
	Storm Kind = "storm"
)

// planned lists the kinds that are planned work.
var planned = []Kind{Stop, Reload, Release, Change, Storm, Evacuate}

// unplanned lists the others.
var unplanned = []Kind{
	Kill, KillAll, Pause, ClockStep, Cut, Reset, Silence, OneWay, Delay, StoreCut, StoreDown, StoreSilent,
	StoreSlow, StoreLost, StoreForget, ServerFault, ServerSlow, ServerCold, Forget,
}

// Step is one disturbance of a run.
type Step struct {
	// At counts from the start of the load and For is how long it lasts.
	At, For time.Duration
	Kind    Kind
	// Hosts are the numbers of the hosts that are struck.
	Hosts []int `json:",omitempty"`
	// Behaviour is that of a server that misbehaves.
	Behaviour emulator.Behaviour `json:",omitempty"`
}

// String describes the step on one line.
func (s Step) String() string {
	return fmt.Sprintf("%6.2fs for %.2fs %s %v %s", s.At.Seconds(), s.For.Seconds(), s.Kind, s.Hosts, s.Behaviour)
}

// serverFaults are the behaviours of misbehaving servers.
var serverFaults = []emulator.Behaviour{
	emulator.Shed, emulator.Fail, emulator.FalseShed, emulator.NoSeal, emulator.CutShort, emulator.Garbage,
	emulator.Reset, emulator.ResetAtOnce, emulator.OtherAnswer, emulator.Twice, emulator.Unframed, emulator.Hang,
}

// How dense and long the steps of a schedule are.
const (
	stepEvery   = 1200 * time.Millisecond
	stepLeast   = 200 * time.Millisecond
	stepMost    = 3 * time.Second
	releaseMost = 4 * time.Second
	// evacuateMost leaves time in which the evacuation is in force.
	evacuateMost = 6 * time.Second
	// plannedDays is how many of ten seeds have planned work only, so that
	// promises which bind in calm times are held against it.
	plannedDays = 3
)

// Draw returns the schedule of a seed for a number of hosts.
func Draw(seed uint64, hosts int, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 1))
	kinds := append(append([]Kind(nil), planned...), unplanned...)
	if seed%10 < plannedDays {
		kinds = planned
	}
	var steps []Step
	for range int(length / stepEvery) {
		steps = append(steps, draw(rng, kinds, hosts, length))
	}
	sort.Slice(steps, func(a, b int) bool { return steps[a].At < steps[b].At })
	return steps
}

// draw returns one step.
func draw(rng *rand.Rand, kinds []Kind, hosts int, length time.Duration) Step {
	s := Step{
		At:   time.Duration(rng.Int64N(int64(length))),
		For:  stepLeast + time.Duration(rng.Int64N(int64(stepMost-stepLeast))),
		Kind: kinds[rng.IntN(len(kinds))],
	}
	struck := 1 + rng.IntN(max(hosts/3, 1))
	order := rng.Perm(hosts)
	switch s.Kind {
	case KillAll, StoreDown, StoreSilent, StoreSlow, StoreLost, StoreForget, Change, Storm:
	case Release:
		s.Hosts, s.For = order[:1], releaseMost
	case Evacuate:
		s.Hosts, s.For = order[:1], evacuateMost
	case ServerFault:
		s.Hosts = order[:struck]
		s.Behaviour = serverFaults[rng.IntN(len(serverFaults))]
	default:
		s.Hosts = order[:struck]
	}
	return s
}
