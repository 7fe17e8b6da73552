// SPDX-License-Identifier: MIT

//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ryehaven/ryehaven/platform/emulator"
)

// zoneSize is the number of machines of the zone in which some are cut off, watchers the number of
// those that watch the store, and otherMachines the number of machines of the other zone.
const (
	zoneSize      = 4
	watchers      = 2
	otherMachines = 2
)

// Times of the case with a cut, counted from its beginning.
const (
	changeAfter = 3 * time.Second
	cutFor      = 12 * time.Second
	// configApplyTime is configApplyMs.
	configApplyTime = 2 * time.Second
)

// peerProxy stands before the peer port of a machine. While a group of machines is cut off, it resets
// what passes between the group and the others and refuses new connections.
type peerProxy struct {
	owner *machine
	links *links
}

// links knows which machines are cut off from the others.
type links struct {
	mu       sync.Mutex
	machines []*machine
	group    map[string]bool
	open     map[*passage]bool
}

// passage is an open connection from one machine to another.
type passage struct {
	from, to    string
	dialed, far net.Conn
}

func (p *passage) reset() {
	for _, c := range []net.Conn{p.dialed, p.far} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

// cut cuts a group off from the other machines; without a group the cut heals.
func (l *links) cut(group ...*machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.group = map[string]bool{}
	for _, m := range group {
		l.group[m.name] = true
	}
	for p := range l.open {
		if l.group[p.from] != l.group[p.to] {
			p.reset()
		}
	}
}

// add registers a passage and reports whether the machines are not cut off from each other.
func (l *links) add(p *passage) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.group[p.from] != l.group[p.to] {
		return false
	}
	l.open[p] = true
	return true
}

func (l *links) remove(p *passage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, p)
}

func (p *peerProxy) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

// forward passes a connection on. The first bytes of the machine that has opened it contain its name.
func (p *peerProxy) forward(c net.Conn) {
	defer c.Close()
	first := make([]byte, 4096)
	n, err := c.Read(first)
	if err != nil {
		return
	}
	far, err := net.Dial("tcp", p.owner.peer)
	if err != nil {
		return
	}
	defer far.Close()
	way := &passage{to: p.owner.name, dialed: c, far: far}
	for _, m := range p.links.machines {
		if bytes.Contains(first[:n], []byte(m.name)) {
			way.from = m.name
		}
	}
	if !p.links.add(way) {
		way.reset()
		return
	}
	defer p.links.remove(way)
	if _, err := far.Write(first[:n]); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	pass := func(out, in net.Conn) {
		_, _ = io.Copy(out, in)
		if half, ok := out.(*net.TCPConn); ok {
			_ = half.CloseWrite()
		}
		done <- struct{}{}
	}
	go pass(far, c)
	go pass(c, far)
	<-done
	<-done
}

// changeDuringCut cuts those machines of a zone off from all others that don't watch the store; they
// reach each other and the store. Meanwhile the configuration changes. Later than configApplyMs after the change was
// acknowledged, no request there may be handled as only the older version allows.
func changeDuringCut(e *environment) (verdict, error) {
	s := e.site
	var names []string
	for i := range zoneSize {
		names = append(names, fmt.Sprintf("sidecar-za-%d", i+1))
	}
	sort.Slice(names, func(i, j int) bool { // The first two watch the store for their zone.
		return xxhash.Sum64String("watch\x00"+names[i]) > xxhash.Sum64String("watch\x00"+names[j])
	})
	services := map[string]string{}
	for i, name := range names {
		services[name] = []string{"arzator", "program"}[i%2]
	}
	var targets []*target
	defer func() {
		for _, t := range targets {
			t.end()
		}
	}()
	network := &links{open: map[*passage]bool{}}
	for i := range zoneSize + otherMachines {
		zone := []string{"za", "zb"}[i/zoneSize]
		name := fmt.Sprintf("sidecar-%s-%d", zone, i+1)
		if services[name] == "" {
			services[name] = []string{"arzator", "program"}[i%2]
		}
		t, err := e.addTarget(fmt.Sprintf("i-%d", i+1), zone, services[name], 50*time.Millisecond)
		if err != nil {
			return verdict{}, err
		}
		targets = append(targets, t)
		host, _, _ := net.SplitHostPort(t.machine.peer)
		t.machine.advertise = net.JoinHostPort(host, "7621")
		listener, err := net.Listen("tcp", t.machine.advertise)
		if err != nil {
			return verdict{}, err
		}
		defer listener.Close()
		go (&peerProxy{owner: t.machine, links: network}).serve(listener)
	}
	network.machines = s.machines
	var group []*machine
	for _, m := range s.machines {
		if slices.Contains(names[watchers:], m.name) {
			group = append(group, m)
		}
	}
	older := []emulator.Route{{Prefix: "/order/", Service: "arzator", TimeoutMs: 1200, AimMs: 400, Attempts: 3}}
	newer := []emulator.Route{
		{Prefix: "/order/", Service: "program", TimeoutMs: 1200, AimMs: 400, Attempts: 3},
		{Prefix: "/added/", Service: "program", TimeoutMs: 1200, AimMs: 400, Attempts: 3},
	}
	s.store.Put("config", "main", emulator.Configuration(7, []string{"arzator", "program"}, older))
	for _, m := range s.machines {
		if err := m.start(); err != nil {
			return verdict{}, err
		}
	}
	if err := s.waitReady(10 * time.Second); err != nil {
		return verdict{}, err
	}
	for _, t := range targets {
		t.beat("ready")
		go t.beats()
	}
	time.Sleep(2 * contactTime)
	for i, m := range s.machines {
		if got := send(e.record, m, "POST", fmt.Sprintf("/order/first%d", i), "order", 1200*time.Millisecond); got.status != http.StatusOK {
			return verdict{}, fmt.Errorf("first order at %s: %d %v", m.name, got.status, got.err)
		}
	}
	began := time.Now()
	if e.trouble {
		for _, m := range group {
			e.record.event("%s is cut off from the machines outside the group", m.name)
		}
		network.cut(group...)
	}
	time.Sleep(time.Until(began.Add(changeAfter)))
	s.store.Put("config", "main", emulator.Configuration(9, []string{"arzator", "program"}, newer))
	acknowledged := time.Now()
	e.record.event("version 9 is acknowledged")
	time.Sleep(configApplyTime + 200*time.Millisecond)
	byOlder, unknown, sent := 0, 0, 0
	for i := 0; time.Since(began) < cutFor-1500*time.Millisecond; i++ {
		m := group[i%len(group)]
		order := send(e.record, m, "POST", fmt.Sprintf("/order/late%d", i), "order", 1200*time.Millisecond)
		added := send(e.record, m, "POST", fmt.Sprintf("/added/late%d", i), "order", 1200*time.Millisecond)
		sent += 2
		if added.status == http.StatusNotFound {
			unknown++
		}
		for _, a := range e.record.all() {
			if a.request == order.id && services[targetMachine(targets, a.target)] == "arzator" {
				byOlder++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Until(began.Add(cutFor)))
	if e.trouble {
		e.record.event("the cut heals")
		network.cut()
	}
	why := fmt.Sprintf("of %d requests sent %v to %v after version 9 was acknowledged, %d orders were run by the service that only version 7 names, and %d got 404 though version 9 has their route",
		sent, configApplyTime+200*time.Millisecond, began.Add(cutFor-1500*time.Millisecond).Sub(acknowledged).Round(100*time.Millisecond), byOlder, unknown)
	return verdict{byOlder+unknown > 0, why}, nil
}

func targetMachine(targets []*target, id string) string {
	for _, t := range targets {
		if t.id == id {
			return t.machine.name
		}
	}
	return ""
}
