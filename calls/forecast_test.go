// SPDX-License-Identifier: MIT

package calls

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pushForecast is the forecast of a push request. 70 % of the runs make two calls, which take some
// time and are refused with some probability.
func pushForecast(took time.Duration, refused float64) Forecast {
	return Forecast{Priority: 1, Calls: []CallForecast{{Share: 0.7, Times: 2, RefusalProbability: refused, Duration: took}}}
}

// Slow calls and a short time until the deadline must not count as waste: of 1,945 requests that were
// once refused because of their calls, the calls of 1,899 would have been accepted. They only took
// longer than usual, at busy or slow servers, or the requests had little time left.
func TestWasteProbabilityCountsOnlyRefusals(t *testing.T) {
	for _, test := range []struct {
		name        string
		whole       Forecast
		least, most float64
	}{
		{"no calls", Forecast{}, 0, 0},
		{"capacity", pushForecast(27*time.Millisecond, 0), 0, 0},
		{"slow servers with capacity", pushForecast(time.Second, 0), 0, 0},
		{"half of the calls refused", pushForecast(27*time.Millisecond, 0.5), 0.52, 0.53},
		{"all refused", pushForecast(27*time.Millisecond, 1), 0.69, 0.71},
	} {
		if got := test.whole.WasteProbability(); got < test.least || got > test.most {
			t.Errorf("%s: waste probability %v, want %v to %v", test.name, got, test.least, test.most)
		}
	}
}

// For any forecast, the waste probability is a probability and does not fall if refusals become more
// likely, and its bound is lower for less urgent requests.
func TestWasteProbabilityRisesWithRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		any := func(name string) float64 {
			return rapid.OneOf(rapid.Float64(), rapid.Just(math.NaN()), rapid.Just(math.Inf(1)), rapid.Just(math.Inf(-1))).Draw(t, name)
		}
		duration := func(name string) time.Duration { return time.Duration(rapid.Int64().Draw(t, name)) }
		part := CallForecast{
			Share: any("share"), Times: any("times"), Duration: duration("call"), RetryAfter: duration("after"),
			RefusalProbability: rapid.Float64Range(0, 1).Draw(t, "refused"),
		}
		f := Forecast{Priority: rapid.Uint8().Draw(t, "priority"), Calls: []CallForecast{part, {Share: any("other"), Times: 1, RefusalProbability: any("no")}}}
		before := f.WasteProbability()
		f.Calls[0].RefusalProbability = rapid.Float64Range(part.RefusalProbability, 1).Draw(t, "more")
		after := f.WasteProbability()
		if !(before >= 0 && before <= 1 && after >= before-1e-9 && after <= 1) {
			t.Fatalf("waste probability %v, then %v", before, after)
		}
		if bound := MaxWasteProbability(f.Priority); !(bound > 0 && bound <= MaxWasteProbability(0)) || (f.Priority > 0 && bound > MaxWasteProbability(f.Priority-1)) {
			t.Fatalf("the bound is %v", bound)
		}
		if d := f.RetryAfter(); d < minRetryAfter || d > maxRetryAfter {
			t.Fatalf("retry after %v", d)
		}
	})
}

// The admitted share never falls below MinAdmitted, whatever the estimate, and all requests are
// admitted again soon after there is capacity.
func TestThrottleHasAFloorAndRecovers(t *testing.T) {
	var s Throttle
	now, admitted := start, 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if s.Admit(now, math.Inf(1), MaxWasteProbability(1)) {
			admitted++
		}
	}
	if admitted < 1000/16 || admitted > 250 || s.Value() != MinAdmitted {
		t.Errorf("%d of 1000 admitted, share %v", admitted, s.Value())
	}
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		s.Admit(now, 0, MaxWasteProbability(1))
	}
	if s.Value() != 1 || !s.Admit(now, 1, MaxWasteProbability(1)) {
		t.Errorf("share %v after 3 s with capacity", s.Value())
	}
}

// Most requests that would certainly be run in vain are refused within half a second, whatever
// their priority.
func TestThrottleRefusesCertainWasteAtOnce(t *testing.T) {
	for priority := range uint8(maxPriorityLevels) {
		var s Throttle
		now, admitted := start, 0
		for range 100 {
			now = now.Add(5 * time.Millisecond)
			if s.Admit(now, 1, MaxWasteProbability(priority)) {
				admitted++
			}
		}
		if admitted > 50 {
			t.Errorf("priority %d: %d of 100 are admitted", priority, admitted)
		}
	}
}

// The outcomes of a server's calls lose their weight within a second or two.
func TestOutcomesDecay(t *testing.T) {
	var o Outcomes
	now := start
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		o.Refused(now, 1, 80*time.Millisecond)
	}
	if refused, _, retryAfter := o.Recent(now, 1); refused < 0.85 || retryAfter != 80*time.Millisecond {
		t.Errorf("%v refused, retry after %v", refused, retryAfter)
	}
	if refused, _, _ := o.Recent(now.Add(3*time.Second), 1); refused > 0.05 {
		t.Errorf("%v refused three seconds later", refused)
	}
	for range 100 {
		o.Answered(now, 2, 30*time.Millisecond)
	}
	if refused, took, _ := o.Recent(now, 2); refused != 0 || took < 29*time.Millisecond || took > 31*time.Millisecond {
		t.Errorf("%v refused, took %v", refused, took)
	}
	if refused, took, retryAfter := o.Recent(now, 3); refused != 0 || took != 0 || retryAfter != 0 {
		t.Error("outcomes of a route without calls")
	}
}
