// SPDX-License-Identifier: MIT

package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/internal/faultproxy"
	"github.com/ryehaven/ryehaven/internal/process"
)

// fault is a row of the table of faults by promises. The first three nodes
// have a server each; requests go through nodes 4 and 5, and through node 3,
// whose gate and entry share a process.
type fault struct {
	name string
	// cause and heal act on the site; heal may be nil.
	cause func(t *testing.T, s *process.Site)
	heal  func(t *testing.T, s *process.Site)
	// kills is set when an entry that serves the workload goes, so that its
	// callers' open requests are lost.
	kills bool
}

func links(change faultproxy.Fault, which ...int) func(*testing.T, *process.Site) {
	return func(_ *testing.T, s *process.Site) {
		for _, i := range which {
			s.Nodes[i].Peer.Set(change)
		}
	}
}

func signalNode(i int, signal syscall.Signal) func(*testing.T, *process.Site) {
	return func(t *testing.T, s *process.Site) {
		if err := s.Nodes[i].Signal(signal); err != nil {
			t.Error(err)
		}
	}
}

func signalServer(i int, signal syscall.Signal) func(*testing.T, *process.Site) {
	return func(t *testing.T, s *process.Site) {
		if err := s.Servers[i].Signal(signal); err != nil {
			t.Error(err)
		}
	}
}

func restartNode(i int) func(*testing.T, *process.Site) {
	return func(t *testing.T, s *process.Site) {
		s.Nodes[i].Wait()
		if err := s.StartNode(s.Nodes[i]); err != nil {
			t.Error(err)
		}
	}
}

func restartServer(i int) func(*testing.T, *process.Site) {
	return func(t *testing.T, s *process.Site) {
		s.Servers[i].Wait()
		if err := s.StartServer(s.Servers[i]); err != nil {
			t.Error(err)
		}
	}
}

func both(f, g func(*testing.T, *process.Site)) func(*testing.T, *process.Site) {
	return func(t *testing.T, s *process.Site) {
		f(t, s)
		g(t, s)
	}
}

func cutPlatform(f faultproxy.Fault) func(*testing.T, *process.Site) {
	return func(_ *testing.T, s *process.Site) {
		for _, n := range s.Nodes {
			n.Platform.Set(f)
		}
	}
}

var noFault = faultproxy.Fault{}

var faults = []fault{
	{name: "none", cause: func(*testing.T, *process.Site) {}},
	{name: "gate killed", cause: signalNode(0, syscall.SIGKILL), heal: restartNode(0)},
	{name: "entry killed", cause: signalNode(3, syscall.SIGKILL), heal: restartNode(3), kills: true},
	{name: "server killed", cause: signalServer(0, syscall.SIGKILL), heal: restartServer(0)},
	{name: "cut both ways", cause: links(faultproxy.Fault{Refuse: true, Cut: true}, 0, 1), heal: links(noFault, 0, 1)},
	{name: "held both ways", cause: links(faultproxy.Fault{HoldForward: true, HoldBackward: true}, 0), heal: links(noFault, 0)},
	{name: "cut towards the gate", cause: links(faultproxy.Fault{HoldForward: true}, 0), heal: links(noFault, 0)},
	{name: "cut towards the entry", cause: links(faultproxy.Fault{HoldBackward: true}, 0), heal: links(noFault, 0)},
	{name: "delay", cause: links(faultproxy.Fault{Delay: 40 * time.Millisecond}, 0, 1, 2), heal: links(noFault, 0, 1, 2)},
	{name: "drip", cause: links(faultproxy.Fault{BytesPerSecond: 2000}, 0), heal: links(noFault, 0)},
	{name: "gate frozen", cause: signalNode(0, syscall.SIGSTOP), heal: signalNode(0, syscall.SIGCONT)},
	{name: "entry frozen", cause: signalNode(3, syscall.SIGSTOP), heal: signalNode(3, syscall.SIGCONT)},
	{name: "server frozen", cause: signalServer(0, syscall.SIGSTOP), heal: signalServer(0, syscall.SIGCONT)},
	{name: "platform down", cause: cutPlatform(faultproxy.Fault{Refuse: true, Cut: true}), heal: cutPlatform(noFault)},
	{name: "platform held", cause: cutPlatform(faultproxy.Fault{HoldForward: true}), heal: cutPlatform(noFault)},
	{name: "gate frozen and platform down",
		cause: both(signalNode(0, syscall.SIGSTOP), cutPlatform(faultproxy.Fault{Refuse: true, Cut: true})),
		heal:  both(signalNode(0, syscall.SIGCONT), cutPlatform(noFault))},
	{name: "gate frozen and its link cut",
		cause: both(signalNode(0, syscall.SIGSTOP), links(faultproxy.Fault{Refuse: true, Cut: true}, 0)),
		heal:  both(signalNode(0, syscall.SIGCONT), links(noFault, 0))},
	{name: "server killed and gate frozen",
		cause: both(signalServer(0, syscall.SIGKILL), signalNode(1, syscall.SIGSTOP)),
		heal:  both(restartServer(0), signalNode(1, syscall.SIGCONT))},
	{name: "all gates frozen at once",
		cause: both(signalNode(0, syscall.SIGSTOP), both(signalNode(1, syscall.SIGSTOP), signalNode(2, syscall.SIGSTOP))),
		heal:  both(signalNode(0, syscall.SIGCONT), both(signalNode(1, syscall.SIGCONT), signalNode(2, syscall.SIGCONT)))},
}

const (
	before = 300 * time.Millisecond
	during = time.Second
	after  = 500 * time.Millisecond
	// workers is fewer than the site's slots, so that nothing is refused
	// without a fault.
	workers = 18
)

func TestFaultsByPromises(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) { testFault(t, f) })
	}
}

func testFault(t *testing.T, f fault) {
	s := start(t, 5, nil)
	began := time.Now()
	entries := s.Nodes[2:]
	w := startWorkload(callers(entries), workers)
	time.Sleep(before)
	f.cause(t, s)
	time.Sleep(during)
	if f.heal != nil {
		f.heal(t, s)
	}
	waitServed(t, callers(entries))
	time.Sleep(after)
	all := w.end()
	counts := count(all)
	t.Logf("%d answered, %d failed, %d not run, %d unknown", counts[answered], counts[failedAnswer], counts[notRun], counts[unknown])
	checkPromises(t, s, all)
	checkMeasuring(t, s, time.Since(began))
	if counts[answered] == 0 {
		t.Error("nothing was answered at all")
	}
	if f.name == "none" {
		checkAllAnswered(t, all)
	}
}

// Nodes that stand still for a moment, as on a busy host, lose no request: while there
// is no other server to ask, or the retry budget does not pay, a silent one is waited for.
func TestNodesThatStandStillForAMomentLoseNothing(t *testing.T) {
	s := start(t, 5, func(c *process.Config) { c.Columns["retry_percent"] = "0" })
	w := startWorkload(callers(s.Nodes[3:]), workers)
	time.Sleep(before)
	for range 5 {
		began := time.Now()
		for i := range 3 {
			signalNode(i, syscall.SIGSTOP)(t, s)
		}
		time.Sleep(150 * time.Millisecond)
		for i := range 3 {
			signalNode(i, syscall.SIGCONT)(t, s)
		}
		t.Logf("stood still from %s for %v", began.Format("05.000"), time.Since(began))
		time.Sleep(300 * time.Millisecond)
	}
	all := w.end()
	checkPromises(t, s, all)
	checkAllAnswered(t, all)
}
