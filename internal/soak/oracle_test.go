// SPDX-License-Identifier: MIT

package soak

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/internal/faultproxy"
	"github.com/ryehaven/ryehaven/platform/emulator"
)

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }

// answered returns a call with a complete answer to this very request.
func answered(id string, ms int) Call {
	return Call{
		ID: id, Method: "GET", URI: "/read/1", Repeatable: true, Sent: at(ms), Done: at(ms + 5),
		Fields: []string{"X-A: 1", "x-a: 2", "X-B:"},
		Reply:  emulator.Reply{Status: 200, Body: emulator.BodyOf(id, "/read/1"), Seal: "seal-i-0", Fields: headerOf(answerFields)},
	}
}

// headerOf returns fields in the form in which they are received.
func headerOf(fields []string) http.Header {
	h := http.Header{}
	for _, line := range fields {
		name, value, _ := strings.Cut(line, ":")
		h.Add(name, strings.TrimSpace(value))
	}
	return h
}

// arrival returns the arrival of a call at a server that runs it.
func arrival(c Call, server string, ms int) Arrival {
	return Arrival{Server: server, Arrival: emulator.Arrival{
		RequestID: c.ID, Caller: "alpha", Method: c.Method, URI: c.URI, Body: c.Body, Fields: headerOf(c.Fields), At: at(ms), Ran: true,
	}}
}

// validHistory returns a history that keeps all promises.
func validHistory() History {
	read, order := answered("1", 10_000), answered("2", 10_010)
	order.Repeatable = false
	probe := answered("3", 10_020)
	probe.SinceVersion = 2
	h := History{Services: []string{"alpha"}, Zones: []string{"z"}, Attempts: 2, Recovered: true}
	h.Calls = []Call{read, order, probe}
	h.Arrivals = []Arrival{arrival(read, "i-0", 10_001), arrival(order, "i-0", 10_011), arrival(probe, "i-0", 10_021)}
	h.Versions = []Version{{Serial: 1, Sent: at(0), At: at(0), MovingService: "beta"}, {Serial: 2, Sent: at(5000), At: at(5000), MovingService: "alpha"}}
	h.Processes = []NodeProcess{{From: at(0), To: at(60_000)}}
	h.ColdPeaks = []ColdPeak{{Server: "i-0", Peak: 50}}
	h.Evacuations = []Evacuation{
		{Zone: "z", From: at(9000), To: at(20_000)}, // Not in force yet.
		{Zone: "z", From: at(1000), To: at(9_900)},  // Revoked.
		{Zone: "y", From: at(1000), To: at(20_000)}, // In another zone.
	}
	addStall(&h)
	return h
}

// stallAt is the time of the stall in validHistory, in milliseconds. Afterwards
// requestsPerSecond requests are sent per second.
const (
	stallAt           = 20_000
	requestsPerSecond = 50
)

// addStall adds a stall of all hosts after which all requests are served; every tenth one goes
// to the moving route.
func addStall(h *History) {
	h.Stalls = []Stall{{At: at(stallAt), Links: allLinks, Direction: faultproxy.BothDirections, Connections: 9}}
	h.Disturbances = append(h.Disturbances, Disturbance{Host: AllHosts, From: at(stallAt), To: at(stallAt), Kind: StallAllConnections, Unplanned: true})
	for i := range 6 * requestsPerSecond {
		c := answered(fmt.Sprint("s", i), stallAt+i*1000/requestsPerSecond)
		if i%10 == 0 {
			c.URI = movingPrefix + "1"
			c.Reply.Body = emulator.BodyOf(c.ID, c.URI)
		}
		h.Calls = append(h.Calls, c)
		h.Arrivals = append(h.Arrivals, arrival(c, "i-0", stallAt+1+i*1000/requestsPerSecond))
	}
}

// replaceAnswer gives the first call an answer from the node itself while a server still runs
// the request, and has the node stop.
func replaceAnswer(h *History, began, done, stop int) {
	c := &h.Calls[0]
	c.Began, c.Sent, c.Done = at(began), at(began), at(done)
	c.Reply = emulator.Reply{Status: 504}
	h.Disturbances = append(h.Disturbances, Disturbance{Host: c.Host, From: at(stop), To: at(stop + 6000), Kind: Stop})
}

// refuseCalls refuses the requests sent in a period, except for every n-th.
func refuseCalls(h *History, from, to, n int) {
	for i := range h.Calls {
		if c := &h.Calls[i]; !c.Sent.Before(at(from)) && c.Sent.Before(at(to)) && i%n != 0 {
			c.Reply = emulator.Reply{Status: 503}
		}
	}
}

// loseCalls makes the requests sent in a period non-repeatable and lets them fail with an unknown
// result, except for every n-th.
func loseCalls(h *History, from, to, n int) {
	for i := range h.Calls {
		c := &h.Calls[i]
		if c.Sent.Before(at(from)) || !c.Sent.Before(at(to)) {
			continue
		}
		c.Repeatable = false
		if i%n != 0 {
			c.Reply = emulator.Reply{Status: 504}
		}
	}
}

// limitRate has the server report a rate limit in the first six seconds after the stall, in which
// it gets requestsPerSecond, and hosts forward that.
func limitRate(h *History, perSecond float64) {
	period := emulator.RateLimitPeriod{PerSecond: perSecond, From: at(stallAt), To: at(stallAt + 6000)}
	h.RateLimits = []RateLimit{{Server: "i-0", RateLimitPeriod: period}}
	for i := range h.Calls {
		if c := &h.Calls[i]; !c.Sent.Before(at(stallAt)) {
			c.Reply.RateLimit = "some"
		}
	}
}

// leave has the server say in one response after the stall that it is leaving.
func leave(h *History) {
	for i := range h.Calls {
		if c := &h.Calls[i]; !c.Sent.Before(at(stallAt)) {
			c.Reply.Leaving = "1"
			break
		}
	}
	for i := range h.Calls {
		h.Calls[i].Began = h.Calls[i].Sent
	}
}

// moveArrivals moves the arrivals after a time to another server.
func moveArrivals(h *History, from int, server string) {
	for i := range h.Arrivals {
		if !h.Arrivals[i].At.Before(at(from)) {
			h.Arrivals[i].Server = server
		}
	}
}

// rejectCalls has n calls sent after a time rejected with a status.
func rejectCalls(h *History, from, n, status int) {
	for i := range h.Calls {
		if c := &h.Calls[i]; n > 0 && c.Sent.After(at(from)) {
			c.Reply = emulator.Reply{Status: status}
			n--
		}
	}
}

func TestValidHistoryHasNoViolations(t *testing.T) {
	if found := Check(validHistory(), UsualBounds()); len(found) > 0 {
		t.Errorf("%+v", found)
	}
}

// Each way of breaking a promise is found and reported as that promise.
func TestEachBrokenPromiseIsFound(t *testing.T) {
	tests := []struct {
		name    string
		promise string
		spoil   func(h *History)
	}{
		{"another request's answer", PromiseCorrectAnswer, func(h *History) { h.Calls[0].Reply.Body = emulator.BodyOf("9", "/read/1") }},
		{"a truncated answer", PromiseCorrectAnswer, func(h *History) { h.Calls[0].Reply.Body = h.Calls[0].Reply.Body[:4] }},
		{"a success without a run", PromiseCorrectAnswer, func(h *History) { h.Arrivals = h.Arrivals[1:] }},
		{"refused with 503 and run", PromiseNotRun, func(h *History) { h.Calls[1].Reply = emulator.Reply{Status: 503} }},
		{"refused with 429 and run", PromiseNotRun, func(h *History) { h.Calls[1].Reply = emulator.Reply{Status: 429} }},
		{"run twice", PromiseOnce, func(h *History) { h.Arrivals = append(h.Arrivals, arrival(h.Calls[1], "i-1", 10_012)) }},
		{"one server too many", PromiseAttempts, func(h *History) {
			h.Arrivals = append(h.Arrivals, arrival(h.Calls[0], "i-1", 10_002), arrival(h.Calls[0], "i-2", 10_003))
		}},
		{"a request that no caller sent", PromiseOnlySentRequests, func(h *History) {
			h.Arrivals = append(h.Arrivals, arrival(answered("77", 10_000), "i-0", 10_001))
		}},
		{"a changed path", PromiseOnlySentRequests, func(h *History) { h.Arrivals[0].URI = "/read/2" }},
		{"a changed field", PromiseOnlySentRequests, func(h *History) { h.Arrivals[0].Fields["X-A"] = []string{"1"} }},
		{"a lost empty field", PromiseOnlySentRequests, func(h *History) { delete(h.Arrivals[0].Fields, "X-B") }},
		{"a changed field of an answer", PromiseCorrectAnswer, func(h *History) { h.Calls[0].Reply.Fields["Set-Cookie"] = []string{"c"} }},
		{"a changed body", PromiseOnlySentRequests, func(h *History) { h.Arrivals[0].Body = "more" }},
		{"a forged caller", PromiseOnlySentRequests, func(h *History) { h.Arrivals[0].Caller = "beta" }},
		{"a request after a drain", PromiseDrain, func(h *History) { h.Acks = []Ack{{Server: "i-0", At: at(7000)}} }},
		{"cut off after it reached a server", PromiseNoLoss, func(h *History) { h.Calls[0].Reply = emulator.Reply{Err: errors.New("EOF")} }},
		{"cut off late, without reaching a server", PromiseNoLoss, func(h *History) {
			h.Calls[0].Reply = emulator.Reply{Err: errors.New("EOF")}
			h.Calls[0].Done = at(10_900)
			h.Arrivals = h.Arrivals[1:]
		}},
		{"an answer from the node during a run, before the stop", PromiseNoLoss, func(h *History) { replaceAnswer(h, 10_000, 10_900, 10_850) }},
		{"an answer from the node during a run, late in the stop", PromiseNoLoss, func(h *History) { replaceAnswer(h, 10_000, 10_900, 4_500) }},
		{"an old configuration", PromiseConfig, func(h *History) { h.Calls[2].Reply = emulator.Reply{Status: 404} }},
		{"back to an older configuration", PromiseNoRollback, func(h *History) {
			again := h.Calls[2]
			again.ID, again.Sent, again.Done = "4", at(10_900), at(10_905)
			again.Reply = emulator.Reply{Status: 404}
			h.Versions[1].At = at(9500) // Its time limit is not over, so that only the rollback is a violation.
			h.Calls = append(h.Calls, again)
		}},
		{"an old configuration after a stall", PromiseConfig, func(h *History) {
			h.Versions = append(h.Versions, Version{Serial: 3, Sent: at(stallAt), At: at(stallAt + 5), MovingService: "alpha"})
			probe := answered("4", stallAt+3100)
			probe.SinceVersion, probe.Reply = 3, emulator.Reply{Status: 404}
			h.Calls = append(h.Calls, probe)
		}},
		{"run at a service that only an older version has", PromiseConfig, func(h *History) {
			h.Versions = append(h.Versions, Version{Serial: 3, Sent: at(stallAt - 1), At: at(stallAt + 2), MovingService: "beta"})
		}},
		{"unknown at an undisturbed host", PromiseNotRejected, func(h *History) { rejectCalls(h, stallAt+3000, 1, 404) }},
		{"rejected often by undisturbed hosts", PromiseNotRejected, func(h *History) { rejectCalls(h, stallAt+3000, 6, 400) }},
		{"redirected often by undisturbed hosts", PromiseNotRejected, func(h *History) { rejectCalls(h, stallAt+3000, 6, 307) }},
		{"unknown often at disturbed hosts", PromiseNotRejected, func(h *History) { rejectCalls(h, stallAt, 11, 403) }},
		{"few served during a stall", PromiseService, func(h *History) { refuseCalls(h, stallAt, stallAt+3000, 5) }},
		{"few repeatable served during a stall", PromiseService, func(h *History) { refuseCalls(h, stallAt+1000, stallAt+3000, 3) }},
		{"few repeatable served in the first second", PromiseService, func(h *History) { refuseCalls(h, stallAt, stallAt+600, 10_000) }},
		{"few served after a stall", PromiseService, func(h *History) { refuseCalls(h, stallAt+3000, stallAt+6000, 5) }},
		{"few served, one of two hosts stopped", PromiseService, func(h *History) {
			refuseCalls(h, stallAt, stallAt+6000, 5)
			h.Services, h.Zones = append(h.Services, "alpha"), append(h.Zones, "x")
			h.Disturbances = append(h.Disturbances, Disturbance{Host: 1, From: at(stallAt + 1000), To: at(stallAt + 5000), Kind: Stop})
		}},
		{"served too late after a stall", PromiseService, func(h *History) {
			for i := range h.Calls {
				if c := &h.Calls[i]; c.Sent.After(at(stallAt + 3000)) {
					c.Done = c.Sent.Add((deadlineMs + 1) * time.Millisecond)
				}
			}
		}},
		{"a request in a zone evacuated at a stall", PromiseEvacuate, func(h *History) {
			h.Evacuations = []Evacuation{{Zone: "z", From: at(stallAt), To: at(stallAt + 3045)}}
		}},
		{"a request without an answer by its deadline", PromiseInTime, func(h *History) {
			h.Calls[0].DeadlineMs = 300
			h.Calls[0].Done = h.Calls[0].Sent.Add(801 * time.Millisecond)
		}},
		{"a process that crashed", PromiseNoUnexpectedExit, func(h *History) { h.Processes[0].Unexpected = "panic: x" }},
		{"too many requests for a cold server", PromiseCold, func(h *History) { h.ColdPeaks = []ColdPeak{{Server: "i-0", Peak: 51}} }},
		{"a request that crashes servers after nodes know it", PromiseCrash, func(h *History) {
			h.Evacuations = nil
			for _, ms := range []int{10_100, 10_200, 10_300, 13_290, 13_310, 13_320, 13_330, 13_340} {
				c := answered(fmt.Sprint("c", ms), ms)
				c.URI = "/read/x" + crashMarker
				c.Reply = emulator.Reply{Status: 502}
				h.Calls = append(h.Calls, c)
				h.Arrivals = append(h.Arrivals, arrival(c, fmt.Sprint("i-", ms), ms))
			}
		}},
		{"a request that crashes too many servers", PromiseCrash, func(h *History) {
			h.Evacuations = nil
			for ms := 10_100; ms < 10_190; ms += 10 {
				c := answered(fmt.Sprint("c", ms), ms)
				c.URI = "/read/x" + crashMarker
				c.Reply = emulator.Reply{Status: 502}
				h.Calls = append(h.Calls, c)
				h.Arrivals = append(h.Arrivals, arrival(c, fmt.Sprint("i-", ms), ms))
			}
		}},
		{"more requests than a server accepts", PromiseRateLimit, func(h *History) { limitRate(h, 8) }},
		{"more requests than a server accepts, that accepted more before", PromiseRateLimit, func(h *History) {
			limitRate(h, 400)
			first := &h.RateLimits[0]
			first.To = at(stallAt + 1000)
			next := RateLimit{Server: "i-0", RateLimitPeriod: emulator.RateLimitPeriod{PerSecond: 2, From: first.To, To: at(stallAt + 6000)}}
			h.RateLimits = append(h.RateLimits, next)
		}},
		{"more requests than a server accepts, with a fault that is no excuse", PromiseRateLimit, func(h *History) {
			limitRate(h, 8)
			h.Disturbances = append(h.Disturbances, Disturbance{Host: 0, From: at(stallAt + 2000), To: at(stallAt + 6000), Kind: StoreCut, Unplanned: true})
		}},
		{"a request to a server that said it is leaving", PromiseDrain, leave},
		{"a request to a server that said it is leaving, from a host that was cut off", PromiseDrain, func(h *History) {
			leave(h)
			h.Disturbances = append(h.Disturbances, Disturbance{Host: 0, From: at(stallAt + 1000), To: at(stallAt + 6000), Kind: PeerCut, Unplanned: true})
		}},
		{"a request in an evacuated zone", PromiseEvacuate, func(h *History) {
			h.Evacuations = []Evacuation{{Zone: "z", From: at(6000), To: at(11_000)}}
		}},
		{"no recovery", PromiseRecovery, func(h *History) { h.Recovered = false }},
		{"more retries than allowed", PromiseRetryBudget, func(h *History) {
			for i := range 200 {
				c := answered(strings.Repeat("x", i+1), 10_100+i)
				h.Calls = append(h.Calls, c)
				h.Arrivals = append(h.Arrivals, arrival(c, "i-0", 10_101+i), arrival(c, "i-1", 10_102+i))
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := validHistory()
			test.spoil(&h)
			found := Check(h, UsualBounds())
			if len(found) == 0 {
				t.Fatal("no violation was found")
			}
			for _, v := range found {
				if v.Promise != test.promise {
					t.Errorf("found %q: %s", v.Promise, v.Detail)
				}
			}
		})
	}
}

// A disturbance excuses a broken promise with a time limit, but not one without.
func TestDisturbancesExcuseOnlyTimedPromises(t *testing.T) {
	excused := validHistory()
	excused.Calls[2].Reply = emulator.Reply{Status: 404}
	excused.Calls[0].Reply = emulator.Reply{Err: errors.New("EOF")}
	excused.Disturbances = append(excused.Disturbances, Disturbance{Host: AllHosts, From: at(8000), To: at(9000), Unplanned: true})
	if found := Check(excused, UsualBounds()); len(found) > 0 {
		t.Errorf("found despite the disturbance: %+v", found)
	}
	twice := validHistory()
	twice.Disturbances = excused.Disturbances
	twice.Arrivals = append(twice.Arrivals, arrival(twice.Calls[1], "i-1", 10_012))
	if found := Check(twice, UsualBounds()); len(found) != 1 || found[0].Promise != PromiseOnce {
		t.Errorf("%+v", found)
	}
}

// A planned stop does not excuse a request that was cut off.
func TestPlannedWorkExcusesNoLoss(t *testing.T) {
	h := validHistory()
	h.Calls[0].Reply = emulator.Reply{Err: errors.New("EOF")}
	h.Disturbances = append(h.Disturbances, Disturbance{Host: 0, From: at(8000), To: at(11_000), Kind: Stop})
	if found := Check(h, UsualBounds()); len(found) != 1 || found[0].Promise != PromiseNoLoss {
		t.Errorf("%+v", found)
	}
}

// What the bounds allow is not reported as a violation.
func TestWhatTheBoundsAllow(t *testing.T) {
	tests := []struct {
		name  string
		allow func(h *History)
	}{
		{"few rejected by undisturbed hosts", func(h *History) { rejectCalls(h, stallAt+3000, 5, 400) }},
		{"few unknown at disturbed hosts", func(h *History) { rejectCalls(h, stallAt, 10, 404) }},
		{"refused, not rejected as invalid", func(h *History) { rejectCalls(h, stallAt+3000, 20, 429) }},
		{"rejected by a server", func(h *History) {
			rejectCalls(h, stallAt+3000, 20, 404)
			for i := range h.Calls {
				if h.Calls[i].Reply.Status == 404 {
					h.Calls[i].Reply.Seal = "seal-i-0"
				}
			}
		}},
		{"as many requests as a server accepts", func(h *History) { limitRate(h, 25) }},
		{"more than a server accepts, from a host that forwarded no limit", func(h *History) {
			limitRate(h, 8)
			for i := range h.Calls {
				h.Calls[i].Reply.RateLimit = ""
			}
		}},
		{"more than a server accepts, from a host that restarted", func(h *History) {
			limitRate(h, 8)
			h.Disturbances = append(h.Disturbances, Disturbance{Host: 0, From: at(stallAt + 2000), To: at(stallAt + 5800), Kind: Kill, Unplanned: true})
		}},
		{"more than a server accepts, just after it said so", func(h *History) {
			limitRate(h, 8)
			h.RateLimits[0].From = at(stallAt + 3000)
		}},
		{"a request to a server that is leaving, soon after it said so", func(h *History) {
			leave(h)
			moveArrivals(h, stallAt+2000, "i-1")
		}},
		{"a request to the next incarnation of a server that said it is leaving", func(h *History) {
			leave(h)
			moveArrivals(h, stallAt+1000, "i-0#7")
		}},
		{"a request to a server that is leaving, from a host that was paused", func(h *History) {
			leave(h)
			h.Disturbances = append(h.Disturbances, Disturbance{Host: 0, From: at(stallAt + 1000), To: at(stallAt + 1500), Kind: Pause, Unplanned: true})
		}},
		{"an answer from the node without a stop", func(h *History) {
			replaceAnswer(h, 10_000, 10_900, 0)
			h.Disturbances = h.Disturbances[:1]
		}},
		{"an answer from the node at the time limit", func(h *History) { replaceAnswer(h, 10_000, 11_000, 9_000) }},
		{"an answer from the node after the run has ended", func(h *History) {
			replaceAnswer(h, 10_000, 10_900, 9_000)
			h.Arrivals[0].Ended = at(10_700)
		}},
		{"non-repeatable requests above the minimum", func(h *History) {
			loseCalls(h, stallAt, stallAt+3000, 3)
			refuseCalls(h, stallAt+3000, stallAt+6000, 3)
		}},
		{"repeatable requests above the minimum", func(h *History) { refuseCalls(h, stallAt, stallAt+400, 10_000) }},
		{"few repeatable served, with the next stall soon after", func(h *History) {
			refuseCalls(h, stallAt+1000, stallAt+2900, 3)
			h.Stalls = append(h.Stalls, Stall{At: at(stallAt + 2900), Links: allLinks, Direction: faultproxy.BothDirections, Connections: 9})
		}},
		{"few served, with another disturbance", func(h *History) {
			refuseCalls(h, stallAt, stallAt+6000, 5)
			h.ReducedCapacity = []Disturbance{{Host: 0, From: at(stallAt + 1000), To: at(stallAt + 2000), Kind: ServerCold}}
		}},
		{"few served, the only host stopped", func(h *History) {
			refuseCalls(h, stallAt, stallAt+6000, 5)
			h.Disturbances = append(h.Disturbances, Disturbance{Host: 0, From: at(stallAt + 1000), To: at(stallAt + 5000), Kind: Stop})
		}},
		{"few served, one host evacuated and the other's server replaced", func(h *History) {
			refuseCalls(h, stallAt, stallAt+6000, 5)
			h.Services, h.Zones = append(h.Services, "alpha"), append(h.Zones, "x")
			h.ReducedCapacity = []Disturbance{
				{Host: 1, From: at(stallAt + 1000), To: at(stallAt + 5000), Kind: ServerReplace},
				{Host: 0, From: at(stallAt), To: at(stallAt + 5000), Kind: Evacuate},
			}
		}},
		{"the moving route at the service of an older version, in time", func(h *History) {
			h.Versions = append(h.Versions, Version{Serial: 3, Sent: at(stallAt + 4100), At: at(stallAt + 4110), MovingService: "beta"})
		}},
		{"the moving route at the service of a version being written", func(h *History) {
			h.Versions = append(h.Versions, Version{Serial: 3, Sent: at(stallAt - 5), At: at(stallAt + 9000), MovingService: "beta"})
			h.Services = append(h.Services, "beta")
			for i := range h.Arrivals {
				if strings.HasPrefix(h.Arrivals[i].URI, movingPrefix) {
					h.Arrivals[i].Host = 1
				}
			}
			h.Zones = append(h.Zones, "x")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := validHistory()
			test.allow(&h)
			if found := Check(h, UsualBounds()); len(found) > 0 {
				t.Errorf("%+v", found)
			}
		})
	}
}

// The shares cover the requests sent in each second, up to the next stall.
func TestStallOutcomesPerSecond(t *testing.T) {
	h := validHistory()
	refuseCalls(&h, stallAt, stallAt+1000, len(h.Calls))
	h.Stalls = append(h.Stalls, Stall{At: at(stallAt + 4500), Links: []Link{ToServers}})
	got := StallOutcomes(h, UsualBounds())
	if len(got) != 2 || len(got[0].Seconds) != 5 || len(got[1].Seconds) != 6 {
		t.Fatalf("%+v", got)
	}
	first := got[0].Seconds
	if first[0].Served != 0 || first[0].Sent != requestsPerSecond || first[1].Served != requestsPerSecond {
		t.Errorf("shares per second are %+v", first)
	}
	if want := (Share{Sent: 3 * requestsPerSecond, Served: 2 * requestsPerSecond}); got[0].During != want {
		t.Errorf("share during the stall is %+v, want %+v", got[0].During, want)
	}
}

// Findings lists every broken promise, with the number of violations if there are many.
func TestFindingsListEveryPromise(t *testing.T) {
	var r Report
	for range maxFindings + 1 {
		r.Violations = append(r.Violations, Violation{Promise: PromiseConfig, Detail: "x"})
	}
	r.Violations = append(r.Violations, Violation{Promise: PromiseOnce, Detail: "y"})
	got := r.Findings()
	if len(got) != maxFindings+2 || !strings.Contains(got[maxFindings], PromiseOnce) || got[maxFindings+1] != PromiseConfig+": 6 in total" {
		t.Errorf("%q", got)
	}
}
