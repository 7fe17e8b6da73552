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
	// defaultService stands for the service time of a server that has not
	// answered yet.
	defaultService = 5 * time.Millisecond
	// silenceFactor is how many usual latencies without any answer make a
	// server with outstanding work look slow.
	silenceFactor = 2
	// failurePenalty lengthens the expected time of a server all of whose
	// requests fail.
	failurePenalty = 20
)

// expected is the time that a request is expected to take at the server, in
// seconds.
func (p *Pool) expected(now time.Time, s *Server) float64 {
	service := s.serviceTime()
	if !p.options.NoSilence {
		service = max(service, s.silence(now))
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
	seconds *= 1 + failurePenalty*s.failures
	if !p.options.NoDistance {
		seconds += s.Distance.Seconds()
	}
	return seconds
}

func (s *Server) serviceTime() time.Duration {
	if s.latency > 0 {
		return s.latency
	}
	return defaultService
}

// silence is how long the server has answered nothing although it has work
// from this entry, once that is longer than usual; else 0.
func (s *Server) silence(now time.Time) time.Duration {
	if s.outstanding == 0 {
		return 0
	}
	silent := now.Sub(s.lastProgress)
	if silent < silenceFactor*s.serviceTime() {
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
	age := now.Sub(s.reportAt)
	return own + others*math.Exp(-float64(age)/float64(reportDecay))
}
