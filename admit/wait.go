// SPDX-License-Identifier: MIT

package admit

import "time"

// maxReportedRetryAfter bounds the retry time for a rate that the server has reported, which may
// change at any time.
const maxReportedRetryAfter = 5 * time.Second

// RetryAfter is when a refused request may be accepted: once everything queued
// and half of what is in flight has been answered at the present rate, and the
// server may get one more request by the bounds on its rate.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	ahead := q.queued + q.inFlight/2 + 1
	wait := q.rates.wait(now, q.queued+1)
	if q.RateLimited() {
		wait = min(wait, maxReportedRetryAfter)
	}
	return max(time.Duration(ahead)*q.answerInterval(), wait, time.Millisecond)
}

// RateWaits returns the time between two requests that the server may get, and how long one more
// request of each level would wait for its turn: calls, then each priority. A wait is negative by
// one interval for each further request that could go at once. All are 0 while the rate is not
// bounded.
func (q *Queue) RateWaits(now time.Time) (interval time.Duration, waits [levels]time.Duration) {
	if !q.rates.enforced(now) {
		return 0, waits
	}
	for level := range waits {
		waits[level] = q.rates.timeUntilNth(now, q.overallPosition(now, level, 1+len(q.waiting[level])))
	}
	return q.rates.interval(now), waits
}

// meetsDeadline reports whether t would be answered before its deadline, given
// the tickets ahead of it.
func (q *Queue) meetsDeadline(now time.Time, t *Ticket) bool {
	if q.settings.NoDeadlineBound {
		return true
	}
	return q.queueTime(now, t)+q.serviceTime.value <= t.Deadline.Sub(now)
}

// mayQueue reports whether the expected wait of t allows to queue it. If the wait
// is bounded and would be too long, t is refused at once, so that another server
// is tried. A patient ticket has no other server, and is queued in the hope of a
// shorter wait, unless it waits for a rate that the server has reported: that has no end in sight.
// A call is refused only if it would wait too long for the bounds on the rate.
func (q *Queue) mayQueue(now time.Time, t *Ticket) bool {
	if t.MaxWait == 0 {
		return q.meetsDeadline(now, t)
	}
	if t.Call || q.RateLimited() && t.Patient {
		return q.rates.wait(now, q.position(now, t)) <= t.MaxWait
	}
	return t.Patient || q.expectedWait(now, t) <= t.MaxWait
}

// expectedWait is one answer interval for each ticket up to and including a new
// one, and at least the time that a stalled server has not answered.
func (q *Queue) expectedWait(now time.Time, t *Ticket) time.Duration {
	ahead := q.position(now, t)
	return max(time.Duration(ahead)*q.answerInterval(), q.Stalled(now), q.rates.wait(now, ahead))
}

// queueRefusalCause is why a ticket that may not be queued is refused: AboveShare if a ticket of a
// tenant without usage could be queued, else Overload.
func (q *Queue) queueRefusalCause(now time.Time, t *Ticket) Cause {
	if q.usage.lastKnown(t) == 0 {
		return Overload
	}
	other := *t
	other.Tenant = ""
	if q.mayQueue(now, &other) {
		return AboveShare
	}
	return Overload
}

// queueTime is how long a new ticket is expected to wait: one answer interval
// for each ticket up to and including it, and at least the time since the
// server's last answer.
func (q *Queue) queueTime(now time.Time, t *Ticket) time.Duration {
	ahead := q.position(now, t)
	return max(time.Duration(ahead)*q.answerInterval(), now.Sub(q.lastAnswer), q.rates.wait(now, ahead))
}

// answerInterval is the expected time between two answers at the present limit.
func (q *Queue) answerInterval() time.Duration {
	return q.serviceTime.value / time.Duration(q.Limit())
}

// longCallWait is the wait for a slot, as a share of a call's own service time,
// above which waiting costs more than running the server above its limit.
const longCallWait = 0.5

// callsWaitLong reports whether a call would wait long for a slot.
func (q *Queue) callsWaitLong() bool {
	return float64(q.answerInterval()) > longCallWait*float64(q.callServiceTime.value)
}

// movingAverage is an exponential moving average of durations.
type movingAverage struct {
	value time.Duration
}

const averageWeight = 0.1

func (a *movingAverage) add(d time.Duration) {
	if a.value == 0 {
		a.value = d
		return
	}
	a.value += time.Duration(averageWeight * float64(d-a.value))
}
