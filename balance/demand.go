// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/ryehaven/ryehaven/table"
)

// Demand describes what a request needs of a server. The zero value is a request of which
// nothing is known.
type Demand struct {
	// Work is the usual time of such a request from sending to answer.
	Work time.Duration
	// Aim is what is left of the latency objective (aim): the time within which the answer
	// has its full value; 0 if there is none.
	Aim time.Duration
	// Bytes is the usual number of bytes that such a request and its answer transfer
	// between nodes.
	Bytes float64
	// Priority is the priority of the request.
	Priority table.Priority
	// call says that the request is a call: another request that is running elsewhere
	// waits for it.
	call bool
}

// Known reports whether enough is known of the request to compare servers for it.
func (d Demand) Known() bool { return d.Work > 0 && d.Aim > 0 }

// The costs of being late and of taking long. They are counted in late requests: the cost of
// one request that certainly misses its aim is 1.
const (
	// lateSteepness is how steeply the probability of being late rises around the aim.
	lateSteepness = 5
	// aimLatencyCost is by how much the value of an answer that takes exactly the aim is
	// below that of an immediate one.
	aimLatencyCost = 0.1
)

// PickFor is Pick for a request with a known demand. Servers that report their slowness
// are compared by the expected loss: the probability that the answer misses the aim, plus
// costs for the time that it takes, for recent failures and for bytes sent between zones.
func (p *Pool) PickFor(now time.Time, rng *rand.Rand, tried Tried, demand Demand) *Server {
	if !demand.Known() || !p.reportsSlowness() {
		return p.Pick(now, rng, tried)
	}
	candidates := p.candidates(now, tried)
	if len(candidates) == 0 {
		return nil
	}
	mean := p.meanSlowness(now)
	drawn := p.draw(now, rng, candidates, p.numChoices(slownessChoices))
	return least(drawn, 0, func(s *Server) float64 {
		return p.expectedLoss(now, s, mean, demand)
	})
}

// minWaitGain is by how much the expected loss must be lower, in late requests, to queue at
// a full server instead of sending to another one.
const minWaitGain = 0.1

// BestFullServer returns the one of the servers that were full for a request at which it
// should queue rather than be sent to other, or nil if there is none. other may be nil.
func (p *Pool) BestFullServer(now time.Time, full []*Server, other *Server, demand Demand) *Server {
	if !demand.Known() || !p.reportsSlowness() {
		return nil
	}
	mean := p.meanSlowness(now)
	least := 1.0
	if other != nil {
		least = p.expectedLoss(now, other, mean, demand)
	}
	least -= minWaitGain
	var best *Server
	for _, s := range full {
		if loss := p.expectedLoss(now, s, mean, demand); loss < least && p.healthOf(now, s) <= atCapacity {
			best, least = s, loss
		}
	}
	return best
}

// minProbeGain is by how much the probability of missing the aim must be higher at a slow
// server for the gate to probe its server's speed before the request begins. About one run
// in twenty begins in a slow period that was not reported yet, and a probe costs about a
// hundredth of a request.
const minProbeGain = 0.3

// SlownessToProbe returns the slowness at which a request is sent to a server, in percent
// of usual, for the server's gate to confirm by a probe before the request begins. It
// returns 0 if a slow period would not affect the request much or the server does not
// report its slowness.
func (p *Pool) SlownessToProbe(now time.Time, s *Server, demand Demand) int {
	if p.options.NoChecks || !demand.Known() || !p.reportsSlowness() {
		return 0
	}
	percent := s.slownessEstimate(now, p.meanSlowness(now))
	usual := p.slowedWork(demand.Work, percent/100)
	times := p.slowPeriods.expectedSlowdown()
	slow := time.Duration(times * float64(usual))
	gain := lateProbability(slow, demand.Aim) - lateProbability(usual, demand.Aim)
	if p.gainUnderLoad(now, gain, times*percent/100, demand) < minProbeGain {
		return 0
	}
	return int(percent)
}

// expectedLoss returns the expected loss of sending a request to a server, in late
// requests. mean is meanSlowness.
func (p *Pool) expectedLoss(now time.Time, s *Server, mean float64, demand Demand) float64 {
	return p.lossForTime(now, s, demand, p.expectedTime(now, s, mean, demand))
}

// lossForTime is expectedLoss for a server that is expected to take a given time.
func (p *Pool) lossForTime(now time.Time, s *Server, demand Demand, took time.Duration) float64 {
	loss := lateProbability(took, demand.Aim) + aimLatencyCost*float64(took)/float64(demand.Aim)
	loss += s.failureRate * decayFactor(now.Sub(s.lastFailure), failureDecay)
	if !p.options.NoDistance {
		loss += s.ByteCost * demand.Bytes
	}
	return loss
}

// minWorkLeft is the least share of its work that is assumed to remain for a request that
// has not been answered yet.
const minWorkLeft = 0.3

// HedgeGain returns by how much the expected loss would be lower, in late requests, if a
// request at one server were also sent to another one. elapsed is for how long it has been at
// the first one.
func (p *Pool) HedgeGain(now time.Time, at, other *Server, elapsed time.Duration, demand Demand) float64 {
	if !demand.Known() || at.report.Slowness == 0 {
		return 0
	}
	mean := p.meanSlowness(now)
	slowness := max(at.slownessEstimate(now, mean)/100, 1)
	left := max(demand.Work-time.Duration(float64(elapsed)/slowness), time.Duration(minWorkLeft*float64(demand.Work)))
	stay := lateProbability(p.slowedWork(left, slowness), demand.Aim)
	hedged := lateProbability(p.expectedTime(now, other, mean, demand), demand.Aim)
	gain := stay - hedged
	if !p.options.NoDistance {
		gain -= other.ByteCost * demand.Bytes
	}
	return gain
}

// lateProbability returns the probability that a request with an expected time misses its aim.
func lateProbability(took, aim time.Duration) float64 {
	return 1 / (1 + math.Exp(lateSteepness*(1-float64(took)/float64(aim))))
}

// expectedTime returns the time that the request is expected to take at a server. mean is
// meanSlowness.
func (p *Pool) expectedTime(now time.Time, s *Server, mean float64, demand Demand) time.Duration {
	return p.timeAtSlowness(now, s, s.slownessEstimate(now, mean)/100, demand)
}

// timeAtSlowness is expectedTime for a given slowness of the server, as a factor.
func (p *Pool) timeAtSlowness(now time.Time, s *Server, slowness float64, demand Demand) time.Duration {
	return p.timeUnderLoad(now, s, slowness, demand, p.load(now, s, demand.Work))
}

// timeUnderLoad is timeAtSlowness for a given number of other requests at the server.
func (p *Pool) timeUnderLoad(now time.Time, s *Server, slowness float64, demand Demand, load float64) time.Duration {
	busy := (load + 1) / p.concurrencyLimit(s)
	wait := s.tokenWait(now, demand.headroomLevel())
	if wait > 0 {
		busy = min(busy, 1) // Queued requests wait for tokens, not for slots.
	}
	took := p.slowedWork(demand.Work, slowness)
	took += time.Duration(busyCost * min(busy, 1) * float64(took))
	if busy > 1 {
		took += time.Duration(queueCost * (busy - 1) * slowness * float64(demand.Work))
	}
	if !p.options.NoNotices {
		took += s.stallDelay(now, demand.Work)
	}
	return took + wait + s.Distance
}

// slowedWork returns how long work takes at a server of a slowness when the request begins.
// Requests that a server has begun do not get faster when its slow period ends.
func (p *Pool) slowedWork(work time.Duration, slowness float64) time.Duration {
	return time.Duration(float64(work) * max(slowness, 1))
}

// numChoices returns how many servers are drawn: byDefault, unless the options set a number.
func (p *Pool) numChoices(byDefault int) int {
	if p.options.Choices > 0 {
		return p.options.Choices
	}
	return byDefault
}
