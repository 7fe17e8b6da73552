// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/admit"
	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/wire"
)

// requestKind is one kind of request sent to a service whose servers have just started.
type requestKind struct {
	name      string
	perSecond float64
	call      bool
	priority  table.Priority
	work, aim time.Duration
	deadline  time.Duration

	arrived, onTime, late, refused, deferred int
}

// simRequest is the state of one request.
type simRequest struct {
	kind  *requestKind
	entry *Pool
	// first is when the caller first sent the request, and began when the current
	// attempt began.
	first, began time.Time
	tried        Tried
	at           *Server
	ticket       *admit.Ticket
	// until is when the run of the request ends or, after a refusal, when its caller
	// retries.
	until   time.Time
	retries int
}

// replay simulates a service whose servers have all just started, and the entries that send
// requests to it.
type replay struct {
	now      time.Time
	rng      *rand.Rand
	queues   map[string]*admit.Queue
	entries  []*Pool
	kinds    []*requestKind
	active   []*simRequest
	deferred []*simRequest
	// retriesAt are the times for which retries were advised.
	retriesAt []time.Time
	coldEnd   time.Time
	// useShouldDefer says that entries call ShouldDefer and RetryAfter.
	useShouldDefer bool
}

func newReplay(servers int, kinds []*requestKind, useShouldDefer bool) *replay {
	r := &replay{now: start, rng: rand.New(rand.NewPCG(5, 6)), queues: map[string]*admit.Queue{}, kinds: kinds, coldEnd: start.Add(3 * time.Second), useShouldDefer: useShouldDefer}
	specs := make([]Spec, servers)
	for i := range specs {
		specs[i] = Spec{Name: fmt.Sprint("s", i), Node: fmt.Sprint("n", i), Weight: 1, Slots: 9}
		q := admit.NewQueue(admit.Settings{Slots: 9, Queue: 24, FixedLimit: true, Cold: admit.ColdRate(12, 1.5, 8)})
		q.StartTokenBucket(start)
		q.SetCold(r.coldEnd)
		r.queues[specs[i].Name] = q
	}
	for e := range 20 {
		p := NewPool(Options{})
		Subset(fmt.Sprint("e", e), specs, func(*Spec) bool { return true })
		p.Update(start, specs)
		r.entries = append(r.entries, p)
	}
	return r
}

// sendHeadroom sends the headroom of each gate to all entries.
func (r *replay) sendHeadroom() {
	for name, q := range r.queues {
		headroom := wire.Headroom{AdmittedPriorities: 3, ColdMillis: max(r.coldEnd.Sub(r.now), 0).Milliseconds()}
		interval, waits := q.RateWaits(r.now)
		headroom.TokenIntervalMillis = interval.Milliseconds()
		for level, wait := range headroom.TokenWaits() {
			*wait = waits[level].Milliseconds()
		}
		for _, p := range r.entries {
			p.UpdateHeadroom(r.now, "n"+name[1:], headroom)
		}
	}
}

func (r *replay) load(server string, seq uint64) *wire.Load {
	q, slowness := r.queues[server], 100
	if r.now.Before(r.coldEnd) {
		slowness = 200
	}
	return &wire.Load{Seq: seq, InFlight: q.InFlight(), Queued: q.Waiting(), Limit: 9, ServiceMicros: q.ServiceTime().Microseconds(), Slowness: slowness}
}

func (r *replay) simulate(length time.Duration) {
	for step := 0; r.now.Before(start.Add(length)); step++ {
		if step%200 == 0 {
			r.sendHeadroom()
		}
		for _, k := range r.kinds {
			if r.rng.Float64() < k.perSecond/1000 {
				k.arrived++
				r.begin(&simRequest{kind: k, entry: r.entries[r.rng.IntN(len(r.entries))], first: r.now})
			}
		}
		waiting := r.deferred
		r.deferred = nil
		for _, a := range waiting {
			if r.now.Before(a.until) {
				r.deferred = append(r.deferred, a)
				continue
			}
			a.retries++
			r.begin(a)
		}
		r.advance()
		r.now = r.now.Add(time.Millisecond)
	}
}

func (a *simRequest) demand(now time.Time) Demand {
	return Demand{Work: a.kind.work, Aim: max(a.first.Add(a.kind.aim).Sub(now), time.Millisecond), Priority: a.kind.priority}
}

func (a *simRequest) left(now time.Time) time.Duration { return a.first.Add(a.kind.deadline).Sub(now) }

func (r *replay) begin(a *simRequest) {
	a.began, a.tried = r.now, nil
	if r.useShouldDefer && !a.kind.call {
		if after, shouldDefer := a.entry.ShouldDefer(r.now, a.demand(r.now), a.left(r.now), r.rng.Float64()); shouldDefer {
			r.refuse(a, after)
			return
		}
	}
	r.send(a)
}

// refuse refuses a request; its caller retries at most twice.
func (r *replay) refuse(a *simRequest, after time.Duration) {
	a.ticket = nil
	if a.retries == 2 || a.kind.call || after > a.left(r.now) {
		a.kind.refused++
		return
	}
	a.kind.deferred++
	a.until = r.now.Add(after)
	r.retriesAt = append(r.retriesAt, a.until)
	r.deferred = append(r.deferred, a)
}

// send offers the request to one server after another until one accepts it.
func (r *replay) send(a *simRequest) {
	after := time.Duration(0)
	for len(a.tried) < 6 {
		s := a.entry.PickFor(r.now, r.rng, a.tried, a.demand(r.now))
		if s == nil {
			break
		}
		a.tried, a.at = append(a.tried, s), s
		a.entry.Sent(r.now, s)
		maxWait := max(a.began.Add(a.kind.aim/7).Sub(r.now), time.Millisecond)
		if a.kind.call {
			maxWait = a.left(r.now) / 2
		}
		a.ticket = &admit.Ticket{Deadline: r.now.Add(a.left(r.now)), Call: a.kind.call, Priority: a.kind.priority, MaxWait: maxWait, Value: a}
		r.queues[s.Name].Offer(r.now, a.ticket)
		if a.ticket.State() != admit.Refused {
			r.active = append(r.active, a)
			return
		}
		after = r.queues[s.Name].RetryAfter(r.now)
		a.entry.Ended(r.now, s, Result{Refused: wire.ReasonCold, RetryAfter: after, Load: r.load(s.Name, uint64(r.now.UnixNano()))})
	}
	if advised, ok := a.entry.RetryAfter(r.now, a.demand(r.now), a.left(r.now), r.rng.Float64()); ok && r.useShouldDefer {
		after = max(after, advised)
	}
	r.refuse(a, after)
}

// advance advances the requests that are queued or running by one step.
func (r *replay) advance() {
	active := r.active
	r.active = nil
	for _, a := range active {
		q := r.queues[a.at.Name]
		switch a.ticket.State() {
		case admit.Queued:
			r.active = append(r.active, a)
		case admit.Refused:
			a.entry.Ended(r.now, a.at, Result{Refused: wire.ReasonCold, RetryAfter: q.RetryAfter(r.now)})
			r.send(a)
		case admit.Dispatched:
			r.complete(a, q)
		}
	}
	for _, q := range r.queues {
		q.Advance(r.now)
	}
}

func (r *replay) complete(a *simRequest, q *admit.Queue) {
	if a.until.IsZero() || a.until.Before(a.began) || a.until.Equal(a.began) {
		took := time.Duration(float64(a.kind.work) * (0.7 + 0.6*r.rng.Float64()))
		if r.now.Before(r.coldEnd) {
			took *= 2
		}
		a.until = r.now.Add(took)
	}
	if r.now.Before(a.until) {
		r.active = append(r.active, a)
		return
	}
	q.Done(r.now, a.ticket, true)
	a.entry.Ended(r.now, a.at, Result{Latency: r.now.Sub(a.began), Load: r.load(a.at.Name, uint64(r.now.UnixNano()))})
	if r.now.Sub(a.first) <= a.kind.aim {
		a.kind.onTime++
	} else {
		a.kind.late++
	}
}

// parcelServiceLoad is the load of a service with 29 servers after all of them have lost power:
// 148 checks and 54 registrations a second, and calls made by requests at other services. While
// cold, each server admits 18 requests a second, 522 in all.
func parcelServiceLoad() []*requestKind {
	return []*requestKind{
		{name: "check", perSecond: 148, priority: table.Bulk, work: 440 * time.Millisecond, aim: 2500 * time.Millisecond, deadline: 8 * time.Second},
		{name: "registration", perSecond: 54, priority: table.Urgent, work: 140 * time.Millisecond, aim: 400 * time.Millisecond, deadline: 2500 * time.Millisecond},
		{name: "call", perSecond: 460, call: true, work: 44 * time.Millisecond, aim: 150 * time.Millisecond, deadline: 500 * time.Millisecond},
	}
}

// All servers are cold at once, and more requests arrive than they can serve. With ShouldDefer,
// urgent requests are answered in time, and callers that are advised to retry are served then.
// Without it, 8% of the checks are refused for good.
func TestReplayAllServersCold(t *testing.T) {
	for _, useShouldDefer := range []bool{false, true} {
		kinds := parcelServiceLoad()
		r := newReplay(29, kinds, useShouldDefer)
		r.simulate(8 * time.Second)
		for _, k := range kinds {
			t.Logf("ShouldDefer %v: %s: %d arrived, %d in time, %d late, %d advised to retry, %d refused", useShouldDefer, k.name, k.arrived, k.onTime, k.late, k.deferred, k.refused)
		}
		if !useShouldDefer {
			continue
		}
		check, registration, call := kinds[0], kinds[1], kinds[2]
		if share := float64(registration.onTime) / float64(registration.arrived); share < 0.9 {
			t.Errorf("%.2f of the registrations are in time", share)
		}
		if share := float64(check.onTime) / float64(check.arrived); share < 0.8 {
			t.Errorf("%.2f of the checks are in time", share)
		}
		if share := float64(call.onTime+call.late) / float64(call.arrived); share < 0.8 {
			t.Errorf("%.2f of the calls are answered", share)
		}
		if lost := check.refused + registration.refused; lost > (check.arrived+registration.arrived)/50 {
			t.Errorf("%d requests are refused for good", lost)
		}
		if most := r.maxRetries(); most > len(r.retriesAt)/5 {
			t.Errorf("%d of %d retries are within the same 100 ms", most, len(r.retriesAt))
		}
	}
}

// maxRetries returns the largest number of advised retries within a slot of 100 ms.
func (r *replay) maxRetries() int {
	most := 0
	count := map[time.Duration]int{}
	for _, at := range r.retriesAt {
		slot := at.Sub(start) / (100 * time.Millisecond)
		count[slot]++
		most = max(most, count[slot])
	}
	return most
}
