// SPDX-License-Identifier: MIT

//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/ryehaven/ryehaven/platform/emulator"
)

// startOrders starts three machines with targets for orders and one for reads, and waits until all
// is well.
func (e *environment) startOrders() (targets []*target, err error) {
	s := e.site
	for i, zone := range []string{"za", "zb", "zc"} {
		t, err := e.addTarget(fmt.Sprintf("i-a%d", i+1), zone, "arzator", 500*time.Millisecond)
		if err != nil {
			return targets, err
		}
		targets = append(targets, t)
	}
	other, err := e.addTarget("i-t1", "za", "telemetrie", 20*time.Millisecond)
	if err != nil {
		return targets, err
	}
	targets = append(targets, other)
	s.store.Put("config", "main", emulator.Configuration(7, []string{"arzator", "telemetrie"}, []emulator.Route{
		{Prefix: "/order/", Service: "arzator", TimeoutMs: 1200, AimMs: 800, Attempts: 3},
		{Prefix: "/lock/", Service: "arzator", Repeatable: true, TimeoutMs: 400, AimMs: 120, Attempts: 3, Priority: 1},
		{Prefix: "/read/", Service: "telemetrie", Repeatable: true, TimeoutMs: 1000, AimMs: 400, Attempts: 3, Priority: 2},
	}))
	for _, m := range s.machines {
		if err := m.start(); err != nil {
			return targets, err
		}
	}
	if err := s.waitReady(10 * time.Second); err != nil {
		return targets, err
	}
	for _, t := range targets {
		if status := t.beat("ready"); status != http.StatusOK {
			return targets, fmt.Errorf("first heartbeat of %s: %d", t.id, status)
		}
	}
	time.Sleep(contactTime)
	for i, m := range s.machines {
		if got := send(e.record, m, "POST", fmt.Sprintf("/order/first%d", i), "restart", 1200*time.Millisecond); got.status != http.StatusOK {
			return targets, fmt.Errorf("first order at %s: %d %v", m.name, got.status, got.err)
		}
	}
	for _, t := range targets {
		t.beat("ready")
		go t.beats()
	}
	return targets, nil
}

// addTarget adds a machine with a target whose requests run for the given time.
func (e *environment) addTarget(id, zone, service string, work time.Duration) (*target, error) {
	m, err := e.site.addMachine(zone, service)
	if err != nil {
		return nil, err
	}
	return newTarget(id, m, 12, work, e.record)
}

// restartAll kills all nodes at once and starts them again.
func (e *environment) restartAll() error {
	e.record.event("all nodes are killed")
	for _, m := range e.site.machines {
		m.kill()
	}
	time.Sleep(restartDelay)
	for _, m := range e.site.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	e.record.event("all nodes are started again")
	return nil
}

// ordersLater sends reads until orders come again, later than drainMs after the leaving of a target
// was acknowledged and later than contactMs after the nodes were started. The target ends while it
// works on what has reached it. ordersLater returns whether any order reached it.
func (e *environment) ordersLater(targets []*target, leaver *target, acknowledged, restarted time.Time) (verdict, error) {
	s := e.site
	orders := acknowledged.Add(drainTime + 300*time.Millisecond)
	if inTouch := restarted.Add(contactTime + 300*time.Millisecond); inTouch.After(orders) {
		orders = inTouch
	}
	reader := s.machines[len(s.machines)-1]
	for time.Until(orders) > 250*time.Millisecond { // Other work goes on.
		send(e.record, reader, "GET", "/read/status", "", time.Second)
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(time.Until(orders))
	var wait sync.WaitGroup
	var mu sync.Mutex
	var replies []reply
	for i := range 12 {
		wait.Go(func() {
			got := send(e.record, s.machines[i%len(s.machines)], "POST", fmt.Sprintf("/order/late%d", i), "restart", 1200*time.Millisecond)
			mu.Lock()
			replies = append(replies, got)
			mu.Unlock()
		})
	}
	time.Sleep(300 * time.Millisecond)
	leaver.end()
	wait.Wait()
	late, lost := 0, 0
	for _, a := range e.record.all() {
		if a.target != leaver.id || a.at.Sub(acknowledged) <= drainTime {
			continue
		}
		late++
		for _, got := range replies {
			if got.id == a.request && got.status != http.StatusOK {
				lost++
			}
		}
	}
	why := fmt.Sprintf("%d orders reached %s later than drainMs after its leaving was acknowledged; %d of them were lost when it ended", late, leaver.id, lost)
	return verdict{late > 0, why}, nil
}
