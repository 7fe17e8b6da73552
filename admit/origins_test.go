// SPDX-License-Identifier: MIT

package admit

import (
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/table"
)

func TestRoutesOfOneServiceAreCalls(t *testing.T) {
	var o Origins
	calls := 0
	for range 100 {
		if o.Call("lookup", "archive") {
			calls++
		}
	}
	if calls != 100-originLeast+1 {
		t.Errorf("%d of 100 were taken for calls", calls)
	}
	for n := range 100 {
		if o.Call("fetch", []string{"archive", "billing", "payroll"}[n%3]) {
			t.Fatal("a route of callers was taken for calls")
		}
	}
	if o.Call("lookup", "billing") {
		t.Error("a route that callers use too is still taken for calls")
	}
	if o.Call("", "archive") || o.Call("x", "") {
		t.Error("nothing is known of the request")
	}
}

// Calls go before everything else, and wait where other requests are refused.
func TestCallsGoFirst(t *testing.T) {
	q := NewQueue(Settings{Slots: 1, Queue: 2, FixedLimit: true})
	running := &Ticket{Deadline: start.Add(time.Second)}
	urgent := &Ticket{Deadline: start.Add(time.Second)}
	call := &Ticket{Deadline: start.Add(time.Second), Priority: table.Bulk, Call: true}
	for _, ticket := range []*Ticket{running, urgent, call} {
		q.Offer(start, ticket)
	}
	q.Done(start, running, true)
	q.Advance(start)
	if call.State() != Dispatched || urgent.State() != Queued {
		t.Errorf("call is %d, urgent is %d", call.State(), urgent.State())
	}
}
