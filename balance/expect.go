// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"time"
)

// How an expected time is put together.
const (
	// reportDecay is the time in which the others' part of a report loses
	// all but 1/e of its worth.
	reportDecay = 100 * time.Millisecond
	// latencyDecay is the same for how much a server's latency differs from
	// its peers'. Without it a server that was slow once would never be asked
	// again, and nobody would learn that it is quick.
	latencyDecay = 500 * time.Millisecond
	// failureDecay is the same for the share of failures.
	failureDecay = 2 * time.Second
	// defaultService stands for the service time while no server has answered.
	defaultService = 5 * time.Millisecond
	// silenceFactor is how many usual latencies without any answer make a
	// server with outstanding work look slow.
	silenceFactor = 2
	// failurePenalty lengthens the expected time of a server all of whose
	// requests fail.
	failurePenalty = 20
)

// expected is the time that a request is expected to take at the server, in
// seconds. best is the shortest latency of the service's servers.
func (p *Pool) expected(now time.Time, s *Server, best time.Duration) float64 {
	service := s.serviceTime(now, best)
	if !p.options.NoSilence {
		service = max(service, s.silence(now, service))
	}
	limit := float64(s.Slots)
	if s.report.Limit > 0 && !p.options.NoReports {
		limit = float64(s.report.Limit)
	}
	busy := (p.load(now, s) + 1) / (limit * s.Weight * s.ramp(now))
	// Below the limit nothing waits, yet a busier server is more likely to be
	// met by others' work; above it each further limit's worth of requests
	// costs one service time.
	seconds := service.Seconds() * (1 + busy)
	if busy > 1 {
		seconds += service.Seconds() * (busy - 1)
	}
	seconds *= 1 + failurePenalty*s.failures*decay(now.Sub(s.lastFailure), failureDecay)
	if !p.options.NoDistance {
		seconds += s.Distance.Seconds()
	}
	return seconds
}

// decay is what is left after an age of something that decays in a time.
func decay(age, in time.Duration) float64 {
	return math.Exp(-float64(age) / float64(in))
}

// best is the shortest latency of the servers that have answered.
func (p *Pool) best() time.Duration {
	best := time.Duration(0)
	for _, s := range p.servers {
		if s.latency > 0 && (best == 0 || s.latency < best) {
			best = s.latency
		}
	}
	if best == 0 {
		return defaultService
	}
	return best
}

// serviceTime is the server's own latency while it is news, and more and more
// the best of its peers as it grows old: an old guess must not keep a server
// from being asked, and one request tells how it is.
func (s *Server) serviceTime(now time.Time, best time.Duration) time.Duration {
	if s.latency == 0 {
		return best
	}
	own := float64(s.latency-best) * decay(now.Sub(s.answeredAt), latencyDecay)
	return best + time.Duration(own)
}

// silence is how long the server has answered nothing although it has work
// from this entry, once that is longer than usual; else 0.
func (s *Server) silence(now time.Time, usual time.Duration) time.Duration {
	if s.outstanding == 0 {
		return 0
	}
	silent := now.Sub(s.lastProgress)
	if silent < silenceFactor*usual {
		return 0
	}
	return silent
}

// load is the number of requests expected at the server's gate: the entry's
// own, and what is left of the others' part of the last report.
func (p *Pool) load(now time.Time, s *Server) float64 {
	own := float64(s.outstanding)
	if p.options.NoReports || s.reportAt.IsZero() {
		return own
	}
	others := float64(s.report.InFlight + s.report.Queued - s.ownAtReport)
	if others <= 0 {
		return own
	}
	return own + others*decay(now.Sub(s.reportAt), reportDecay)
}
