// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/ryehaven/ryehaven/internal/faultproxy"
	"github.com/ryehaven/ryehaven/platform/emulator"
)

// inject runs one step to its end and records the time that it took.
func (s *site) inject(ctx context.Context, step Step) {
	if step.Kind == StallAllConnections {
		s.stallAllHosts(ctx, step)
		return
	}
	if step.Kind == ServerCrash {
		s.recordDuring(AllHosts, step, func() { s.crashServers(ctx, step) })
		return
	}
	hosts := step.Hosts
	if step.Kind == KillAll {
		hosts = nil
		for i := range s.hosts {
			hosts = append(hosts, i)
		}
	}
	if len(hosts) == 0 {
		s.recordDuring(AllHosts, step, func() { s.injectStore(ctx, step) })
		return
	}
	var wait sync.WaitGroup
	for _, i := range hosts {
		wait.Go(func() { s.recordDuring(i, step, func() { s.injectHost(ctx, s.hosts[i], step) }) })
	}
	wait.Wait()
}

// recordDuring runs a disturbance and records its time.
func (s *site) recordDuring(host int, step Step, disturb func()) {
	from := time.Now()
	disturb()
	isPlanned := isPlanned(step.Kind)
	if isPlanned && host == AllHosts {
		return // A change of the configuration disturbs no host.
	}
	d := Disturbance{Host: host, From: from, To: time.Now(), Kind: step.Kind, Unplanned: !isPlanned}
	switch step.Kind {
	case Reload: // The host's node and its server keep running.
	case ServerReplace, Evacuate, ServerCold, ServerHang, ServerExit, ServerCrash, ServerRateLimit, ServerLeaves: // The node keeps running.
		s.addReducedCapacity(d)
	default:
		s.addDisturbance(d)
	}
}

func isPlanned(k Kind) bool {
	for _, p := range plannedKinds {
		if p == k {
			return true
		}
	}
	return false
}

// burstChanges is the number of configurations in a ConfigBurst. slowStoreDelay delays the
// answers of a slow store, lostReplies is the number of writes that it does not answer,
// linkDelay delays data, and slowPercent is the service time of a slow server in percent of
// the usual one.
const (
	burstChanges   = 8
	slowStoreDelay = 400 * time.Millisecond
	lostReplies    = 3
	linkDelay      = 60 * time.Millisecond
	slowPercent    = 800
)

// injectStore runs a step that affects the configuration or the store.
func (s *site) injectStore(ctx context.Context, step Step) {
	switch step.Kind {
	case ConfigChange:
		s.change()
	case ConfigBurst:
		for range burstChanges {
			s.change()
			pause(ctx, step.For/burstChanges)
		}
	case StoreDropHistory:
		s.store.ForgetHistory()
	case StoreRestore:
		old := s.store.Snapshot()
		if step.Twice {
			old = s.initialStore // It contains no node.
		}
		pause(ctx, step.For)
		s.adjustStoreFault(StoreDown, 1)
		s.restoreStore(old)
		s.adjustStoreFault(StoreDown, -1)
	default:
		s.adjustStoreFault(step.Kind, 1)
		pause(ctx, step.For)
		s.adjustStoreFault(step.Kind, -1)
	}
}

// adjustStoreFault changes the number of steps that demand a fault of the store, and puts
// the faults into effect that at least one step demands.
func (s *site) adjustStoreFault(k Kind, change int) {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	s.storeFaults[k] += change
	var f emulator.Faults
	f.Down = s.storeFaults[StoreDown] > 0
	f.Unresponsive = s.storeFaults[StoreUnresponsive] > 0
	if s.storeFaults[StoreSlow] > 0 {
		f.Delay = slowStoreDelay
	}
	if s.storeFaults[StoreLoseReplies] > 0 {
		f.LostReplies = lostReplies
	}
	s.store.SetFaults(f)
}

// linkFaults holds the proxy's fault for each kind of step.
var linkFaults = map[Kind]faultproxy.Fault{
	PeerCut:         {Refuse: true, Cut: true},
	PeerReset:       {Cut: true},
	PeerStall:       {HoldForward: true, HoldBackward: true},
	PeerStallOneWay: {HoldBackward: true},
	PeerDelay:       {Delay: linkDelay},
	StoreCut:        {Refuse: true, Cut: true},
	ServerReset:     {Cut: true},
	ServerStall:     {HoldForward: true, HoldBackward: true},
	ServerDelay:     {Delay: linkDelay},
}

// injectHost runs a step on one host.
func (s *site) injectHost(ctx context.Context, h *host, step Step) {
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
	case PeerReset:
		injectLink(ctx, h.peer, step.Kind, 0)
	case PeerCut, PeerStall, PeerStallOneWay, PeerDelay:
		injectLink(ctx, h.peer, step.Kind, step.For)
	case StoreCut:
		injectLink(ctx, h.store, step.Kind, step.For)
	case ServerReset:
		injectLink(ctx, h.toServer, step.Kind, 0)
	case ServerStall, ServerDelay:
		injectLink(ctx, h.toServer, step.Kind, step.For)
	case ServerFault:
		h.currentServer().SetBehaviour(step.Behaviour)
		pause(ctx, step.For)
		h.currentServer().SetBehaviour(emulator.Answer)
	case ServerHang:
		h.currentServer().SetBehaviour(emulator.Hang)
		pause(ctx, step.For)
		h.currentServer().SetBehaviour(emulator.Answer)
	case ServerSlow:
		h.currentServer().SetSlowness(slowPercent)
		pause(ctx, step.For)
		h.currentServer().SetSlowness(100)
	case ServerCold:
		h.currentServer().SetCold(step.For)
		pause(ctx, step.For)
	case StallConnections:
		h.stallConnections(step.stalled())
	case Evacuate:
		s.evacuate(ctx, h.zone, step.For)
	case ServerReplace:
		h.replaceServer(step.For)
	case ServerRateLimit:
		h.reportLimits(ctx, step)
	case ServerLeaves:
		h.leaveUnannounced(ctx, step.For)
	case ServerExit:
		h.closeServerAbruptly()
	}
}

// injectLink applies the fault of a kind of step to a link for a time.
func injectLink(ctx context.Context, p *faultproxy.Proxy, k Kind, length time.Duration) {
	p.Set(linkFaults[k])
	pause(ctx, length)
	p.Set(faultproxy.Fault{})
}

// clockSteps holds the shifts of a node's wall clock.
var clockSteps = []time.Duration{-5 * time.Second, 3 * time.Second}

// restart stops a node's process and starts the next one.
func (s *site) restart(ctx context.Context, h *host, step Step) {
	if !h.restarting.TryLock() {
		return // Another step restarts the node at the moment.
	}
	defer h.restarting.Unlock()
	h.signal(syscall.SIGCONT)
	signal := syscall.SIGKILL
	if step.Kind == Stop {
		signal = syscall.SIGTERM
	}
	h.stopProcess(signal, stopTimeout+time.Second)
	if step.Kind == ClockStep {
		h.clockStep = clockSteps[int(step.For)%len(clockSteps)]
	}
	pause(ctx, step.For/4)
	h.upgraded = true
	if err := h.start(); err != nil {
		s.note("host %d: %v", h.number, err)
		s.addProcess(NodeProcess{Host: h.number, To: time.Now(), Unexpected: err.Error()})
	}
}

// reload changes the node's settings file and sends SIGHUP.
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
