// SPDX-License-Identifier: MIT

package admit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ryehaven/ryehaven/table"
)

// coldStream describes requests of one kind that arrive at a cold server.
type coldStream struct {
	perSecond float64
	call      bool
	priority  table.Priority
	maxWait   time.Duration
	// arrived and dispatched count them, and dispatchedAt is when each was dispatched.
	arrived, dispatched int
	dispatchedAt        []time.Time
}

// playCold offers the requests of some streams to a cold server, at random times, each once.
func playCold(q *Queue, streams []*coldStream, took, length time.Duration) {
	rng := rand.New(rand.NewPCG(3, 4))
	type sent struct {
		ticket *Ticket
		of     *coldStream
		counts bool
		ends   time.Time
	}
	var all []*sent
	const step = time.Millisecond
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		for _, s := range streams {
			if rng.Float64() >= s.perSecond*step.Seconds() {
				continue
			}
			s.arrived++
			t := &Ticket{Deadline: now.Add(s.maxWait * 2), Call: s.call, Priority: s.priority, MaxWait: s.maxWait, Patient: true}
			all = append(all, &sent{ticket: t, of: s})
			q.Offer(now, t)
		}
		active := all[:0]
		for _, one := range all {
			if state := one.ticket.State(); state == Queued {
				active = append(active, one)
			}
			if one.ticket.State() != Dispatched {
				continue
			}
			if !one.counts {
				one.counts, one.ends = true, now.Add(took)
				one.of.dispatched++
				one.of.dispatchedAt = append(one.of.dispatchedAt, now)
			}
			if !now.Before(one.ends) {
				q.Done(now, one.ticket, true)
				continue
			}
			active = append(active, one)
		}
		all = active
		q.Advance(now)
	}
}

// mostInASecond is the largest number of requests that were dispatched in any second.
func mostInASecond(lists ...[]time.Time) int {
	all := slices.SortedFunc(slices.Values(slices.Concat(lists...)), time.Time.Compare)
	most, first := 0, 0
	for i, at := range all {
		for at.Sub(all[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func coldQueue() *Queue {
	q := NewQueue(Settings{Slots: 12, Queue: 24, FixedLimit: true, Cold: ColdRate(12, 1.5, 8)})
	q.StartTokenBucket(start)
	q.SetCold(start.Add(time.Hour))
	return q
}

// All 22 servers of a payout service have just started and may get 12 requests a second each, and
// half as many more. Lookups at another service send them 460 calls a second, and clients 136
// payouts a second. That is 27 requests a second for each server, which gets 18.
func TestCallsDoNotTakeTheWholeColdRate(t *testing.T) {
	calls := &coldStream{perSecond: 21, call: true, maxWait: 250 * time.Millisecond}
	payouts := &coldStream{perSecond: 6.2, priority: table.Normal, maxWait: 86 * time.Millisecond}
	playCold(coldQueue(), []*coldStream{calls, payouts}, 100*time.Millisecond, 30*time.Second)
	if most := mostInASecond(calls.dispatchedAt, payouts.dispatchedAt); most > 12*3/2+8 {
		t.Errorf("%d requests were dispatched in a second", most)
	}
	t.Logf("%d of %d calls, %d of %d payouts were dispatched", calls.dispatched, calls.arrived, payouts.dispatched, payouts.arrived)
	if share := float64(payouts.dispatched) / float64(payouts.arrived); share < 0.4 {
		t.Errorf("%.2f of the payouts were dispatched", share)
	}
	if share := float64(calls.dispatched) / float64(calls.arrived); share < 0.55 {
		t.Errorf("%.2f of the calls were dispatched", share)
	}
}

// If the rate is enough for all, or only one side sends requests, the whole rate is used.
func TestColdSplitHoldsNothingBack(t *testing.T) {
	for _, c := range []struct {
		name           string
		calls, clients float64
		least          float64
	}{
		{"enough for all", 8, 6, 0.95},
		{"no calls", 0, 40, 0.4},
		{"calls only", 40, 0, 0.4},
	} {
		calls := &coldStream{perSecond: c.calls, call: true, maxWait: 250 * time.Millisecond}
		clients := &coldStream{perSecond: c.clients, priority: table.Normal, maxWait: 86 * time.Millisecond}
		playCold(coldQueue(), []*coldStream{calls, clients}, 100*time.Millisecond, 30*time.Second)
		share := float64(calls.dispatched+clients.dispatched) / float64(calls.arrived+clients.arrived)
		if share < c.least {
			t.Errorf("%s: %.2f of the requests were dispatched", c.name, share)
		}
	}
}

// Requests of the lowest priority have no share of the cold rate, so calls go first.
func TestLeastPriorityHasNoShareOfTheColdRate(t *testing.T) {
	calls := &coldStream{perSecond: 21, call: true, maxWait: 250 * time.Millisecond}
	checks := &coldStream{perSecond: 6, priority: table.Bulk, maxWait: 86 * time.Millisecond}
	playCold(coldQueue(), []*coldStream{calls, checks}, 100*time.Millisecond, 30*time.Second)
	if share := float64(calls.dispatched) / float64(calls.arrived); share < 0.75 {
		t.Errorf("%.2f of the calls were dispatched while requests of the lowest priority arrived too", share)
	}
}

// In any sequence of events, the number of requests ahead of another is never negative, and a side
// that has got too little has its turn.
func TestColdSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var split rateSplit
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			call := rapid.Bool().Draw(t, "call")
			if rapid.Bool().Draw(t, "arrived") {
				split.arrived(call)
			} else {
				split.dispatched(call)
			}
			n := rapid.IntRange(1, 50).Draw(t, "n")
			if split.callsBefore(n) < 0 || split.clientsBefore(n) < 0 {
				t.Fatalf("%+v: %d calls, %d client requests", split, split.callsBefore(n), split.clientsBefore(n))
			}
			if split.clientsFirst() && split.callsBefore(1) != 0 {
				t.Fatalf("%+v: %d calls go before a client request whose turn it is", split, split.callsBefore(1))
			}
			if part := split.clientShare(); part < minSplitShare || part > 1-minSplitShare {
				t.Fatalf("share %g", part)
			}
		}
	})
}

// A call that cannot get a token within its MaxWait is refused at once.
func TestCallThatGetsNoTokenInTimeIsRefusedAtOnce(t *testing.T) {
	q := coldQueue()
	offer := func() *Ticket {
		ticket := &Ticket{Deadline: start.Add(500 * time.Millisecond), Call: true, MaxWait: 250 * time.Millisecond}
		q.Offer(start, ticket)
		return ticket
	}
	for i := range 4 { // The fourth gets its token after 222 ms.
		if ticket := offer(); ticket.State() != Queued {
			t.Errorf("call %d: state %d", i, ticket.State())
		}
	}
	if ticket := offer(); ticket.State() != Refused {
		t.Errorf("a call that would get its token after 278 ms: state %d", ticket.State())
	}
}

// Calls that wait for the cold rate do not reserve slots: more slots would not shorten their wait.
func TestColdRateReservesNoSlots(t *testing.T) {
	q := NewQueue(Settings{Slots: 12, Queue: 24, FixedLimit: true, ReserveForCalls: true, Cold: ColdRate(12, 1.5, 8)})
	q.StartTokenBucket(start)
	q.SetCold(start.Add(time.Hour))
	calls := &coldStream{perSecond: 30, call: true, maxWait: 250 * time.Millisecond}
	clients := &coldStream{perSecond: 6, priority: table.Normal, maxWait: 86 * time.Millisecond}
	playCold(q, []*coldStream{calls, clients}, 100*time.Millisecond, 3*time.Second)
	if q.callReserve.slots > 0 {
		t.Errorf("%d slots are reserved", q.callReserve.slots)
	}
}

// A request that can only be late takes no token that a request could use to meet its aim.
func TestLateRequestsTakeNoTokens(t *testing.T) {
	q := coldQueue()
	late := &Ticket{Deadline: start.Add(3 * time.Second), Aim: start.Add(-time.Second), Work: 100 * time.Millisecond, MaxWait: 100 * time.Millisecond}
	inTime := &Ticket{Deadline: start.Add(3 * time.Second), Aim: start.Add(500 * time.Millisecond), Work: 100 * time.Millisecond, MaxWait: 100 * time.Millisecond}
	q.Offer(start, late)
	q.Offer(start, inTime)
	if late.State() != Refused || late.Cause() != Late || inTime.State() != Queued {
		t.Errorf("without a token: states %d and %d", late.State(), inTime.State())
	}
	*late = Ticket{Deadline: late.Deadline, Aim: late.Aim, Work: late.Work, MaxWait: late.MaxWait}
	now := start.Add(300 * time.Millisecond)
	q.Advance(now)
	q.Offer(now, late)
	if late.State() != Dispatched {
		t.Errorf("with tokens: state %d", late.State())
	}
}
