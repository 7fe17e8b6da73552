// SPDX-License-Identifier: MIT

package balance

import (
	"time"

	"github.com/ryehaven/ryehaven/wire"
)

// ObserveRateLimit takes a server's rate limit from its response to a request that was sent at
// sentAt. reported says whether the response has a limit, and mayLift that its absence means that
// there is none.
func (p *Pool) ObserveRateLimit(now, sentAt time.Time, s *Server, perSecond float64, reported, mayLift bool) {
	s.rateLimit.Observe(now, sentAt, perSecond, reported, mayLift)
}

// RateLimit returns the limit that a server reports, as far as the entry knows. The entry sends it
// with each request, so that a gate that has just started keeps to it.
func (s *Server) RateLimit() wire.RateLimit {
	if perSecond, limited := s.rateLimit.PerSecond(); limited {
		return wire.NewRateLimit(perSecond)
	}
	return wire.UnknownRateLimit
}

// updateRateLimit takes the limit that the server's gate reports. The gate's reports are newer than
// what responses showed before, except that a gate that has just started knows nothing.
func (s *Server) updateRateLimit(now time.Time, limit wire.RateLimit) {
	if limit == wire.UnknownRateLimit {
		return
	}
	perSecond, limited := limit.PerSecond()
	s.rateLimit.Observe(now, now, perSecond, limited, true)
}

// hasRateLimit reports whether the server's gate says that it keeps to a limit of the server.
func (s *Server) hasRateLimit() bool {
	_, limited := s.headroom.RateLimit.PerSecond()
	return limited
}
