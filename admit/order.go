// SPDX-License-Identifier: MIT

package admit

import "time"

// next is the place of the ticket of a level that goes first, or -1 if none may begin.
//
// What can still be in time goes before what can only be late. Among each, the tenant
// that has had the least for its weight goes first, and then the one that must begin first
// to be in time (least laxity): that collapses beyond saturation only where what can no
// more be in time keeps its place. Of those without an aim the newest goes first where
// the wait is bounded, as in adaptive LIFO (Maurer 2015): what has waited long is likely
// to miss its aim wherever it goes, and handing out the oldest first makes all of them
// late. Calls keep their order, since the request above waits for all of its calls.
func (q *Queue) next(now time.Time, level int) int {
	waiting := q.waiting[level]
	first := -1
	var best rank
	for i := len(waiting) - 1; i >= 0; i-- {
		t := waiting[i]
		p := q.prospect(now, t)
		if q.heldAs(now, t, p) {
			continue
		}
		r := rank{late: p == late, used: q.shares.of(now, t)}
		if first < 0 || r.before(best) || (r == best && t.precedes(waiting[first])) {
			first, best = i, r
		}
	}
	return first
}

// rank is what decides between tickets of one level.
type rank struct {
	late bool
	// used is what the ticket's tenant has had.
	used float64
}

func (r rank) before(other rank) bool {
	if r.late != other.late {
		return other.late
	}
	return r.used < other.used
}

// precedes reports whether a ticket goes before a newer one of the same rank.
func (t *Ticket) precedes(newer *Ticket) bool {
	if t.Call || t.MaxWait == 0 {
		return true
	}
	return t.mustBeginBefore(newer)
}

// mustBeginBefore reports whether a ticket must begin before another one if both are to
// be in time, and goes before it therefore.
func (t *Ticket) mustBeginBefore(other *Ticket) bool {
	if t.Call || t.MaxWait == 0 || t.Aim.IsZero() || other.Aim.IsZero() {
		return false
	}
	return t.Aim.Sub(other.Aim) < t.Work-other.Work
}

// ahead counts a new ticket and those that go before it: those of more urgent levels, and
// of its own all but those of tenants that have had more for their weight, and those that
// can only be late if it can be in time. What is held back goes before nothing.
func (q *Queue) ahead(now time.Time, t *Ticket) int {
	own, level := 1, t.level()
	used := q.shares.last(t)
	isLate := q.prospect(now, t) != inTime
	for _, other := range q.waiting[level] {
		if !isLate && t.mustBeginBefore(other) {
			continue
		}
		p := q.prospect(now, other)
		if q.shares.last(other) > used || (!isLate && p == late) || q.heldAs(now, other, p) {
			continue
		}
		own++
	}
	return q.behind(now, level, own)
}

// behind is the place among all of what is at a place among its own level. At a cold server
// calls and callers' requests take turns.
func (q *Queue) behind(now time.Time, level, own int) int {
	place := own
	for i := 1; i < level; i++ {
		place += q.ready(now, i)
	}
	cold := q.Cold(now)
	switch {
	case level == 0 && cold:
		return place + min(q.withPart(now), q.turns.othersBefore(place))
	case level == 0:
		return place
	case hasPart(level) && cold:
		return place + min(q.ready(now, 0), q.turns.callsBefore(place))
	}
	return place + q.ready(now, 0)
}

// ready counts the tickets of a level that are not held back.
func (q *Queue) ready(now time.Time, level int) int {
	n := 0
	for _, t := range q.waiting[level] {
		if !q.held(now, t) {
			n++
		}
	}
	return n
}

// withPart counts those that wait and have a part beside calls.
func (q *Queue) withPart(now time.Time) int {
	n := 0
	for level := range q.waiting {
		if hasPart(level) {
			n += q.ready(now, level)
		}
	}
	return n
}

// nextLevel is the level whose turn it is and the place of the ticket that goes; the place
// is below 0 if there is no room for any that waits. Calls go first, unless the server is
// cold and callers' requests are behind.
func (q *Queue) nextLevel(now time.Time) (level, place int) {
	if q.Cold(now) && q.turns.othersFirst() {
		for level := range levels {
			if place := q.mayGo(now, level); hasPart(level) && place >= 0 {
				return level, place
			}
		}
	}
	for level := range levels {
		if place := q.mayGo(now, level); place >= 0 {
			return level, place
		}
	}
	return 0, -1
}

// mayGo is the place of the ticket of a level that may go now; below 0 if none may.
func (q *Queue) mayGo(now time.Time, level int) int {
	place := q.next(now, level)
	if place < 0 || !q.hasRoom(now, q.waiting[level][place]) {
		return -1
	}
	return place
}

// hasPart reports whether requests of a level have a part beside calls.
func hasPart(level int) bool { return level > 0 && level < levels-1 }
