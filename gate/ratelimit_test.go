// SPDX-License-Identifier: MIT

package gate

import (
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/event"
)

// The rate limit follows the responses of the server, in whatever order they are read.
func TestRateLimitFollowsResponses(t *testing.T) {
	const none = -1
	type response struct {
		// sent and read are in milliseconds, and limit is none if the response has no limit.
		sent, read int
		kind       event.ResponseKind
		limit      float64
	}
	const run, rejection, probe = event.RunResponse, event.RejectionResponse, event.ProbeResponse
	for _, test := range []struct {
		name      string
		responses []response
		want      float64
	}{
		{"no limit", []response{{0, 5, run, none}}, none},
		{"a limit", []response{{0, 5, run, 8}}, 8},
		{"a limit of 0", []response{{0, 5, run, 0}}, 0},
		{"a limit on a rejection", []response{{0, 5, rejection, 8}}, 8},
		{"a limit on a probe", []response{{0, 5, probe, 8}}, 8},
		{"lifted", []response{{0, 5, run, 8}, {6, 9, run, none}}, none},
		{"raised", []response{{0, 5, run, 8}, {6, 9, run, 20}}, 20},
		{"lowered", []response{{0, 5, run, 8}, {6, 9, run, 2}}, 2},
		{"no limit, sent before the limit was known", []response{{0, 5, run, 8}, {4, 9, run, none}}, 8},
		{"raised, sent before the limit was known", []response{{0, 5, run, 8}, {4, 9, run, 20}}, 8},
		{"lowered, sent before the limit was known", []response{{0, 5, run, 8}, {4, 9, run, 2}}, 2},
		{"raised while earlier responses still arrive", []response{{0, 5, run, 8}, {1, 6, run, 20}, {2, 7, run, 20}, {6, 9, run, 20}}, 20},
		{"no limit on a rejection", []response{{0, 5, run, 8}, {6, 9, rejection, none}}, 8},
		{"no limit on a probe, which never had it", []response{{0, 5, run, 8}, {6, 9, probe, none}}, 8},
		{"no limit on a probe, which had it", []response{{0, 5, run, 8}, {6, 9, probe, 8}, {10, 12, probe, none}}, none},
		{"a limit sent before it was lifted", []response{{0, 5, run, 8}, {6, 9, run, none}, {4, 10, run, 8}}, 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			began := time.Now()
			at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
			var l rateLimit
			for _, r := range test.responses {
				l.observe(at(r.read), at(r.sent), r.kind, r.limit, r.limit != none)
			}
			got := float64(none)
			if l.limited {
				got = l.perSecond
			}
			if got != test.want {
				t.Errorf("the limit is %g, want %g", got, test.want)
			}
		})
	}
}
