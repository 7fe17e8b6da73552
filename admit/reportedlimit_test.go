// SPDX-License-Identifier: MIT

package admit

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// noLimit is the limit of a response that reports none.
const noLimit = -1

// The limit follows the responses of the server, in whatever order they are read.
func TestReportedLimitFollowsResponses(t *testing.T) {
	type response struct {
		// sent and read are in milliseconds.
		sent, read int
		limit      float64
		// partial responses may lack the limit although there is one.
		partial bool
	}
	for _, test := range []struct {
		name      string
		responses []response
		want      float64
	}{
		{"no limit", []response{{0, 5, noLimit, false}}, noLimit},
		{"a limit", []response{{0, 5, 8, false}}, 8},
		{"a limit of 0", []response{{0, 5, 0, false}}, 0},
		{"a limit in a partial response", []response{{0, 5, 8, true}}, 8},
		{"lifted", []response{{0, 5, 8, false}, {6, 9, noLimit, false}}, noLimit},
		{"raised", []response{{0, 5, 8, false}, {6, 9, 20, false}}, 20},
		{"lowered", []response{{0, 5, 8, false}, {6, 9, 2, false}}, 2},
		{"no limit, sent before the limit was known", []response{{0, 5, 8, false}, {4, 9, noLimit, false}}, 8},
		{"raised, sent before the limit was known", []response{{0, 5, 8, false}, {4, 9, 20, false}}, 8},
		{"lowered, sent before the limit was known", []response{{0, 5, 8, false}, {4, 9, 2, false}}, 2},
		{"raised while earlier responses still arrive", []response{{0, 5, 8, false}, {1, 6, 20, false}, {2, 7, 20, false}, {6, 9, 20, false}}, 20},
		{"no limit in a partial response", []response{{0, 5, 8, false}, {6, 9, noLimit, true}}, 8},
		{"a limit sent before it was lifted", []response{{0, 5, 8, false}, {6, 9, noLimit, false}, {4, 10, 8, false}}, 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
			var l ReportedLimit
			for _, r := range test.responses {
				l.Observe(at(r.read), at(r.sent), r.limit, r.limit != noLimit, !r.partial)
			}
			if got := limitOf(&l); got != test.want {
				t.Errorf("the limit is %g, want %g", got, test.want)
			}
		})
	}
}

func limitOf(l *ReportedLimit) float64 {
	if perSecond, limited := l.PerSecond(); limited {
		return perSecond
	}
	return noLimit
}

// What other nodes know counts until the server's own responses show it.
func TestAssumedLimitHoldsUntilTheServerResponds(t *testing.T) {
	var l ReportedLimit
	l.Assume(start, 9)
	l.Assume(start, 4)
	l.Assume(start, 20)
	if got := limitOf(&l); got != 4 || l.Known() {
		t.Errorf("the limit is %g, want the lowest assumed one", got)
	}
	l.Observe(start.Add(2), start.Add(1), 0, false, true)
	l.Assume(start.Add(3), 4)
	if got := limitOf(&l); got != noLimit || !l.Known() {
		t.Errorf("the limit is %g although the server reports none", got)
	}
}

// Whatever a server reports and in whatever order responses are read, once all requests sent
// before its last change are answered, the next response sets what it reports.
func TestReportedLimitConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l ReportedLimit
		now := start
		for range rapid.IntRange(0, 20).Draw(t, "responses") {
			now = now.Add(time.Millisecond)
			sent := now.Add(-time.Duration(rapid.IntRange(1, 50).Draw(t, "age")) * time.Millisecond)
			limit := rapid.SampledFrom([]float64{noLimit, 0, 0.3, 5, 80}).Draw(t, "limit")
			l.Observe(now, sent, limit, limit != noLimit, rapid.Bool().Draw(t, "whole"))
		}
		want := rapid.SampledFrom([]float64{noLimit, 0, 7}).Draw(t, "last limit")
		l.Observe(now.Add(2*time.Millisecond), now.Add(time.Millisecond), want, want != noLimit, true)
		if got := limitOf(&l); got != want {
			t.Errorf("the limit is %g, want %g", got, want)
		}
	})
}

// A server gets no more than 1.5 times its reported rate and 5 requests in any four seconds, while
// the rate changes and requests arrive in any pattern.
func TestReportedRateHolds(t *testing.T) {
	const window = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(Settings{Slots: 1000, Queue: 1000, FixedLimit: true, NoDeadlineBound: true})
		perSecond := rapid.SampledFrom([]float64{0, 0.2, 2.5, 8, 60}).Draw(t, "rate")
		trials := rapid.Bool().Draw(t, "trials")
		q.SetReportedRate(start, ReportedRate(perSecond, trials))
		now := start
		var sent []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "arrivals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond)
			if rapid.IntRange(0, 20).Draw(t, "again") == 0 {
				q.SetReportedRate(now, ReportedRate(perSecond, trials))
			}
			ticket := &Ticket{Deadline: now.Add(time.Hour), Patient: true}
			q.Offer(now, ticket)
			left := q.Advance(now)
			for _, other := range append(left, ticket) {
				if other.State() == Dispatched {
					sent = append(sent, now)
					q.Done(now, other, true)
				}
			}
			sent = slices.DeleteFunc(sent, func(at time.Time) bool { return now.Sub(at) > window })
			if allowed := int(1.5*perSecond*window.Seconds()) + 5; len(sent) > allowed {
				t.Fatalf("%d requests within %v at %g per second, %d are allowed", len(sent), window, perSecond, allowed)
			}
		}
	})
}
