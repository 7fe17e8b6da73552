// SPDX-License-Identifier: MIT

package admit

import (
	"math"
	"time"
)

// timeliness reports whether a ticket would meet its aim and its deadline if the server began it
// now.
type timeliness uint8

const (
	// meetsAim: the answer is expected before the aim, or the ticket has none.
	meetsAim timeliness = iota
	// missesAim: the answer is expected before the deadline, but at least three quarters of such
	// requests would be answered after the aim.
	missesAim
	// missesDeadline: the answer is expected after the deadline, when nobody waits for it.
	missesDeadline
)

// SetSlowdown sets how many times longer than usual a request takes at the server now, from
// its cold start and all other causes together. Values below 1 count as 1.
func (q *Queue) SetSlowdown(times float64) { q.slowdown = times }

// expectedTime is how long a ticket is expected to take if it begins now; 0 if that is not
// known. A request that began while the server was slow is not expected to become faster
// when the server does.
func (q *Queue) expectedTime(t *Ticket) time.Duration {
	return time.Duration(float64(t.Work) * max(q.slowdown, 1))
}

// timeliness reports whether a ticket that begins now would meet its aim and its deadline.
// Calls have no aim here, since the request that makes a call waits for it beyond its aim too.
func (q *Queue) timeliness(now time.Time, t *Ticket) timeliness {
	if t.Aim.IsZero() {
		return meetsAim
	}
	switch {
	case q.expectedTime(t) > t.Deadline.Sub(now):
		return missesDeadline
	case !t.Call && q.optimisticTime(t) > t.Aim.Sub(now):
		return missesAim
	}
	return meetsAim
}

// optimisticTime is the lower quartile of how long such tickets take if they begin now. A
// ticket that would probably miss its aim may still meet it: the requests of a route differ,
// since only some of them make calls.
func (q *Queue) optimisticTime(t *Ticket) time.Duration {
	work := t.Work
	if t.WorkP25 > 0 {
		work = min(t.WorkP25, t.Work)
	}
	return time.Duration(float64(work) * max(q.slowdown, 1))
}

// feasibleAtUsualSpeed reports whether a ticket that would miss its deadline now could meet it
// once the server is back at its usual speed.
func (q *Queue) feasibleAtUsualSpeed(now time.Time, t *Ticket) bool {
	return q.expectedTime(t) > t.Work && !now.Add(t.Work).After(t.Deadline)
}

// deferred reports whether a ticket must not begin now even if a slot is free: its answer would
// come after its deadline, or after its aim or for a rejected level while other requests need
// the slots. Tickets behind a deferred one may begin.
func (q *Queue) deferred(now time.Time, t *Ticket) bool {
	return q.deferredAs(now, t, q.timeliness(now, t))
}

// deferredAs is deferred for a ticket whose timeliness is known.
func (q *Queue) deferredAs(now time.Time, t *Ticket, p timeliness) bool {
	switch p {
	case missesDeadline:
		return true
	case missesAim:
		return !q.hasSpareSlot(now)
	}
	return q.rejectedByLevel(now, t)
}

// hasSpareSlot reports whether a slot is free beyond those that recent requests need at a
// server of usual speed. A request that will miss its aim is served only from such a slot.
// Otherwise it would displace several that can meet theirs: it is late because the server is
// slow, and therefore it also holds its slot for longer.
func (q *Queue) hasSpareSlot(now time.Time) bool {
	if !q.rates.allow(now) {
		return false // The tokens that are left go to requests that can meet their aim.
	}
	return q.lateInFlight+q.demand.slots(now, levels) < q.Limit()
}

// rejectedByLevel reports whether a ticket is rejected because of its level, and no slot is free
// beyond those that recent requests of the fully admitted levels need.
func (q *Queue) rejectedByLevel(now time.Time, t *Ticket) bool {
	if !t.levelRejected {
		return false
	}
	admitted := q.levels.fullyAdmitted() + 1 // Plus the level of calls.
	inFlight := 0
	for _, n := range q.inFlightByLevel[admitted:] {
		inFlight += n
	}
	return inFlight+q.demand.slots(now, admitted) >= q.Limit()
}

// rejectCause returns why a ticket must not wait here; NoCause if it may. A patient ticket has no
// other server and waits for this one to become faster, as long as it could still meet its
// deadline then.
func (q *Queue) rejectCause(now time.Time, t *Ticket) Cause {
	if q.rejectedByLevel(now, t) {
		return Overload
	}
	switch q.timeliness(now, t) {
	case missesDeadline:
		if !t.Patient || !q.feasibleAtUsualSpeed(now, t) {
			return Late
		}
	case missesAim:
		if !t.Patient && !q.hasSpareSlot(now) {
			return Late
		}
	}
	return NoCause
}

// demand is how much work recent requests needed from a server, refused ones included. The zero
// value has no demand.
type demand struct {
	// work is in seconds by level, and decays exponentially until decayedAt.
	work      [levels]float64
	decayedAt time.Time
}

// demandWindow is the time constant over which work is averaged. It is long compared with the
// slow periods of servers and short compared with the changes of the clients' load.
const demandWindow = time.Second

// add counts a ticket that was offered. A request that is refused here and offered to other gates
// is counted at each of them: where that happens, slots are scarce.
func (d *demand) add(now time.Time, t *Ticket) {
	d.decay(now)
	d.work[t.level()] += t.Work.Seconds()
}

// slots is the average number of slots that the work of the first n levels fills.
func (d *demand) slots(now time.Time, n int) int {
	d.decay(now)
	sum := 0.0
	for _, work := range d.work[:n] {
		sum += work
	}
	return int(math.Round(sum / demandWindow.Seconds()))
}

func (d *demand) decay(now time.Time) {
	passed := now.Sub(d.decayedAt)
	if passed < decayInterval {
		return
	}
	d.decayedAt = now
	factor := decayFactor(passed, demandWindow)
	for i := range d.work {
		d.work[i] *= factor
	}
}
