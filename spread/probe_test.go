// SPDX-License-Identifier: MIT

package spread

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ryehaven/ryehaven/store"
)

// Nothing is asked while there is no table, so nothing is heard either: a watch that was
// open before the probe was begun anew although the store had answered nobody.
func TestProbeThatAsksNothingAbandonsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSpread(t, 1000)
		s.platform = newLineStore()
		s.settings.InForce = inForce
		close(s.joined)
		watching, end := s.watches.begin(t.Context(), store.EvacuationsKey)
		defer end()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		time.Sleep(time.Millisecond)
		s.runProbes(ctx)
		if watching.Err() != nil {
			t.Error("a watch was abandoned although nothing was answered")
		}
	})
}
