// SPDX-License-Identifier: MIT

package admit

import "time"

// Settings are the bounds of a Queue, for one server. Slots must be at least 1.
type Settings struct {
	Slots int
	Queue int
	// CallSlots is how many requests may be in flight for a call to be
	// dispatched. If it is below Slots, Slots holds for calls too.
	CallSlots int
	// FixedLimit keeps the limit at Slots, as nodes do by default.
	FixedLimit bool
	// NoDeadlineBound also queues requests that are not expected to meet their
	// deadline, and does not refuse them for a long wait. It serves comparisons.
	NoDeadlineBound bool
	// Cold bounds the requests that the server gets while it is cold.
	Cold Rate
	// MaxLearnedLimit makes the queue learn the limit, between half of MaxLearnedLimit
	// and MaxLearnedLimit, beginning at Slots; 0 turns that off. See knee.
	MaxLearnedLimit int
	// ReserveForCalls reserves slots for calls while they wait too long; see callReserve.
	ReserveForCalls bool
}

// Queue is the state of one gate. It is not safe for concurrent use.
type Queue struct {
	settings Settings
	limit    Limit
	draining bool
	inFlight int
	// inFlightByLevel counts the requests in flight by level.
	inFlightByLevel [levels]int
	// lateInFlight counts those that were expected to miss their aim when they were
	// dispatched.
	lateInFlight int
	queued       int
	// lastAnswer is when the server last answered a request, or when a request
	// was dispatched while none was in flight.
	lastAnswer  time.Time
	waiting     [levels][]*Ticket
	rates       rateBounds
	rateSplit   rateSplit
	serviceTime movingAverage
	// callServiceTime is the average of calls alone.
	callServiceTime movingAverage
	usage           tenantUsage
	// slowdown is how many times longer than usual a request takes now.
	slowdown    float64
	demand      demand
	levels      levelAdmission
	callReserve callReserve
	// learnedLimit is the limit that knee has learned.
	learnedLimit int
	knee         knee
}

// NewQueue returns an idle queue.
func NewQueue(s Settings) *Queue {
	q := &Queue{}
	q.Configure(s)
	return q
}

// Configure replaces the settings. Requests that are queued or in flight stay.
func (q *Queue) Configure(s Settings) {
	q.settings = s
	q.limit.SetCeiling(s.Slots)
	if s.MaxLearnedLimit > 0 {
		q.knee.setBounds(max((s.MaxLearnedLimit+1)/2, 1), s.MaxLearnedLimit, s.Slots)
		q.learnedLimit = q.knee.current
	}
	q.rates.cold.rate = s.Cold
}

// SetCold sets until when the server is, or may be, cold and gets no more than its
// cold rate.
func (q *Queue) SetCold(until time.Time) { q.rates.coldUntil = until }

// StartTokenBucket starts the token bucket of the cold rate, empty, at a time. A previous
// instance of the gate may have used all tokens before that time.
func (q *Queue) StartTokenBucket(start time.Time) { q.rates.cold.refill(start) }

// SetReportedRate sets the rate that the server has reported as its limit; the zero Rate sets no
// bound.
func (q *Queue) SetReportedRate(now time.Time, r Rate) { q.rates.setReported(now, r) }

// Cold reports whether the server's cold rate is enforced.
func (q *Queue) Cold(now time.Time) bool { return q.rates.isCold(now) }

// RateLimited reports whether a rate that the server has reported is enforced.
func (q *Queue) RateLimited() bool { return q.rates.reported.rate.isSet() }

// SetDraining starts or stops refusing new requests. Requests that are queued
// already may still be dispatched; see Flush.
func (q *Queue) SetDraining(draining bool) { q.draining = draining }

// Draining reports whether new requests are refused.
func (q *Queue) Draining() bool { return q.draining }

// InFlight returns the number of dispatched, unanswered requests.
func (q *Queue) InFlight() int { return q.inFlight }

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return q.queued }

// Limit returns how many requests may be in flight now.
func (q *Queue) Limit() int {
	if q.settings.MaxLearnedLimit > 0 {
		return q.learnedLimit
	}
	if q.settings.FixedLimit {
		return q.settings.Slots
	}
	return q.limit.Value()
}

// ServiceTime returns the moving average of the server's time for a request.
func (q *Queue) ServiceTime() time.Duration { return q.serviceTime.value }

// stallFactor is how many average service times must pass without an answer
// for a server with requests in flight to count as stalled.
const stallFactor = 1.5

// Stalled returns the time since the server's last answer if it has requests in
// flight and is stalled, else 0.
func (q *Queue) Stalled(now time.Time) time.Duration {
	sinceAnswer := now.Sub(q.lastAnswer)
	if q.inFlight == 0 || q.serviceTime.value == 0 || float64(sinceAnswer) < stallFactor*float64(q.serviceTime.value) {
		return 0
	}
	return sinceAnswer
}

// ExcludePause accounts for a pause of this host, which ended now, during which the process did not
// run. Nothing was read from the server in that time, so it does not count as a stall, and nothing
// could be dispatched, so it does not count as waiting.
func (q *Queue) ExcludePause(now time.Time, pause time.Duration) {
	if q.lastAnswer = q.lastAnswer.Add(pause); q.lastAnswer.After(now) {
		q.lastAnswer = now
	}
	for _, waiting := range q.waiting {
		for _, t := range waiting {
			t.waitUntil = t.waitUntil.Add(pause)
		}
	}
}

// Offer takes a ticket that is Received. Afterwards the ticket is Dispatched,
// Queued or Refused. If another ticket was evicted to make room for it, that
// one is returned and is Refused.
func (q *Queue) Offer(now time.Time, t *Ticket) (evicted *Ticket) {
	t.offeredAt = now
	q.updateLearnedLimit(now)
	if q.rates.enforced(now) && (t.Call || sharesRate(t.level())) {
		q.rateSplit.arrived(t.Call)
	}
	q.levels.endWindow(now)
	t.levelRejected = q.levels.rejects(t)
	if t.Call {
		q.callReserve.lastCall = now
	}
	q.demand.add(now, t)
	switch {
	case q.draining:
		q.refuse(t, Draining)
	case !now.Before(t.Deadline):
		q.refuse(t, Expired)
	case q.rejectCause(now, t) != NoCause:
		q.refuse(t, q.rejectCause(now, t))
	case !q.deferred(now, t) && q.canDispatch(now, t) && q.position(now, t) == 1:
		q.dispatch(now, t)
	case !q.mayQueue(now, t):
		q.refuse(t, q.queueRefusalCause(now, t))
	case q.queued < q.settings.Queue:
		q.push(now, t)
	default:
		cause := Overload
		evicted = q.popNewestBelow(t.level())
		if evicted == nil {
			evicted, cause = q.popAboveShare(t), AboveShare
		}
		if evicted == nil {
			q.refuse(t, Overload)
			return nil
		}
		q.refuse(evicted, cause)
		q.push(now, t)
	}
	return evicted
}

// Advance dispatches queued tickets while slots are free, and refuses those
// whose deadline has passed. It also refuses those that have waited much longer
// than expected, unless they are patient: another server may take them at once.
// It returns every ticket that left the queue.
func (q *Queue) Advance(now time.Time) []*Ticket {
	q.updateLearnedLimit(now)
	left := q.expire(now)
	for {
		level, index := q.nextTicket(now)
		if index < 0 {
			break
		}
		t := q.waiting[level][index]
		q.remove(level, index)
		q.dispatch(now, t)
		left = append(left, t)
	}
	return left
}

// canDispatch reports whether a ticket may be dispatched now. A call may use slots
// that other requests may not, since the request that made it holds a slot at its
// own server for as long as the call waits.
func (q *Queue) canDispatch(now time.Time, t *Ticket) bool {
	if !q.rates.allow(now) {
		return false
	}
	if t.Call && q.callsWaitLong() {
		return q.inFlight < max(q.Limit(), q.settings.CallSlots)
	}
	if !t.Call && q.inFlight-q.inFlightByLevel[callLevel] >= q.Limit()-q.reservedSlots(now, t) {
		return false
	}
	return q.inFlight < q.Limit()
}

// Done records the end of a dispatched ticket, which is no longer in flight
// then. ok means that the server answered without an error. Only such answers
// affect the limit and the service time, so that a server that fails fast does
// not look fast. Call Advance afterwards.
func (q *Queue) Done(now time.Time, t *Ticket, ok bool) {
	if t.state != Dispatched {
		return
	}
	t.state = Answered
	busy := q.inFlight >= q.Limit()
	q.inFlight--
	q.inFlightByLevel[t.level()]--
	if t.dispatchedLate {
		q.lateInFlight--
	}
	q.lastAnswer = now
	if !ok {
		return
	}
	took := now.Sub(t.dispatchedAt)
	q.serviceTime.add(took)
	if q.settings.MaxLearnedLimit > 0 && t.Work > 0 {
		q.knee.observe(t.inFlightAtDispatch, took.Seconds()/t.Work.Seconds())
	}
	if t.Call {
		q.callServiceTime.add(took)
	}
	q.limit.Observe(now, took, busy)
}

// Unsent takes back a dispatched ticket that was not sent to the server after all. Call
// Advance afterwards.
func (q *Queue) Unsent(now time.Time, t *Ticket) {
	if t.state != Dispatched {
		return
	}
	q.Done(now, t, false)
	q.rates.putBack()
}

// Cancel refuses a queued ticket and reports whether it did. A dispatched ticket
// cannot be canceled.
func (q *Queue) Cancel(t *Ticket) bool {
	if t.state != Queued {
		return false
	}
	for i, other := range q.waiting[t.level()] {
		if other == t {
			q.remove(t.level(), i)
			break
		}
	}
	q.refuse(t, Canceled)
	return true
}

// Flush refuses all queued tickets and returns them.
func (q *Queue) Flush() []*Ticket {
	var flushed []*Ticket
	for level := range q.waiting {
		for _, t := range q.waiting[level] {
			q.refuse(t, Draining)
			flushed = append(flushed, t)
		}
		q.waiting[level] = nil
	}
	q.queued = 0
	return flushed
}

// A ticket without MaxWait that is not patient is refused after it has waited
// maxWaitFactor times its expected wait, and maxWaitSlack more.
const (
	maxWaitFactor = 2
	maxWaitSlack  = 25 * time.Millisecond
)

func (q *Queue) push(now time.Time, t *Ticket) {
	t.state = Queued
	t.waitUntil = now.Add(maxWaitFactor*q.queueTime(now, t) + maxWaitSlack)
	if t.MaxWait > 0 {
		t.waitUntil = now.Add(t.MaxWait)
	}
	q.waiting[t.level()] = append(q.waiting[t.level()], t)
	q.queued++
}

func (q *Queue) remove(level, index int) {
	list := q.waiting[level]
	copy(list[index:], list[index+1:])
	list[len(list)-1] = nil
	q.waiting[level] = list[:len(list)-1]
	q.queued--
}

// popNewestBelow removes and returns the newest ticket of the least urgent level
// that has any, if that is less urgent than the given one; else it returns nil.
func (q *Queue) popNewestBelow(level int) *Ticket {
	for lowest := levels - 1; lowest > level; lowest-- {
		if n := len(q.waiting[lowest]); n > 0 {
			t := q.waiting[lowest][n-1]
			q.remove(lowest, n-1)
			return t
		}
	}
	return nil
}

// popAboveShare removes and returns the newest ticket of the tenant with the highest weighted usage,
// if that exceeds the usage of t's tenant by evictionMargin; else it returns nil.
func (q *Queue) popAboveShare(t *Ticket) *Ticket {
	level := t.level()
	threshold, index := q.usage.lastKnown(t)+evictionMargin, -1
	for i, other := range q.waiting[level] {
		if used := q.usage.lastKnown(other); used >= threshold {
			threshold, index = used, i
		}
	}
	if index < 0 {
		return nil
	}
	evicted := q.waiting[level][index]
	q.remove(level, index)
	return evicted
}

func (q *Queue) expire(now time.Time) []*Ticket {
	var expired []*Ticket
	for level := range q.waiting {
		for i := 0; i < len(q.waiting[level]); {
			t := q.waiting[level][i]
			cause := q.overdue(now, t)
			if cause == NoCause {
				i++
				continue
			}
			q.remove(level, i)
			q.refuse(t, cause)
			expired = append(expired, t)
		}
	}
	return expired
}

// overdue returns why a queued ticket must be refused now; NoCause if it need not be.
func (q *Queue) overdue(now time.Time, t *Ticket) Cause {
	switch {
	case !now.Before(t.Deadline):
		return Expired
	case !now.Before(t.waitUntil) && (!t.Patient || t.MaxWait > 0) && !q.settings.NoDeadlineBound:
		return Overload
	case q.timeliness(now, t) == missesDeadline:
		return q.rejectCause(now, t)
	}
	return NoCause
}

func (q *Queue) dispatch(now time.Time, t *Ticket) {
	t.state = Dispatched
	t.dispatchedAt = now
	if q.inFlight == 0 {
		q.lastAnswer = now
	}
	q.inFlight++
	t.inFlightAtDispatch = q.inFlight
	q.inFlightByLevel[t.level()]++
	if t.Call {
		q.recordCallDispatch(now, t)
	}
	q.levels.observe(t, false)
	if t.dispatchedLate = q.timeliness(now, t) == missesAim; t.dispatchedLate {
		q.lateInFlight++
	}
	q.rates.take(now)
	if q.rates.enforced(now) && (t.Call || sharesRate(t.level())) {
		q.rateSplit.dispatched(t.Call)
	}
	q.usage.add(now, t)
}

func (q *Queue) refuse(t *Ticket, cause Cause) {
	if t.Call && (cause == Overload || cause == Expired || cause == Late) {
		q.callReserve.observeRefused(t)
	}
	if t.Patient && (cause == Overload || cause == Late) {
		q.levels.observe(t, cause == Overload && q.blockedByLessUrgent(t))
	}
	t.state = Refused
	t.cause = cause
}
