// SPDX-License-Identifier: MIT

package balance

import (
	"time"

	"github.com/ryehaven/ryehaven/wire"
)

// A server that has just started is cold: it is slow for some seconds. If the table has a
// cold rate, the server's gate admits that many requests a second by a token bucket, and
// queues or refuses the others. It does the same while the server reports a rate limit. Gates
// report both (wire.Headroom); between two reports an entry counts down by itself. If a report
// is lost, the gate's refusals still show that the server lacks tokens.

// coldSlowness is the least slowness assumed for a cold server that has not reported its
// slowness, in percent of usual.
const coldSlowness = 200

// tokenState is what an entry knows about the tokens of a server with a bounded rate in
// addition to the gate's last report.
type tokenState struct {
	// debt is for how long, from debtAt on, the requests that this entry has sent since
	// the last report use up the server's tokens.
	debt   time.Duration
	debtAt time.Time
	// refusedUntil is until when the gate admits nothing more, according to its last
	// refusal.
	refusedUntil time.Time
}

// debtLeft returns what is left of the debt at a time.
func (t *tokenState) debtLeft(now time.Time) time.Duration {
	return max(t.debt-max(now.Sub(t.debtAt), 0), 0)
}

// take records a request sent to a server that admits one per interval.
func (t *tokenState) take(now time.Time, interval time.Duration) {
	t.debt = t.debtLeft(now) + interval
	t.debtAt = now
}

// updateHeadroom records the headroom that the gate reports.
func (s *Server) updateHeadroom(now time.Time, headroom wire.Headroom) {
	s.headroom, s.headroomAt = clampHeadroom(headroom), now
	s.tokens = tokenState{}
	s.updateRateLimit(now, headroom.RateLimit)
}

// The largest values that are accepted in reports of headroom.
const (
	maxColdMillis  = int64(time.Hour / time.Millisecond)
	maxTokenMillis = int64(time.Minute / time.Millisecond)
)

// clampHeadroom limits the values of a report to those that a gate of this build can send.
func clampHeadroom(headroom wire.Headroom) wire.Headroom {
	headroom.ColdMillis = min(max(headroom.ColdMillis, 0), maxColdMillis)
	headroom.TokenIntervalMillis = min(max(headroom.TokenIntervalMillis, 0), maxTokenMillis)
	for _, wait := range headroom.TokenWaits() {
		*wait = min(max(*wait, -maxTokenMillis), maxTokenMillis)
	}
	headroom.CallWaitMillis = min(max(headroom.CallWaitMillis, 0), maxTokenMillis)
	return headroom
}

// ColdRemaining returns for how much longer the server is cold; 0 if it is warm or its gate
// has not reported.
func (s *Server) ColdRemaining(now time.Time) time.Duration {
	return max(time.Duration(s.headroom.ColdMillis)*time.Millisecond-max(now.Sub(s.headroomAt), 0), 0)
}

// rateBounded reports whether the gate bounds the rate of the requests to its server.
func (s *Server) rateBounded(now time.Time) bool {
	return s.hasRateLimit() || s.ColdRemaining(now) > 0
}

// recordSent records a request sent to a server whose rate may be bounded.
func (s *Server) recordSent(now time.Time) {
	if s.headroom.TokenIntervalMillis > 0 && s.rateBounded(now) {
		s.tokens.take(now, time.Duration(s.headroom.TokenIntervalMillis)*time.Millisecond)
	}
}

// recordTokenRefusal records that the gate refused a request for lack of tokens, and after which
// time it admits the next one.
func (s *Server) recordTokenRefusal(now time.Time, retryAfter time.Duration) {
	s.tokens.refusedUntil = now.Add(min(max(retryAfter, 0), time.Duration(maxTokenMillis)*time.Millisecond))
}

// headroomLevel returns the index of the request's priority level in wire.Headroom.
func (d *Demand) headroomLevel() int {
	if d.call {
		return 0
	}
	return 1 + min(int(d.Priority), wire.HeadroomLevels-2)
}

// tokenWait returns how long one more request of a level would wait for a token of the
// server's gate; 0 if a token is available.
func (s *Server) tokenWait(now time.Time, level int) time.Duration {
	cold, limited := s.ColdRemaining(now), s.hasRateLimit()
	if cold == 0 && !limited && (s.headroom.ColdMillis > 0 || !now.Before(s.tokens.refusedUntil)) {
		return 0
	}
	wait := max(s.tokens.refusedUntil.Sub(now), 0)
	if s.headroom.TokenIntervalMillis > 0 && s.rateBounded(now) {
		headroom := s.headroom.After(now.Sub(s.headroomAt))
		reported := time.Duration(*headroom.TokenWaits()[level])*time.Millisecond + s.tokens.debtLeft(now)
		wait = max(wait, reported)
	}
	if cold > 0 && !limited {
		wait = min(wait, cold) // A warm server needs no tokens.
	}
	return wait
}
