// SPDX-License-Identifier: MIT

package entry

import (
	"testing"

	"github.com/ryehaven/ryehaven/wire"
)

// The gate's clock may find that the time is up before the entry's does: that is
// a time-out, not a lost answer.
func TestGateMayFindFirstThatTheTimeIsUp(t *testing.T) {
	for _, test := range []struct {
		reset  wire.Reset
		status int
	}{
		{wire.Reset{Expired: true}, 504},
		{wire.Reset{}, 502},
	} {
		a := &attempt{final: test.reset.Expired}
		if got := failureOf(result{last: a, mayHaveRun: true}).status; got != test.status {
			t.Errorf("%+v ends as %d, want %d", test.reset, got, test.status)
		}
	}
}
