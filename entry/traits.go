// SPDX-License-Identifier: MIT

package entry

import (
	"sync"
	"time"

	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/retry"
	"github.com/ryehaven/ryehaven/table"
)

// traits are what an entry has learned of a route's requests. The zero value
// has learned nothing.
type traits struct {
	mu    sync.Mutex
	delay retry.Delay
	bytes float64
}

// bytesShare weighs one request in the mean of bytes.
const bytesShare = 0.05

// observe takes an answer: its latency and the bytes of request and answer.
func (t *traits) observe(latency time.Duration, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delay.Observe(latency)
	if t.bytes == 0 {
		t.bytes = float64(bytes)
	}
	t.bytes += bytesShare * (float64(bytes) - t.bytes)
}

// demand returns what a request of the route asks whose aim is at a time.
func (t *traits) demand(now, aim time.Time) balance.Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	usual, _ := t.delay.Median()
	return balance.Demand{Work: usual, Aim: max(aim.Sub(now), time.Millisecond), Bytes: t.bytes}
}

// after returns when such a request has waited unusually long.
func (t *traits) after() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.delay.After()
}

// traitsOf returns what is known of a route's requests.
func (e *Entry) traitsOf(route *table.Route) *traits {
	key := route.Host + route.Prefix
	e.traitsMu.Lock()
	defer e.traitsMu.Unlock()
	t := e.traits[key]
	if t == nil {
		t = &traits{}
		e.traits[key] = t
	}
	return t
}

// dropTraits forgets routes that the table no longer has.
func (e *Entry) dropTraits(t *table.Table) {
	known := map[string]bool{}
	for _, r := range t.Routes() {
		known[r.Host+r.Prefix] = true
	}
	e.traitsMu.Lock()
	defer e.traitsMu.Unlock()
	for key := range e.traits {
		if !known[key] {
			delete(e.traits, key)
		}
	}
}
