// SPDX-License-Identifier: MIT

package gate_test

import (
	"sync"
	"testing"

	"github.com/ryehaven/ryehaven/wire"
)

// An answer and the word that nobody wants it any more may cross, as they do for the
// slower of two attempts and when a node wakes that had stood still. The request that is
// next on that connection to the server ended without an answer then.
func TestCancelThatCrossesItsAnswerHitsNoOtherRequest(t *testing.T) {
	const rounds, pairs = 300, 4
	s := newSilenceable(t, 2*pairs)
	for round := range rounds {
		var done sync.WaitGroup
		for range pairs {
			s.release <- 200
			s.release <- 200
			canceled := s.start("/first", nil)
			s.running()
			done.Go(canceled.Cancel)
			done.Go(func() {
				next := s.start("/next", func(r *wire.Request) { r.Repeatable = true })
				if head := s.head(next); head.Response == nil {
					t.Errorf("round %d: the next request ended with %+v", round, head)
				}
			})
			s.running()
		}
		done.Wait()
		if t.Failed() {
			return
		}
	}
}
