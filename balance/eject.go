// SPDX-License-Identifier: MIT

package balance

import "time"

// When a server is ejected, and for how long.
const (
	// A server is ejected after ejectAfterFailures failures in a row, or when its failure
	// rate reaches ejectFailureRate.
	ejectAfterFailures = 5
	ejectFailureRate   = 0.5
	// The first ejection lasts firstEjection; each further one lasts twice as long as the
	// one before, up to maxEjection. Each completed ramp halves the length of the next
	// ejection again.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// maxEjectedShare is the largest share of a service's servers that may be ejected at once.
	maxEjectedShare = 0.5
	// rampDuration is how long a returning server takes to reach its full share of the
	// work, and rampInitialShare the part of that share it starts with.
	rampDuration     = 2 * time.Second
	rampInitialShare = 0.1
)

func (s *Server) recordFailure(now time.Time, p *Pool) {
	s.consecutiveFailures++
	s.lastFailure = now
	s.failureRate += failureWeight * (1 - s.failureRate)
	if p.options.NoEjection || s.Ejected(now) {
		return
	}
	if s.consecutiveFailures < ejectAfterFailures && s.failureRate < ejectFailureRate {
		return
	}
	if !p.mayEject(now) {
		return
	}
	span := min(firstEjection<<min(s.ejections, 10), maxEjection)
	s.ejections++
	s.consecutiveFailures = 0
	s.ejectedUntil = now.Add(span)
	s.rampStart = s.ejectedUntil
}

// mayEject reports whether one more server may be ejected.
func (p *Pool) mayEject(now time.Time) bool {
	ejected := 1
	for _, s := range p.servers {
		if s.Ejected(now) {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedShare*float64(len(p.servers))
}

// ramp returns the part of its share of the work that a returning server gets, from
// rampInitialShare to 1.
func (s *Server) ramp(now time.Time) float64 {
	if s.rampStart.IsZero() {
		return 1
	}
	passed := now.Sub(s.rampStart)
	if passed >= rampDuration {
		s.rampStart = time.Time{}
		s.ejections = max(s.ejections-1, 0)
		return 1
	}
	return max(float64(passed)/float64(rampDuration), rampInitialShare)
}
