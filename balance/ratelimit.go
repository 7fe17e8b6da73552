// SPDX-License-Identifier: MIT

package balance

import (
	"slices"
	"time"

	"github.com/ryehaven/ryehaven/admit"
	"github.com/ryehaven/ryehaven/wire"
)

// ObserveRateLimit takes a server's rate limit from its response to a request that was sent at
// sentAt. reported says whether the response has a limit, and mayLift that its absence means that
// there is none.
func (p *Pool) ObserveRateLimit(now, sentAt time.Time, s *Server, perSecond float64, reported, mayLift bool) {
	s.rateLimit.Observe(now, sentAt, perSecond, reported, mayLift)
}

// RateLimit returns the limit that a server reports, as far as the entry knows. The entry sends it
// with each request, so that a gate that has just started enforces it.
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

// hasRateLimit reports whether the server's gate reports that it enforces a limit of the server.
func (s *Server) hasRateLimit() bool {
	_, limited := s.headroom.RateLimit.PerSecond()
	return limited
}

// maxAbsentLimits bounds Pool.absentLimits.
const maxAbsentLimits = 256

// keepLimits keeps the limits of the known servers that are missing from the specs or have moved. A
// node that restarts is without its server for a moment, and its new gate uses what entries know.
func (p *Pool) keepLimits(known map[string]*Server, specs []Spec) {
	for name, s := range known {
		if _, limited := s.rateLimit.PerSecond(); !limited {
			continue
		}
		if slices.ContainsFunc(specs, func(spec Spec) bool { return spec.Name == name && spec.Node == s.Node }) {
			continue
		}
		p.keepLimit(name, s.rateLimit)
	}
}

// keepLimit keeps the limit of a server that is not in the pool any more.
func (p *Pool) keepLimit(name string, limit admit.ReportedLimit) {
	if p.absentLimits == nil {
		p.absentLimits = map[string]admit.ReportedLimit{}
	}
	for other := range p.absentLimits {
		if len(p.absentLimits) < maxAbsentLimits {
			break
		}
		delete(p.absentLimits, other)
	}
	p.absentLimits[name] = limit
}

// takeLimit returns the limit that was kept of a server, or one without a limit.
func (p *Pool) takeLimit(name string) admit.ReportedLimit {
	limit := p.absentLimits[name]
	delete(p.absentLimits, name)
	return limit
}
