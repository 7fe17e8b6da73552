// SPDX-License-Identifier: MIT

package balance

import "time"

// When a server is ejected and for how long.
const (
	// ejectConsecutive failures in a row eject a server, and so does a share
	// of ejectFailures.
	ejectConsecutive = 5
	ejectFailures    = 0.5
	ejectFirst       = time.Second
	ejectLongest     = 30 * time.Second
	// ejectShare bounds the ejected share of a service's servers.
	ejectShare = 0.5
	// rampTime is how long a returning server takes to its full share, and
	// rampLeast the share it starts with.
	rampTime  = 2 * time.Second
	rampLeast = 0.1
)

func (s *Server) failed(now time.Time, p *Pool) {
	s.consecutive++
	s.lastFailure = now
	s.failures += failureShare * (1 - s.failures)
	if p.options.NoEjection || s.Ejected(now) {
		return
	}
	if s.consecutive < ejectConsecutive && s.failures < ejectFailures {
		return
	}
	if !p.mayEject(now) {
		return
	}
	span := min(ejectFirst<<min(s.ejections, 10), ejectLongest)
	s.ejections++
	s.consecutive = 0
	s.ejectedUntil = now.Add(span)
	s.rampFrom = s.ejectedUntil
}

// mayEject reports whether one more server may be ejected.
func (p *Pool) mayEject(now time.Time) bool {
	ejected := 1
	for _, s := range p.servers {
		if s.Ejected(now) {
			ejected++
		}
	}
	return float64(ejected) <= ejectShare*float64(len(p.servers))
}

// ramp is the share of its work that a returning server gets, from rampLeast
// to 1.
func (s *Server) ramp(now time.Time) float64 {
	if s.rampFrom.IsZero() {
		return 1
	}
	passed := now.Sub(s.rampFrom)
	if passed >= rampTime {
		s.rampFrom = time.Time{}
		s.ejections = max(s.ejections-1, 0)
		return 1
	}
	return max(float64(passed)/float64(rampTime), rampLeast)
}
