// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/ryehaven/ryehaven/internal/faultproxy"
	"github.com/ryehaven/ryehaven/platform/emulator"
)

// Kind is the kind of a step.
type Kind string

// The kinds of step. Planned work is Stop, Reload, ServerReplace, ConfigChange,
// ConfigBurst and Evacuate; it must not cut off any request.
const (
	// Kill stops node processes with SIGKILL and starts them again.
	Kill Kind = "kill"
	// KillAll does the same to all nodes at once.
	KillAll Kind = "kill-all"
	// Pause suspends node processes with SIGSTOP.
	Pause Kind = "pause"
	// Stop stops node processes with SIGTERM, as planned work, and starts them again.
	Stop Kind = "stop"
	// Reload changes a node's settings and sends SIGHUP.
	Reload Kind = "reload"
	// ClockStep kills a node and starts it again with its wall clock shifted.
	ClockStep Kind = "clock-step"
	// PeerCut closes the connections to a node's peer port and refuses new ones.
	PeerCut Kind = "cut"
	// PeerReset closes the connections to a node's peer port once.
	PeerReset Kind = "reset"
	// PeerStall holds back all data to and from a node's peer port.
	PeerStall Kind = "silence"
	// PeerStallOneWay holds back the data that a node's peer port sends.
	PeerStallOneWay Kind = "one-way"
	// PeerDelay delays all data on connections to a node's peer port.
	PeerDelay Kind = "delay"
	// StoreCut closes the connections from a node to the store and refuses new ones.
	StoreCut Kind = "store-cut"
	// StoreDown makes the store answer every request with status 503.
	StoreDown Kind = "store-down"
	// StoreUnresponsive makes the store answer no requests.
	StoreUnresponsive Kind = "store-silent"
	// StoreSlow makes the store answer slowly.
	StoreSlow Kind = "store-slow"
	// StoreLoseReplies makes the store execute the next writes without answering them.
	StoreLoseReplies Kind = "store-lost"
	// StoreDropHistory makes the store drop its history of changes.
	StoreDropHistory Kind = "store-forget"
	// StoreRestore restores the store from a backup that is as old as the step is long, and
	// writes the operators' later changes again.
	StoreRestore Kind = "store-back"
	// ServerFault makes a backend server misbehave.
	ServerFault Kind = "server-fault"
	// ServerHang makes a backend server accept requests and never answer. Real servers do
	// that, so it is no excuse for breaking a promise.
	ServerHang Kind = "server-hang"
	// ServerSlow makes a backend server several times slower.
	ServerSlow Kind = "server-slow"
	// ServerCold makes a backend server cold, so that it can serve only few requests a second.
	ServerCold Kind = "server-cold"
	// ServerReset closes the connections to a backend server once.
	ServerReset Kind = "server-reset"
	// ServerStall holds back all data to and from a backend server.
	ServerStall Kind = "server-silence"
	// ServerDelay delays all data on connections to a backend server.
	ServerDelay Kind = "server-delay"
	// StallConnections stalls the open connections of a host permanently; new ones work.
	StallConnections Kind = "forget"
	// StallAllConnections does the same to all hosts at once, in some steps twice.
	StallAllConnections Kind = "forget-all"
	// Evacuate evacuates the zone of a host: its servers must get no requests.
	Evacuate Kind = "evacuate"
	// ServerExit terminates backend servers without an announcement and starts replacements.
	ServerExit Kind = "server-end"
	// ServerCrash repeats a request that crashes every server that runs it; replacements are
	// started.
	ServerCrash Kind = "server-crash"
	// ServerRateLimit makes backend servers report limits on the rate of their requests.
	ServerRateLimit Kind = "server-limit"
	// ServerLeaves makes a backend server say in its responses, and nowhere else, that it is
	// leaving, and replaces it later.
	ServerLeaves Kind = "server-leaving"
	// ServerReplace drains a backend server and starts a replacement.
	ServerReplace Kind = "release"
	// ConfigChange writes a new configuration.
	ConfigChange Kind = "change"
	// ConfigBurst writes several new configurations in a row.
	ConfigBurst Kind = "storm"
)

// plannedKinds lists the kinds of planned work.
var plannedKinds = []Kind{Stop, Reload, ServerReplace, ConfigChange, ConfigBurst, Evacuate}

// unplannedKinds lists the kinds of faults from which a seed with all kinds draws.
var unplannedKinds = []Kind{
	Kill, KillAll, Pause, ClockStep, PeerCut, PeerReset, PeerStall, PeerStallOneWay, PeerDelay, StoreCut, StoreDown, StoreUnresponsive,
	StoreSlow, StoreLoseReplies, StoreDropHistory, ServerFault, ServerSlow, ServerCold, ServerReset, ServerStall, ServerDelay,
	StallConnections, StallAllConnections,
}

// stallKinds lists the kinds that stall connections; StallAllConnections is drawn twice as
// often.
var stallKinds = []Kind{StallConnections, StallAllConnections, StallAllConnections}

// Step is one disturbance of a run.
type Step struct {
	// At is the start, counted from the start of the load, and For the duration.
	At, For time.Duration
	Kind    Kind
	// Hosts holds the numbers of the affected hosts.
	Hosts []int `json:",omitempty"`
	// Behaviour is the behaviour of the server in a ServerFault step.
	Behaviour emulator.Behaviour `json:",omitempty"`
	// Links and Direction select the connections and the direction that are stalled.
	Links     []Link               `json:",omitempty"`
	Direction faultproxy.Direction `json:"Way,omitempty"`
	// Twice makes StallAllConnections stall all connections a second time after For. In a
	// StoreRestore step it means that the backup is older than the first record of a node.
	Twice bool `json:",omitempty"`
	// Limits are the rate limits that a server reports in a ServerRateLimit step, one after the
	// other, and OmitOnHealth leaves them out of health responses.
	Limits       []float64 `json:",omitempty"`
	OmitOnHealth bool      `json:",omitempty"`
}

// stalled returns what a step stalls: without Links, the connections to peers and to the
// store, in both directions.
func (s Step) stalled() ([]Link, faultproxy.Direction) {
	if s.Links == nil {
		return []Link{ToPeers, ToStore}, faultproxy.BothDirections
	}
	return s.Links, s.Direction
}

// String describes the step in one line.
func (s Step) String() string {
	text := fmt.Sprintf("%6.2fs for %.2fs %s %v %s", s.At.Seconds(), s.For.Seconds(), s.Kind, s.Hosts, s.Behaviour)
	if s.Links != nil {
		text += fmt.Sprintf("%v %s", s.Links, s.Direction)
	}
	if s.Twice {
		text += ", twice"
	}
	if s.Limits != nil {
		text += fmt.Sprintf("limits %v", s.Limits)
	}
	return text
}

// serverFaults lists the behaviours that ServerFault draws from.
var serverFaults = []emulator.Behaviour{
	emulator.Shed, emulator.Fail, emulator.FalseShed, emulator.NoSeal, emulator.Truncated, emulator.Garbage,
	emulator.Reset, emulator.ResetAtOnce, emulator.MismatchedAnswer, emulator.DuplicateAnswer, emulator.Unframed, emulator.Hang,
}

// stepInterval is the average time between two steps; the others are the durations of
// steps.
const (
	stepInterval  = 1200 * time.Millisecond
	minStepLength = 200 * time.Millisecond
	maxStepLength = 3 * time.Second
	replaceLength = 4 * time.Second
	// An evacuation lasts longer than other steps, so that it is in force for part of the time.
	evacuateLength = 6 * time.Second
	// Of ten seeds, plannedSeeds have planned work only, so that the promises which hold only
	// without faults are checked.
	plannedSeeds = 3
	// Of ten seeds, the next stallSeeds have planned work and stalls only, so that hosts are
	// soon undisturbed again after a stall.
	stallSeeds = 3
)

// kindsOf returns the kinds that a seed draws from.
func kindsOf(seed uint64) []Kind {
	switch digit := seed % 10; {
	case digit < plannedSeeds:
		return plannedKinds
	case digit < plannedSeeds+stallSeeds:
		return append(append([]Kind(nil), plannedKinds...), stallKinds...)
	}
	return append(append([]Kind(nil), plannedKinds...), unplannedKinds...)
}

// Draw returns the schedule of a seed for a number of hosts.
func Draw(seed uint64, hosts int, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 1))
	kinds := kindsOf(seed)
	var steps []Step
	for range int(length / stepInterval) {
		step := drawStep(rng, kinds, hosts, length)
		steps = append(steps, step)
		if step.Kind == StallAllConnections {
			steps = append(steps, drawBesideStall(rng, step, hosts, length))
		}
	}
	steps = append(steps, drawServerExits(seed, hosts, length)...)
	steps = append(steps, drawStoreRestores(seed, length)...)
	steps = append(steps, drawServerReports(seed, hosts, length)...)
	sort.Slice(steps, func(a, b int) bool { return steps[a].At < steps[b].At })
	return steps
}

// DrawStops returns a schedule of planned work: a Stop of one or two hosts every
// stopInterval, some of them with a new configuration or with a server that hangs.
func DrawStops(seed uint64, hosts int, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 3))
	var steps []Step
	for at := stopInterval; at < length; at += stopInterval {
		stop := Step{At: at, For: minStepLength, Kind: Stop, Hosts: rng.Perm(hosts)[:1+rng.IntN(2)]}
		steps = append(steps, stop)
		switch rng.IntN(4) {
		case 0:
			steps = append(steps, Step{At: at + time.Duration(rng.Int64N(int64(stopInterval))), Kind: ConfigChange})
		case 1:
			steps = append(steps, Step{At: at - stopInterval/2, For: 2 * stopInterval, Kind: ServerHang, Hosts: stop.Hosts[:1]})
		}
	}
	return steps
}

// stopInterval is the time between two stops in a schedule of DrawStops.
const stopInterval = 700 * time.Millisecond

// serverExitKinds lists the kinds in which servers exit.
var serverExitKinds = []Kind{ServerExit, ServerCrash}

// drawServerExits returns the steps in which servers exit: a request that crashes servers
// for most of the run, and exits without a request as their cause. Every other seed has
// them, apart from those with planned work only. A generator of its own draws them, so that
// the other steps of a seed stay the same.
func drawServerExits(seed uint64, hosts int, length time.Duration) []Step {
	if seed%10 < plannedSeeds || seed%2 != 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(seed, 2))
	at := time.Duration(rng.Int64N(int64(length) / 3))
	steps := []Step{{At: at, For: length - at, Kind: ServerCrash}}
	for range rng.IntN(3) {
		steps = append(steps, Step{
			At:    time.Duration(rng.Int64N(int64(length))),
			For:   minStepLength,
			Kind:  ServerExit,
			Hosts: rng.Perm(hosts)[:1+rng.IntN(hosts)],
		})
	}
	return steps
}

// drawStoreRestores returns the steps in which the store is restored from backups; some of
// them overlap. One in three seeds has them, apart from those with planned work only. A
// generator of its own draws them, so that the other steps of a seed stay the same.
func drawStoreRestores(seed uint64, length time.Duration) []Step {
	if seed%10 < plannedSeeds || seed%3 != 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(seed, 4))
	var steps []Step
	for range 1 + rng.IntN(3) {
		steps = append(steps, Step{
			At:    time.Duration(rng.Int64N(int64(length))),
			For:   minStepLength + time.Duration(rng.Int64N(int64(maxStepLength))),
			Kind:  StoreRestore,
			Twice: rng.IntN(2) == 0,
		})
	}
	return steps
}

// drawStep draws one step.
func drawStep(rng *rand.Rand, kinds []Kind, hosts int, length time.Duration) Step {
	s := Step{
		At:   time.Duration(rng.Int64N(int64(length))),
		For:  minStepLength + time.Duration(rng.Int64N(int64(maxStepLength-minStepLength))),
		Kind: kinds[rng.IntN(len(kinds))],
	}
	affected := 1 + rng.IntN(max(hosts/3, 1))
	order := rng.Perm(hosts)
	switch s.Kind {
	case KillAll, StoreRestore, StoreDown, StoreUnresponsive, StoreSlow, StoreLoseReplies, StoreDropHistory, ConfigChange, ConfigBurst:
	case StallAllConnections:
		drawStall(rng, &s)
	case StallConnections:
		s.Hosts = order[:affected]
		drawStall(rng, &s)
	case ServerReplace:
		s.Hosts, s.For = order[:1], replaceLength
	case Evacuate:
		s.Hosts, s.For = order[:1], evacuateLength
	case ServerFault:
		s.Hosts = order[:affected]
		s.Behaviour = serverFaults[rng.IntN(len(serverFaults))]
	default:
		s.Hosts = order[:affected]
	}
	return s
}
