// SPDX-License-Identifier: MIT

package admit

import (
	"math"
	"time"
)

// prospect is what can still become of a ticket if the server begins it now.
type prospect uint8

const (
	// inTime: its answer is expected before its aim, or it has none.
	inTime prospect = iota
	// late: its answer is expected after its aim, and before its deadline.
	late
	// hopeless: its answer is expected after its deadline, when nobody waits for it.
	hopeless
)

// SetStretch says how many times longer than usual work takes now at the server, its
// cold start and whatever else slows it down included. Below 1 it stands for 1.
func (q *Queue) SetStretch(times float64) { q.stretch = times }

// expected is what a ticket is expected to take once it is begun now; 0 if that is not
// known. Servers do not speed up what they have begun.
func (q *Queue) expected(t *Ticket) time.Duration {
	return time.Duration(float64(t.Work) * max(q.stretch, 1))
}

// prospect is what can become of a ticket that is begun now. A request that is running
// waits for a call beyond its aim too, so that calls have no aim here.
func (q *Queue) prospect(now time.Time, t *Ticket) prospect {
	if t.Aim.IsZero() {
		return inTime
	}
	end := now.Add(q.expected(t))
	switch {
	case end.After(t.Deadline):
		return hopeless
	case end.After(t.Aim) && !t.Call:
		return late
	}
	return inTime
}

// mayRecover reports whether a hopeless ticket could still meet its deadline once the
// server is as fast as usual.
func (q *Queue) mayRecover(now time.Time, t *Ticket) bool {
	return q.expected(t) > t.Work && !now.Add(t.Work).After(t.Deadline)
}

// held reports whether a ticket is not to begin now although a slot may be free: its
// answer would come after its deadline, or after its aim where requests that can be in
// time need the slots. It holds nobody else up.
func (q *Queue) held(now time.Time, t *Ticket) bool {
	switch q.prospect(now, t) {
	case hopeless:
		return true
	case late:
		return !q.spare(now)
	}
	return false
}

// spare reports whether a slot is free beyond those that recent requests need at a
// server of usual speed. A request that can only be late is served where there is room;
// where there is none, it would take the place of some that can be in time, the more so
// as it is late because the server is slow and holds its slot for longer.
func (q *Queue) spare(now time.Time) bool {
	if q.Cold(now) && !q.pace.room(now) {
		return false // It would take what the cold rate leaves for those in time.
	}
	return q.lateInFlight+int(math.Round(q.offered.load(now))) < q.Limit()
}

// turnedAway is why a ticket must not wait here; NoCause if it may. Patient tickets have
// no other server and wait for this one to become faster, as long as that can help.
func (q *Queue) turnedAway(now time.Time, t *Ticket) Cause {
	switch q.prospect(now, t) {
	case hopeless:
		if !t.Patient || !q.mayRecover(now, t) {
			return Late
		}
	case late:
		if !t.Patient && !q.spare(now) {
			return Late
		}
	}
	return NoCause
}

// offered is how much work was offered of late, in slots of a server of usual speed. The
// zero value has seen none.
type offered struct {
	work float64 // seconds of work, faded
	at   time.Time
}

// offeredFor is the time over which offered work is averaged: long beside the spells for
// which servers are slow, short beside the waves of callers' load.
const offeredFor = time.Second

// add counts a ticket that was offered.
func (o *offered) add(now time.Time, t *Ticket) {
	o.fade(now)
	o.work += t.Work.Seconds()
}

// load is how many slots what was offered of late fills in the mean.
func (o *offered) load(now time.Time) float64 {
	o.fade(now)
	return o.work / offeredFor.Seconds()
}

func (o *offered) fade(now time.Time) {
	passed := now.Sub(o.at)
	if passed < fadeEvery {
		return
	}
	o.at = now
	o.work *= fading(passed, offeredFor)
}
