// SPDX-License-Identifier: MIT

package admit

import (
	"math"
	"time"
)

// A tenant whose requests suddenly come many times as often fills the queues of a busy
// server, and the others find no room. What waits is therefore dispatched by what each
// tenant has had of the server of late for its weight, least first, as weighted fair
// queueing does (Demers, Keshav and Shenker 1989) by a count that fades in place of
// virtual time; and where the queue is full, or the wait would be too long, the tenant
// that has had the most is refused.

const (
	// sharesFade is the time in which what a tenant has had counts for a third of it.
	sharesFade = time.Second
	// leastShare is what a tenant must have had to be remembered.
	leastShare = 0.01
	// clearlyMore is by how much more, in requests for a weight of 1 relative to the mean,
	// a tenant must have had than another to give up its place in the queue.
	clearlyMore = 1
)

// shares count what tenants have had of a server. The zero value is empty.
type shares struct {
	used map[string]float64
	at   time.Time
}

// add counts a dispatched ticket.
func (s *shares) add(now time.Time, t *Ticket) {
	if t.Tenant == "" {
		return
	}
	s.fade(now)
	if s.used == nil {
		s.used = map[string]float64{}
	}
	weight := t.Weight
	if weight <= 0 {
		weight = 1
	}
	s.used[t.Tenant] += 1 / weight
}

// of returns what the tenant of a ticket has had until now, for its weight.
func (s *shares) of(now time.Time, t *Ticket) float64 {
	if t.Tenant == "" {
		return 0
	}
	s.fade(now)
	return s.used[t.Tenant]
}

// last returns what the tenant of a ticket had had when that was last counted.
func (s *shares) last(t *Ticket) float64 { return s.used[t.Tenant] }

// fadeEvery is how often counts are faded: more often tells nobody apart.
const fadeEvery = 20 * time.Millisecond

func (s *shares) fade(now time.Time) {
	passed := now.Sub(s.at)
	if passed < fadeEvery {
		return
	}
	s.at = now
	factor := fading(passed, sharesFade)
	for tenant, used := range s.used {
		if used *= factor; used < leastShare {
			delete(s.used, tenant)
			continue
		}
		s.used[tenant] = used
	}
}

// fading is what is left after a time of what fades to a third in another.
func fading(passed, in time.Duration) float64 {
	return math.Exp(-passed.Seconds() / in.Seconds())
}
