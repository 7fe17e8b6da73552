// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"time"
)

// How the expected time of a request is estimated.
const (
	// reportDecayServiceTimes is the time constant, in service times, with which the part of a
	// report that is due to other entries decays: after a service time, the requests that
	// were in flight have been answered and replaced by others.
	reportDecayServiceTimes = 1
	// latencyDecay is the time constant with which a server's latency approaches the best
	// of its peers. Without it, a server that was slow once would never be picked again,
	// and nobody would notice that it has become fast.
	latencyDecay = 60 * time.Millisecond
	// failureDecay is the time constant with which the failure rate decays.
	failureDecay = 2 * time.Second
	// defaultServiceTime is the service time assumed while no server has answered.
	defaultServiceTime = 5 * time.Millisecond
	// unansweredFactor is after how many usual latencies without any answer a server with
	// outstanding work counts as slow.
	unansweredFactor = 2
	// stallReportTTL is for how long a report of a stalled server is used; the gate sends
	// another as soon as its server answers again.
	stallReportTTL = 100 * time.Millisecond
	// stallPenalty is for how many more usual latencies a stall is expected to last.
	stallPenalty = 3
	// failurePenalty is by how many times its length the expected time grows for a server
	// that fails all requests.
	failurePenalty = 20
)

// expectedSeconds returns the time that a request is expected to take at the server, in
// seconds. best is the shortest usual time of the service's servers.
func (p *Pool) expectedSeconds(now time.Time, s *Server, best time.Duration) float64 {
	service := p.serviceTime(now, s, best)
	if !p.options.IgnoreUnanswered {
		service = max(service, s.unansweredFor(now, service))
	}
	if !p.options.NoNotices {
		service = max(service, s.stallDelay(now, service))
	}
	busy := (p.load(now, s, service) + 1) / (p.concurrencyLimit(s) * s.Weight)
	// Below the limit nothing queues, but a busier server is more likely to get
	// work from other entries as well. Above it, every further limit's worth of
	// requests adds one service time.
	seconds := service.Seconds() * (1 + busy)
	if busy > 1 {
		seconds += service.Seconds() * (busy - 1)
	}
	seconds *= 1 + failurePenalty*s.failureRate*decayFactor(now.Sub(s.lastFailure), failureDecay)
	if !p.options.NoDistance {
		seconds += s.Distance.Seconds()
	}
	return seconds
}

// decayFactor returns the factor of an exponential decay after an age, for a time constant.
func decayFactor(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(timeConstant))
}

// usualTime returns how long a request takes at the server when it does not queue. It is
// the gate's average of the server's time, or while there is no report, the entry's average
// of whole answers. The former excludes queueing, which is added by the load; the latter
// includes it, so that it counts twice.
func (p *Pool) usualTime(s *Server) time.Duration {
	if s.report.ServiceMicros > 0 && !p.options.NoReports {
		return time.Duration(s.report.ServiceMicros) * time.Microsecond
	}
	return s.meanLatency
}

// shortestUsualTime returns the shortest usual time of the servers that have answered.
func (p *Pool) shortestUsualTime() time.Duration {
	best := time.Duration(0)
	for _, s := range p.servers {
		if usual := p.usualTime(s); usual > 0 && (best == 0 || usual < best) {
			best = usual
		}
	}
	if best == 0 {
		return defaultServiceTime
	}
	return best
}

// serviceTime returns the server's usual time while its last answer is recent, and
// approaches the best of its peers as that gets older: an outdated estimate must not keep a
// server from being picked, and a single request is enough to update it.
func (p *Pool) serviceTime(now time.Time, s *Server, best time.Duration) time.Duration {
	usual := p.usualTime(s)
	if usual == 0 {
		return best
	}
	own := float64(usual-best) * decayFactor(now.Sub(s.answeredAt), latencyDecay)
	return best + time.Duration(own)
}

// unansweredFor returns for how long the server has sent no answer although it has work from
// this entry, if that is longer than usual; else 0.
func (s *Server) unansweredFor(now time.Time, usual time.Duration) time.Duration {
	if s.outstanding == 0 {
		return 0
	}
	sinceProgress := now.Sub(s.lastProgress)
	if sinceProgress < unansweredFactor*usual {
		return 0
	}
	return sinceProgress
}

// stallDelay returns how long a request is expected to wait if the gate's last report is
// recent and says that its server is stalled; else 0.
func (s *Server) stallDelay(now time.Time, usual time.Duration) time.Duration {
	if s.report.StalledMicros == 0 {
		return 0
	}
	age := now.Sub(s.reportAt)
	if age > stallReportTTL {
		return 0
	}
	return stallPenalty*usual + time.Duration(s.report.StalledMicros)*time.Microsecond + age
}

// load returns the number of requests expected at the server's gate: the entry's own, which
// it knows, plus those of others. The others' part of the last report approaches the mean
// over all servers as it gets older, so that servers with recent and with old reports are
// compared fairly.
func (p *Pool) load(now time.Time, s *Server, service time.Duration) float64 {
	return p.loadGivenMean(now, s, service, p.meanOthersLoad())
}

// loadGivenMean is load for callers that have already computed meanOthersLoad.
func (p *Pool) loadGivenMean(now time.Time, s *Server, service time.Duration, mean float64) float64 {
	own := float64(s.outstanding)
	if p.options.NoReports || s.reportAt.IsZero() {
		return own
	}
	freshness := decayFactor(now.Sub(s.reportAt), reportDecayServiceTimes*service)
	return own + mean + (s.othersLoad()-mean)*freshness
}

// spareCapacityShare is the share of a server's limit up to which it has spare capacity for
// an optional request.
const spareCapacityShare = 1

// HasSpareCapacity reports whether a server has spare capacity for an optional request: a
// hedge at a busy server delays the requests that must be sent, and one that limits the rate
// of its requests lacks capacity.
func (p *Pool) HasSpareCapacity(now time.Time, s *Server) bool {
	if s.hasRateLimit() {
		return false
	}
	service := p.serviceTime(now, s, p.shortestUsualTime())
	if s.stallDelay(now, service) > 0 || s.unansweredFor(now, service) > 0 {
		return false
	}
	return p.load(now, s, service)+1 <= spareCapacityShare*p.concurrencyLimit(s)
}

// concurrencyLimit returns how many requests the server's gate admits at a time.
func (p *Pool) concurrencyLimit(s *Server) float64 {
	if s.report.Limit > 0 && !p.options.NoReports {
		return float64(s.report.Limit)
	}
	return float64(s.Slots)
}

// othersLoad returns the part of the last report that is due to other entries' requests.
func (s *Server) othersLoad() float64 {
	return float64(max(s.report.InFlight+s.report.Queued-s.ownAtReport, 0))
}

// meanOthersLoad returns the mean of othersLoad over the servers with a report.
func (p *Pool) meanOthersLoad() float64 {
	sum, n := 0.0, 0
	for _, s := range p.servers {
		if !s.reportAt.IsZero() {
			sum += s.othersLoad()
			n++
		}
	}
	return sum / float64(max(n, 1))
}
