// SPDX-License-Identifier: MIT

package gate_test

import (
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/wire"
)

// A host's connections to its server went silent while a request that must run at most
// once was at work. Its slot was given back and its entry told at its deadline, but the
// gate counted it as under way for 30 s more, so that a planned stop up to 30 s later
// waited for it until its bound and ended as if it had cut requests off.
func TestRequestOnASilentConnectionIsNotUnderWayAfterItsDeadline(t *testing.T) {
	const budget = 500 * time.Millisecond
	s := newSilenceable(t, 1)
	s.warm(1)
	call := s.start("/once", func(r *wire.Request) {
		r.Repeatable = false
		r.BudgetMicros = budget.Microseconds()
	})
	s.running()
	s.proxy.Silence()
	s.release <- 200
	s.free()
	time.Sleep(budget)
	call.Cancel()
	for until := time.Now().Add(patience); s.gate.Busy() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d requests are still under way", s.gate.Busy())
		}
	}
}
