// SPDX-License-Identifier: MIT

package admit

import "time"

// nextInLevel is the index of the ticket of a level that goes first, or -1 if none may begin.
//
// Tickets that can meet their aim go before those that cannot. Within each group, the tenant with
// the lowest weighted usage goes first, and then the ticket that must begin first to meet its aim
// (least laxity). Least laxity collapses under overload only if tickets that can no longer meet
// their aim keep their place, and here they lose it. Among tickets with a bounded wait and without
// an aim the newest goes first, as in adaptive LIFO (Maurer 2015): a ticket that has waited long
// will probably miss its aim in any order, and serving the oldest first makes all of them late.
// Calls keep their order, since the request that makes them waits for all of them.
func (q *Queue) nextInLevel(now time.Time, level int) int {
	waiting := q.waiting[level]
	best := -1
	var bestRank rank
	for i := len(waiting) - 1; i >= 0; i-- {
		t := waiting[i]
		p := q.timeliness(now, t)
		if q.deferredAs(now, t, p) {
			continue
		}
		r := rank{late: p == missesAim, usage: q.usage.current(now, t)}
		if best < 0 || r.before(bestRank) || (r == bestRank && t.precedes(waiting[best])) {
			best, bestRank = i, r
		}
	}
	return best
}

// rank orders the tickets of one level.
type rank struct {
	late bool
	// usage is the weighted usage of the ticket's tenant.
	usage float64
}

func (r rank) before(other rank) bool {
	if r.late != other.late {
		return other.late
	}
	return r.usage < other.usage
}

// precedes reports whether a ticket goes before a newer one of the same rank.
func (t *Ticket) precedes(newer *Ticket) bool {
	if t.Call || t.MaxWait == 0 {
		return true
	}
	return t.mustBeginBefore(newer)
}

// mustBeginBefore reports whether a ticket has to begin before another one for both to meet their
// aims, and therefore goes before it.
func (t *Ticket) mustBeginBefore(other *Ticket) bool {
	if t.Call || t.MaxWait == 0 || t.Aim.IsZero() || other.Aim.IsZero() {
		return false
	}
	return t.Aim.Sub(other.Aim) < t.Work-other.Work
}

// position is the place of a new ticket in the order of dispatch, from 1. Tickets of more urgent
// levels are ahead of it, and those of its own level except those that it must begin before,
// those of tenants with a higher weighted usage, and, if it can meet its aim, those that cannot.
// Deferred tickets are ahead of nothing.
func (q *Queue) position(now time.Time, t *Ticket) int {
	inLevel, level := 1, t.level()
	used := q.usage.lastKnown(t)
	isLate := q.timeliness(now, t) != meetsAim
	for _, other := range q.waiting[level] {
		if !isLate && t.mustBeginBefore(other) {
			continue
		}
		p := q.timeliness(now, other)
		if q.usage.lastKnown(other) > used || (!isLate && p == missesAim) || q.deferredAs(now, other, p) {
			continue
		}
		inLevel++
	}
	return q.overallPosition(now, level, inLevel)
}

// overallPosition is the place among all levels of a ticket with a place inLevel among its own
// level. While the rate is bounded, calls and client requests take turns.
func (q *Queue) overallPosition(now time.Time, level, inLevel int) int {
	position := inLevel
	for i := 1; i < level; i++ {
		position += q.eligible(now, i)
	}
	bounded := q.rates.enforced(now)
	switch {
	case level == 0 && bounded:
		return position + min(q.waitingClientRequests(now), q.rateSplit.clientsBefore(position))
	case level == 0:
		return position
	case sharesRate(level) && bounded:
		return position + min(q.eligible(now, 0), q.rateSplit.callsBefore(position))
	}
	return position + q.eligible(now, 0)
}

// eligible counts the tickets of a level that are not deferred.
func (q *Queue) eligible(now time.Time, level int) int {
	n := 0
	for _, t := range q.waiting[level] {
		if !q.deferred(now, t) {
			n++
		}
	}
	return n
}

// waitingClientRequests counts the waiting client requests that share a bounded rate with calls.
func (q *Queue) waitingClientRequests(now time.Time) int {
	n := 0
	for level := range q.waiting {
		if sharesRate(level) {
			n += q.eligible(now, level)
		}
	}
	return n
}

// nextTicket is the level and the index of the ticket to dispatch next; the index is negative if
// none may be dispatched. Calls go first, unless the rate is bounded and client requests have got
// less than their share.
func (q *Queue) nextTicket(now time.Time) (level, index int) {
	if q.rates.enforced(now) && q.rateSplit.clientsFirst() {
		for level := range levels {
			if index := q.nextDispatchable(now, level); sharesRate(level) && index >= 0 {
				return level, index
			}
		}
	}
	for level := range levels {
		if index := q.nextDispatchable(now, level); index >= 0 {
			return level, index
		}
	}
	return 0, -1
}

// nextDispatchable is the index of the ticket of a level that may be dispatched now; negative if
// none may.
func (q *Queue) nextDispatchable(now time.Time, level int) int {
	index := q.nextInLevel(now, level)
	if index < 0 || !q.canDispatch(now, q.waiting[level][index]) {
		return -1
	}
	return index
}

// sharesRate reports whether the requests of a level share a bounded rate with calls. That is so
// for client requests of all priorities but the lowest.
func sharesRate(level int) bool { return level > 0 && level < levels-1 }
