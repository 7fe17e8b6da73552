// SPDX-License-Identifier: MIT

package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/ryehaven/ryehaven/retry"
)

// agreed are the terms of these tests: for each node of 20, a tenth of its fresh
// requests and some 0.15 a second.
func agreed() retry.Terms { return retry.Terms{Share: 0.2, Extra: 58, Window: 10 * time.Second} }

// budgeted returns a service with one node's part of the terms among 20.
func budgeted() *service {
	s := &service{terms: agreed()}
	s.budget.Bound = s.terms.Split(20)
	s.waits.Bound = s.budget.Part(waitersShare)
	return s
}

func muted() *attempt {
	return &attempt{outcome: retry.Unknown, mute: true, denied: true}
}

// Each arrival at a server past a request's first counts under the terms, and what was
// lost on a silent connection had mostly run. At half a price 290 to 400 went out again
// where the terms allowed 258.
func TestSendingAgainWhatMayHaveArrivedCostsTheFullPrice(t *testing.T) {
	terms := agreed()
	for _, test := range []struct {
		name    string
		attempt *attempt
		want    float64
	}{
		{"on a silent connection", muted(), 1},
		{"unknown", &attempt{outcome: retry.Unknown}, 1},
		{"refused by the gate", &attempt{outcome: retry.Overloaded}, 0},
		{"never arrived", &attempt{outcome: retry.NotRun, notArrived: true}, 0},
	} {
		if got := test.attempt.cost(&terms); got != test.want {
			t.Errorf("%s: costs %v, want %v", test.name, got, test.want)
		}
	}
}

// One silence takes many requests at once. All of them looked at the budget each 20 ms
// for half of their time; only a few may, and the others end at once.
func TestFewRequestsWaitForTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, s := &Entry{}, budgeted()
		began := time.Now()
		const requests = 30
		ends := make(chan time.Duration, requests)
		for range requests {
			go func() {
				r := &request{service: s, gone: make(chan struct{}), began: began, deadline: began.Add(2 * time.Second)}
				if e.awaitBudget(r, muted()) {
					t.Error("paid without an income")
				}
				ends <- time.Since(began)
			}()
		}
		waited := 0
		for range requests {
			if <-ends > 0 {
				waited++
			}
		}
		if waited != maxWaiters {
			t.Errorf("%d requests waited, want %d", waited, maxWaiters)
		}
	})
}

// Those that wait look so often that they took the whole budget: in 10 s 203 of them were
// paid and none of those that ask once. They get half of what comes in at most.
func TestWaitersLeaveHalfOfTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, s := &Entry{}, budgeted()
		waiting, others := 0, 0
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			s.fresh(time.Now())
			for range maxWaiters {
				if e.payAgain(&request{service: s}, muted()) {
					waiting++
				}
			}
			if s.budget.Take(time.Now(), 1) {
				others++
			}
		}
		if others < waiting || waiting == 0 {
			t.Errorf("%d waiters and %d others were paid, want some and no fewer", waiting, others)
		}
	})
}
