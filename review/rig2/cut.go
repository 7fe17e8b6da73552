// SPDX-License-Identifier: MIT

//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ryehaven/ryehaven/platform/emulator"
)

// Times of the case with a cut, counted from its beginning.
const (
	changeAfter = time.Second
	cutFor      = 8 * time.Second
	// configApplyTime is configApplyMs.
	configApplyTime = 2 * time.Second
)

// peerProxy stands before the peer port of a machine. It holds back everything between the machines
// of a group and the others while they are cut off from each other.
type peerProxy struct {
	owner *machine
	links *links
}

// links knows which machines are cut off from the others.
type links struct {
	mu       sync.Mutex
	machines []*machine
	group    map[string]bool
	changed  chan struct{}
}

func (l *links) cut(group ...*machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.group = map[string]bool{}
	for _, m := range group {
		l.group[m.name] = true
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// waitOpen waits until two machines are not cut off from each other.
func (l *links) waitOpen(a, b string) {
	for {
		l.mu.Lock()
		separated, changed := l.group[a] != l.group[b], l.changed
		l.mu.Unlock()
		if !separated {
			return
		}
		<-changed
	}
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
	from := ""
	for _, m := range p.links.machines {
		if bytes.Contains(first[:n], []byte(m.name)) {
			from = m.name
		}
	}
	p.links.waitOpen(from, p.owner.name)
	to, err := net.Dial("tcp", p.owner.peer)
	if err != nil {
		return
	}
	defer to.Close()
	if _, err := to.Write(first[:n]); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	pass := func(out, in net.Conn) {
		defer func() { done <- struct{}{} }()
		buf := make([]byte, 32<<10)
		for {
			n, err := in.Read(buf)
			p.links.waitOpen(from, p.owner.name)
			if n > 0 {
				if _, err := out.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				if err != io.EOF {
					return
				}
				if half, ok := out.(*net.TCPConn); ok {
					_ = half.CloseWrite()
				}
				return
			}
		}
	}
	go pass(to, c)
	go pass(c, to)
	<-done
	<-done
}

// changeDuringCut cuts two machines of a zone off from all others; they reach each other and the
// store. Meanwhile the configuration changes. Later than configApplyMs after the change was
// acknowledged, no request there may be handled as only the older version allows.
func changeDuringCut(e *environment) (verdict, error) {
	s := e.site
	names := []string{"sidecar-za-1", "sidecar-za-2", "sidecar-za-3", "sidecar-za-4"}
	sort.Slice(names, func(i, j int) bool { // The first two watch the store for their zone.
		return xxhash.Sum64String("watch\x00"+names[i]) > xxhash.Sum64String("watch\x00"+names[j])
	})
	services := map[string]string{names[0]: "arzator", names[1]: "program", names[2]: "arzator", names[3]: "program", "sidecar-zb-5": "arzator", "sidecar-zb-6": "program"}
	var targets []*target
	defer func() {
		for _, t := range targets {
			t.end()
		}
	}()
	network := &links{changed: make(chan struct{})}
	for i, zone := range []string{"za", "za", "za", "za", "zb", "zb"} {
		name := fmt.Sprintf("sidecar-%s-%d", zone, i+1)
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
		if m.name == names[2] || m.name == names[3] {
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
		e.record.event("%s and %s are cut off from the other machines", group[0].name, group[1].name)
		network.cut(group...)
	}
	time.Sleep(time.Until(began.Add(changeAfter)))
	s.store.Put("config", "main", emulator.Configuration(9, []string{"arzator", "program"}, newer))
	acknowledged := time.Now()
	e.record.event("version 9 is acknowledged")
	time.Sleep(configApplyTime + 200*time.Millisecond)
	byOlder, unknown, sent := 0, 0, 0
	for i := 0; time.Since(began) < cutFor-1500*time.Millisecond; i++ {
		m := group[i%2]
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
