// SPDX-License-Identifier: MIT

package balance

import "time"

// Servers that share their hosts with others report how long work takes now, and
// their gates report changes to the entries. Among such servers, the slowness is
// compared instead of past latencies, which mix requests of different work.
const (
	// slownessChoices is how many servers are drawn. Reports of slowness are recent, so
	// that missing the fast server costs more than several entries picking the same one.
	slownessChoices = 8
	// slownessTTL is how long a report of slowness is used in full: while there is work,
	// the gate reports every change.
	slownessTTL = 3 * time.Second
	// slownessDecay is the time constant with which an older report that the gate does not
	// confirm decays.
	slownessDecay = time.Second
	// busyCost is by how much a request takes longer at a server that has reached its
	// limit, as a multiple of the work, and queueCost what each further full
	// limit of requests adds.
	busyCost  = 0.5
	queueCost = 2
	// defaultSlowness is assumed if no server has reported, in percent of usual.
	defaultSlowness = 150
)

// reportsSlowness reports whether any server in use reports its slowness.
func (p *Pool) reportsSlowness() bool {
	if p.options.NoReports || (p.options.Policy != "" && p.options.Policy != Expected) {
		return false
	}
	for _, s := range p.servers {
		if s.report.Slowness > 0 {
			return true
		}
	}
	return false
}

// meanSlowness returns the mean over the servers with a recent report of slowness, in percent
// of usual, or over all with a report if none is recent. An old report decays to this mean and
// must not be part of it: otherwise its server would never be tried again.
func (p *Pool) meanSlowness(now time.Time) float64 {
	var all, recent average
	for _, s := range p.servers {
		if s.report.Slowness == 0 {
			continue
		}
		all.add(s.report.Slowness)
		if now.Sub(s.slownessAt) <= slownessTTL {
			recent.add(s.report.Slowness)
		}
	}
	if recent.n > 0 {
		return recent.mean()
	}
	if all.n > 0 {
		return all.mean()
	}
	return defaultSlowness
}

// average accumulates values and their number.
type average struct{ sum, n int }

func (t *average) add(value int) {
	t.sum += value
	t.n++
}

func (t *average) mean() float64 { return float64(t.sum) / float64(t.n) }

// slownessEstimate returns the estimated slowness of a server, in percent of usual. mean is
// meanSlowness.
func (s *Server) slownessEstimate(now time.Time, mean float64) float64 {
	if s.report.Slowness == 0 {
		if s.ColdRemaining(now) > 0 {
			return max(mean, coldSlowness)
		}
		return mean
	}
	age := now.Sub(s.slownessAt) - slownessTTL
	if age <= 0 {
		return float64(s.report.Slowness)
	}
	return mean + (float64(s.report.Slowness)-mean)*decayFactor(age, slownessDecay)
}

// slownessScore returns the score by which Pick compares servers that report their slowness:
// how long work would take, in percent of its usual time.
func (p *Pool) slownessScore(now time.Time, s *Server, mean float64) float64 {
	service := p.serviceTime(now, s, p.shortestUsualTime())
	busy := (p.load(now, s, service) + 1) / p.concurrencyLimit(s)
	score := s.slownessEstimate(now, mean) * (1 + busyCost*busy)
	if busy > 1 {
		score *= 1 + queueCost*(busy-1)
	}
	if !p.options.NoNotices && s.stallDelay(now, service) > 0 {
		score *= 2
	}
	score *= 1 + failurePenalty*s.failureRate*decayFactor(now.Sub(s.lastFailure), failureDecay)
	if !p.options.NoDistance && s.DistanceFactor > 1 {
		score *= s.DistanceFactor
	}
	return score
}
