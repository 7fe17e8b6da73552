// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"sync"
	"time"

	"github.com/ryehaven/ryehaven/metric"
	"github.com/ryehaven/ryehaven/platform/emulator"
)

// callResult is the result of a request for its caller.
type callResult int

// The results, in the order in which charts stack them.
const (
	resultInAim callResult = iota
	resultLate
	resultRefused
	resultFailed
	callResultCount
)

var callResultNames = [callResultCount]string{"in aim", "late", "refused", "failed"}

// recordedCall is one request; times count from the start of the run.
type recordedCall struct {
	due, took time.Duration
	result    callResult
	// server is the server that answered, "" if none did. sameZone tells whether it is in
	// the zone of the node that received the request.
	server   string
	sameZone bool
}

// recordedSlowness is a change of a server's slowness, in percent of its usual service
// time.
type recordedSlowness struct {
	at      time.Duration
	server  string
	percent int
}

// recordedCounters are the sums of counters over all nodes at a time.
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

// recording collects the events of one run for its report. start must be called first.
type recording struct {
	mu              sync.Mutex
	began           time.Time
	zones           map[string]string
	calls           []recordedCall
	slownessChanges []recordedSlowness
	counters        []recordedCounters
}

func (r *recording) start(site *emulator.Site) {
	r.began = time.Now()
	r.zones = map[string]string{}
	for _, h := range site.Hosts {
		r.zones[h.Server.ID] = h.Zone
	}
}

func (r *recording) recordCall(from *emulator.Host, server string, due time.Time, took time.Duration, result callResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, recordedCall{
		due: due.Sub(r.began), took: took, result: result, server: server, sameZone: r.zones[server] == from.Zone,
	})
}

func (r *recording) recordSlowness(server string, percent int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slownessChanges = append(r.slownessChanges, recordedSlowness{time.Since(r.began), server, percent})
}

// countersInterval is the interval at which the nodes' counters are read.
const countersInterval = 250 * time.Millisecond

// recordCounters records the nodes' counters at intervals until ctx ends.
func (r *recording) recordCounters(ctx context.Context, site *emulator.Site) {
	ticker := time.NewTicker(countersInterval)
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
