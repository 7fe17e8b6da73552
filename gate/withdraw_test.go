// SPDX-License-Identifier: MIT

package gate_test

import (
	"testing"

	"github.com/ryehaven/ryehaven/wire"
)

// What another server has begun meanwhile is not begun any more, but the work that the
// server is at is not thrown away.
func TestWithdrawnRequestIsNotBegunButGoesOn(t *testing.T) {
	b := newBench(t, 1, 1)
	begun := b.start("/begun", nil)
	b.running()
	waiting := b.start("/waiting", nil)
	b.queued(1)
	if !waiting.Withdraw() || !begun.Withdraw() {
		t.Fatal("the gate could not be asked")
	}
	b.refused(waiting, wire.ReasonCanceled)
	b.release <- 200
	if head := b.head(begun); head.Response == nil || head.Response.Status != 200 {
		t.Errorf("what was begun ended with %+v", head)
	}
}
