// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"sync"
	"time"

	"github.com/ryehaven/ryehaven/metric"
	"github.com/ryehaven/ryehaven/platform/emulator"
)

// ending is how a request ended for its caller.
type ending int

// The endings, in the order in which charts stack them.
const (
	inAimEnd ending = iota
	lateEnd
	refusedEnd
	failedEnd
	endings
)

var endingNames = [endings]string{"in aim", "late", "refused", "failed"}

// recordedCall is one request; times count from the start of the run.
type recordedCall struct {
	due, took time.Duration
	end       ending
	// server answered; blank if none did. near says that it stands in the zone
	// where the request began.
	server string
	near   bool
}

// recordedSpeed is a change of a server's speed.
type recordedSpeed struct {
	at      time.Duration
	server  string
	percent int
}

// recordedCounters are sums over all nodes at a moment.
type recordedCounters struct {
	at                      time.Duration
	retries, denied, hedges int64
}

// add adds one node's counters.
func (c *recordedCounters) add(set metric.Set) {
	for _, m := range set {
		switch m.Name {
		case "entry_retries":
			c.retries += m.Value()
		case "entry_retries_denied":
			c.denied += m.Value()
		case "entry_hedges":
			c.hedges += m.Value()
		}
	}
}

// recording is what happened in one run, for its report. Make it with start.
type recording struct {
	mu       sync.Mutex
	began    time.Time
	zones    map[string]string
	calls    []recordedCall
	speeds   []recordedSpeed
	counters []recordedCounters
}

func (r *recording) start(site *emulator.Site) {
	r.began = time.Now()
	r.zones = map[string]string{}
	for _, h := range site.Hosts {
		r.zones[h.Server.ID] = h.Zone
	}
}

func (r *recording) call(from *emulator.Host, server string, due time.Time, took time.Duration, end ending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, recordedCall{
		due: due.Sub(r.began), took: took, end: end, server: server, near: r.zones[server] == from.Zone,
	})
}

func (r *recording) speed(server string, percent int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.speeds = append(r.speeds, recordedSpeed{time.Since(r.began), server, percent})
}

// countersEvery is the time between two looks at the nodes' counters.
const countersEvery = 250 * time.Millisecond

// runCounters looks at the nodes' counters until ctx ends.
func (r *recording) runCounters(ctx context.Context, site *emulator.Site) {
	ticker := time.NewTicker(countersEvery)
	defer ticker.Stop()
	for {
		c := recordedCounters{at: time.Since(r.began)}
		for _, h := range site.Hosts {
			c.add(h.Node.Metrics())
		}
		r.mu.Lock()
		r.counters = append(r.counters, c)
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
