// SPDX-License-Identifier: MIT

package gate_test

import (
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/peer"
	"github.com/ryehaven/ryehaven/wire"
)

// A node stood still while its server was at work. On waking it took the time for the
// server's silence, and what had been queued just before had waited longer than the 25 ms
// that it was to: "inflight 12 limit 12 queued 0 lastDone 154.049112ms service 2.077162ms
// left 345.779824ms" was refused for overload, with room a moment later.
func TestOwnStandstillIsNoOverload(t *testing.T) {
	const still = 2 * time.Second
	for _, when := range []string{"before", "after"} {
		t.Run("queued "+when, func(t *testing.T) {
			b := newBench(t, 1, 5)
			first := b.start("/first", nil)
			b.running()
			b.gate.Tick(time.Now())
			var second *peer.Call
			queue := func(budget time.Duration) {
				second = b.start("/second", func(r *wire.Request) { r.Patient, r.BudgetMicros = false, budget.Microseconds() })
				b.queued(1)
			}
			if when == "before" {
				queue(time.Minute)
			}
			time.Sleep(still) // Nobody calls Tick.
			if when == "after" {
				queue(still / 2)
			}
			b.gate.Tick(time.Now())
			b.release <- 200
			b.head(first)
			if when == "before" {
				b.running()
				b.release <- 200
			}
			b.head(second) // After: answered, or its time is up on a slow machine.
		})
	}
}
