// SPDX-License-Identifier: MIT

package soak

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/platform/emulator"
)

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }

// answered is a call with a whole and own answer.
func answered(id string, ms int) Call {
	return Call{
		ID: id, Method: "GET", URI: "/read/1", Repeatable: true, Sent: at(ms), Done: at(ms + 5),
		Reply: emulator.Reply{Status: 200, Body: emulator.BodyOf(id, "/read/1"), Seal: "seal-i-0"},
	}
}

// arrival is a run of a call at a server.
func arrival(c Call, server string, ms int) Arrival {
	return Arrival{Server: server, Arrival: emulator.Arrival{
		RequestID: c.ID, Caller: "alpha", Method: c.Method, URI: c.URI, Body: c.Body, At: at(ms), Ran: true,
	}}
}

// sound is a history that keeps every promise.
func sound() History {
	read, order := answered("1", 10_000), answered("2", 10_010)
	order.Repeatable = false
	probe := answered("3", 10_020)
	probe.Since = 2
	h := History{Services: []string{"alpha"}, Zones: []string{"z"}, Attempts: 2, Healed: true}
	h.Calls = []Call{read, order, probe}
	h.Arrivals = []Arrival{arrival(read, "i-0", 10_001), arrival(order, "i-0", 10_011), arrival(probe, "i-0", 10_021)}
	h.Versions = []Version{{Serial: 1, At: at(0)}, {Serial: 2, At: at(5000)}}
	h.Lives = []Life{{From: at(0), To: at(60_000)}}
	h.Cold = []Cold{{Server: "i-0", Most: 50}}
	h.Evacuations = []Evacuation{
		{Zone: "z", From: at(9000), To: at(20_000)}, // Not in force yet.
		{Zone: "z", From: at(1000), To: at(9_900)},  // Taken back.
		{Zone: "y", From: at(1000), To: at(20_000)}, // Elsewhere.
	}
	return h
}

func TestSoundHistoryBreaksNothing(t *testing.T) {
	if found := Check(sound(), UsualBounds()); len(found) > 0 {
		t.Errorf("%+v", found)
	}
}

// Each way to break a promise is found, and as that promise.
func TestEachBrokenPromiseIsFound(t *testing.T) {
	tests := []struct {
		name    string
		promise string
		spoil   func(h *History)
	}{
		{"another request's answer", PromiseWhole, func(h *History) { h.Calls[0].Reply.Body = emulator.BodyOf("9", "/read/1") }},
		{"an answer cut short", PromiseWhole, func(h *History) { h.Calls[0].Reply.Body = h.Calls[0].Reply.Body[:4] }},
		{"a success that no server gave", PromiseWhole, func(h *History) { h.Arrivals = h.Arrivals[1:] }},
		{"refused and run", PromiseNotRun, func(h *History) { h.Calls[1].Reply = emulator.Reply{Status: 503} }},
		{"too many requests and run", PromiseNotRun, func(h *History) { h.Calls[1].Reply = emulator.Reply{Status: 429} }},
		{"run twice", PromiseOnce, func(h *History) { h.Arrivals = append(h.Arrivals, arrival(h.Calls[1], "i-1", 10_012)) }},
		{"one server too many", PromiseAttempts, func(h *History) {
			h.Arrivals = append(h.Arrivals, arrival(h.Calls[0], "i-1", 10_002), arrival(h.Calls[0], "i-2", 10_003))
		}},
		{"a request that nobody sent", PromiseUnasked, func(h *History) {
			h.Arrivals = append(h.Arrivals, arrival(answered("77", 10_000), "i-0", 10_001))
		}},
		{"a changed path", PromiseUnasked, func(h *History) { h.Arrivals[0].URI = "/read/2" }},
		{"a changed body", PromiseUnasked, func(h *History) { h.Arrivals[0].Body = "more" }},
		{"a forged caller", PromiseUnasked, func(h *History) { h.Arrivals[0].Caller = "beta" }},
		{"work after a leaving", PromiseDrain, func(h *History) { h.Acks = []Ack{{Server: "i-0", At: at(7000)}} }},
		{"cut off after it came to a server", PromiseLost, func(h *History) { h.Calls[0].Reply = emulator.Reply{Err: errors.New("EOF")} }},
		{"cut off late, not passed on", PromiseLost, func(h *History) {
			h.Calls[0].Reply = emulator.Reply{Err: errors.New("EOF")}
			h.Calls[0].Done = at(10_900)
			h.Arrivals = h.Arrivals[1:]
		}},
		{"an old configuration", PromiseConfig, func(h *History) { h.Calls[2].Reply = emulator.Reply{Status: 404} }},
		{"back to an older configuration", PromiseBack, func(h *History) {
			again := h.Calls[2]
			again.ID, again.Sent, again.Done = "4", at(10_900), at(10_905)
			again.Reply = emulator.Reply{Status: 404}
			h.Versions[1].At = at(9500) // Its time is not up, so that only going back is wrong.
			h.Calls = append(h.Calls, again)
		}},
		{"a process that crashed", PromiseEnds, func(h *History) { h.Lives[0].Unexpected = "panic: x" }},
		{"a cold server that got too much", PromiseCold, func(h *History) { h.Cold = []Cold{{Server: "i-0", Most: 51}} }},
		{"work in an evacuated zone", PromiseEvacuate, func(h *History) {
			h.Evacuations = []Evacuation{{Zone: "z", From: at(6000), To: at(11_000)}}
		}},
		{"no recovery", PromiseRecover, func(h *History) { h.Healed = false }},
		{"more retries than allowed", PromiseBudget, func(h *History) {
			for i := range 200 {
				c := answered(strings.Repeat("x", i+1), 10_100+i)
				h.Calls = append(h.Calls, c)
				h.Arrivals = append(h.Arrivals, arrival(c, "i-0", 10_101+i), arrival(c, "i-1", 10_102+i))
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := sound()
			test.spoil(&h)
			found := Check(h, UsualBounds())
			if len(found) == 0 {
				t.Fatal("nothing was found")
			}
			for _, v := range found {
				if v.Promise != test.promise {
					t.Errorf("found %q: %s", v.Promise, v.Detail)
				}
			}
		})
	}
}

// What a disturbance excuses is not held against a host, and the promises without
// a time hold all the same.
func TestDisturbancesExcuseOnlyWhatHasATime(t *testing.T) {
	excused := sound()
	excused.Calls[2].Reply = emulator.Reply{Status: 404}
	excused.Calls[0].Reply = emulator.Reply{Err: errors.New("EOF")}
	excused.Spans = []Span{{Host: Everywhere, From: at(8000), To: at(9000), Unplanned: true}}
	if found := Check(excused, UsualBounds()); len(found) > 0 {
		t.Errorf("found in spite of the disturbance: %+v", found)
	}
	twice := sound()
	twice.Spans = excused.Spans
	twice.Arrivals = append(twice.Arrivals, arrival(twice.Calls[1], "i-1", 10_012))
	if found := Check(twice, UsualBounds()); len(found) != 1 || found[0].Promise != PromiseOnce {
		t.Errorf("%+v", found)
	}
}

// A planned stop excuses no request that was cut off.
func TestPlannedWorkExcusesNoLoss(t *testing.T) {
	h := sound()
	h.Calls[0].Reply = emulator.Reply{Err: errors.New("EOF")}
	h.Spans = []Span{{Host: 0, From: at(8000), To: at(11_000), Kind: Stop}}
	if found := Check(h, UsualBounds()); len(found) != 1 || found[0].Promise != PromiseLost {
		t.Errorf("%+v", found)
	}
}
