// SPDX-License-Identifier: MIT

//go:build review

package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/ryehaven/ryehaven/platform/emulator"
)

// Times and paths of the case with crashes.
const (
	crashPath = "/order/poison"
	// backAfter is how long a target that has crashed is away.
	backAfter = 2 * time.Second
	// maxCrashRetries is how many retries may reach targets later than contactMs after the
	// third crash.
	maxCrashRetries = 3
)

// crashAfterPowerLoss sends a request that crashes each target that begins to run it, and sends it
// again. In between, all nodes are killed at once.
func crashAfterPowerLoss(e *environment) (verdict, error) {
	s := e.site
	var mu sync.Mutex
	var targets []*target
	var crashes []time.Time
	var newService func(id string, m *machine) error
	newService = func(id string, m *machine) error {
		t, err := newTarget(id, m, 12, 300*time.Millisecond, e.record)
		if err != nil {
			return err
		}
		t.crashPath = crashPath
		t.onCrash = func() {
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			time.Sleep(backAfter)
			if err := newService(id, m); err != nil { // Under the same ID, with a new start.
				e.record.event("%s is not back: %v", id, err)
			}
		}
		mu.Lock()
		targets = append(targets, t)
		mu.Unlock()
		go func() {
			t.beat("ready")
			t.beats()
		}()
		return nil
	}
	for i, zone := range []string{"za", "za", "za", "zb", "zb", "zb", "zc", "zc"} {
		m, err := s.addMachine(zone, "arzator")
		if err == nil {
			err = newService(fmt.Sprintf("i-a%d", i+1), m)
		}
		if err != nil {
			return verdict{}, err
		}
	}
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for _, t := range targets {
			t.end()
		}
	}()
	s.store.Put("config", "main", emulator.Configuration(7, []string{"arzator"}, []emulator.Route{
		{Prefix: "/order/", Service: "arzator", TimeoutMs: 1200, AimMs: 800, Attempts: 3},
	}))
	for _, m := range s.machines {
		if err := m.start(); err != nil {
			return verdict{}, err
		}
	}
	if err := s.waitReady(10 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(2*heartbeatTime + contactTime)
	poison := func(machines ...*machine) {
		var wait sync.WaitGroup
		for _, m := range machines {
			wait.Go(func() { send(e.record, m, "POST", crashPath, "same body", 1200*time.Millisecond) })
		}
		wait.Wait()
	}
	m := s.machines
	stop := make(chan struct{})
	defer close(stop)
	var lost, other int
	go func() { // Other orders go on.
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(60 * time.Millisecond):
			}
			go func() {
				got := send(e.record, m[i%len(m)], "POST", fmt.Sprintf("/order/n%d", i), "restart", 1200*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				other++
				if got.status == 502 {
					lost++
				}
			}()
		}
	}()
	poison(m[0], m[2], m[4], m[6]) // A caller that repeats three times at once.
	time.Sleep(2 * backAfter)
	for i := range 4 {
		poison(m[i%len(m)])
		time.Sleep(time.Second)
	}
	if e.trouble {
		e.record.event("all nodes are killed")
		for _, m := range s.machines {
			m.kill()
		}
		time.Sleep(restartDelay)
		for _, m := range s.machines {
			if err := m.start(); err != nil {
				return verdict{}, err
			}
		}
		e.record.event("all nodes are started again")
	}
	time.Sleep(contactTime + heartbeatTime)
	poison(m[0], m[2], m[4], m[6])
	time.Sleep(2 * backAfter)
	for i := range 4 {
		poison(m[i%len(m)])
		time.Sleep(time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 3 {
		return verdict{why: fmt.Sprintf("%d crashes", len(crashes))}, nil
	}
	late := 0
	for _, a := range e.record.all() {
		if a.path == crashPath && a.at.Sub(crashes[2]) > contactTime {
			late++
		}
	}
	why := fmt.Sprintf("%d retries reached targets later than contactMs after the third crash, %d targets crashed in all, %d of %d other orders were lost with them", late, len(crashes), lost, other)
	return verdict{late > maxCrashRetries, why}, nil
}
