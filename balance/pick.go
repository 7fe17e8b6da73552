// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

// Policy names a way to pick a server.
type Policy string

// The policies. All but Expected are baselines for comparison.
const (
	// Expected compares the expected times of a few servers drawn at random.
	Expected Policy = "expected"
	// Random picks a random server.
	Random Policy = "random"
	// RoundRobin picks the servers in turn.
	RoundRobin Policy = "round-robin"
	// LeastOutstanding picks the server with the fewest outstanding requests of this
	// entry.
	LeastOutstanding Policy = "least-outstanding"
	// TwoChoices draws two servers and picks the one with fewer outstanding requests
	// of this entry.
	TwoChoices Policy = "two-choices"
)

// Policies lists every policy.
func Policies() []Policy {
	return []Policy{Expected, Random, RoundRobin, LeastOutstanding, TwoChoices}
}

// Options select the policy. The zero value is the default in production. Each of the bool
// fields switches off one part of it, for comparison.
type Options struct {
	Policy Policy
	// Choices is how many servers are drawn; 0 means the default.
	Choices int
	// NoReports ignores the gates' reports.
	NoReports bool
	// IgnoreUnanswered ignores for how long a server has not answered.
	IgnoreUnanswered bool
	// NoNotices ignores the gates' reports of stalled servers.
	NoNotices bool
	// NoEjection never ejects a server.
	NoEjection bool
	// NoChecks makes no gate probe its server's speed before a request, and NoAwait never
	// waits for the end of a slow period.
	NoChecks, NoAwait bool
	// NoDistance ignores the distances between availability zones.
	NoDistance bool
}

// DefaultChoices is how many servers Expected draws unless the servers report slowness.
const DefaultChoices = 2

// Tried is the set of servers that a request was already sent to.
type Tried []*Server

// Has reports whether s is in the set.
func (t Tried) Has(s *Server) bool {
	for _, other := range t {
		if other == s {
			return true
		}
	}
	return false
}

// Pick returns a server that was not tried yet, or nil if there is none. Servers that are
// ejected, suspected, unreachable, draining or full are picked only if there is no other;
// leaving servers never are.
func (p *Pool) Pick(now time.Time, rng *rand.Rand, tried Tried) *Server {
	candidates := p.candidates(now, tried)
	if len(candidates) <= 1 {
		if len(candidates) == 0 {
			return nil
		}
		return candidates[0]
	}
	switch p.options.Policy {
	case Random:
		return candidates[rng.IntN(len(candidates))]
	case RoundRobin:
		p.roundRobinIndex++
		return candidates[p.roundRobinIndex%len(candidates)]
	case LeastOutstanding:
		return least(candidates, rng.IntN(len(candidates)), outstandingScore)
	case TwoChoices:
		return least(p.draw(now, rng, candidates, 2), 0, outstandingScore)
	}
	choices := p.options.Choices
	if p.reportsSlowness() {
		if choices == 0 {
			choices = slownessChoices
		}
		mean := p.meanSlowness(now)
		return leastByMargin(p.draw(now, rng, candidates, choices), func(s *Server) float64 {
			return p.slownessScore(now, s, mean)
		})
	}
	if choices == 0 {
		choices = DefaultChoices
	}
	best := p.shortestUsualTime()
	return leastByMargin(p.draw(now, rng, candidates, choices), func(s *Server) float64 {
		return p.expectedSeconds(now, s, best)
	})
}

// PickByOrder returns, of the servers that were not tried and are in the best health, the
// first one in an order of their names, or nil if there is none. All nodes that know the
// same servers pick the same one.
func (p *Pool) PickByOrder(now time.Time, tried Tried, order func(name string) uint64) *Server {
	var first *Server
	for _, s := range p.candidates(now, tried) {
		if first == nil || order(s.Name) < order(first.Name) {
			first = s
		}
	}
	return first
}

// CountUntried returns the number of healthy servers in use that were not tried or, if there
// are none, of healthy spares that were not tried.
func (p *Pool) CountUntried(now time.Time, tried Tried) int {
	if n := len(p.healthyCandidates(now, tried)); n > 0 {
		return n
	}
	n := 0
	for _, s := range p.spares {
		if !tried.Has(s) && p.healthOf(now, s) == healthy {
			n++
		}
	}
	return n
}

// health is the state of a server. The values are in the order in which servers are avoided:
// the higher the value, the worse the state.
type health int

const (
	healthy health = iota
	atCapacity
	ejected
	unreachable
	suspected
	draining
	leaving
)

var healthNames = [...]string{"", "full", "ejected", "unreachable", "suspected", "draining", "leaving"}

// ServerView is what a pool knows of one server. It explains a choice in the logs.
type ServerView struct {
	Name string
	// Slowness is in percent of usual, 0 if it was never reported; the last report is
	// Age old.
	Slowness int
	Age      time.Duration
	// Load is the expected number of requests at the server, of Limit.
	Load, Limit float64
	// Health is why it is avoided; blank if it is not.
	Health string
}

// ServerViews returns what the pool knows of the servers in use.
func (p *Pool) ServerViews(now time.Time) []ServerView {
	views := make([]ServerView, len(p.servers))
	best, mean := p.shortestUsualTime(), p.meanOthersLoad()
	for i, s := range p.servers {
		views[i] = ServerView{
			Name:     s.Name,
			Slowness: s.report.Slowness,
			Load:     p.loadGivenMean(now, s, p.serviceTime(now, s, best), mean),
			Limit:    p.concurrencyLimit(s),
			Health:   healthNames[p.healthOf(now, s)],
		}
		if !s.slownessAt.IsZero() {
			views[i].Age = now.Sub(s.slownessAt)
		}
	}
	return views
}

// healthOf returns the reason to avoid a server, if any. The baselines know only what
// every client would: which servers are leaving, draining or unreachable.
func (p *Pool) healthOf(now time.Time, s *Server) health {
	baseline := p.options.Policy != "" && p.options.Policy != Expected
	switch {
	case s.Leaving:
		return leaving
	case now.Before(s.drainingUntil):
		return draining
	case now.Before(s.unreachableUntil):
		return unreachable
	case baseline:
		return healthy
	case s.suspected:
		return suspected
	case s.Ejected(now):
		return ejected
	case now.Before(s.fullUntil):
		return atCapacity
	}
	return healthy
}

// healthyCandidates returns the healthy servers in use that were not tried.
func (p *Pool) healthyCandidates(now time.Time, tried Tried) []*Server {
	var found []*Server
	for _, s := range p.servers {
		if !tried.Has(s) && p.healthOf(now, s) == healthy {
			found = append(found, s)
		}
	}
	return found
}

// candidates returns the servers in the best health that were not tried.
func (p *Pool) candidates(now time.Time, tried Tried) []*Server {
	if servers := p.healthyCandidates(now, tried); len(servers) > 0 {
		return servers
	}
	best := leaving
	var found []*Server
	for s := range p.all() {
		if tried.Has(s) {
			continue
		}
		h := p.healthOf(now, s)
		if h == leaving || h > best {
			continue
		}
		if h < best {
			best = h
			found = found[:0]
		}
		found = append(found, s)
	}
	return found
}

// least returns the server with the lowest score; of several with equal scores, the first
// one counted from index start.
func least(servers []*Server, start int, score func(*Server) float64) *Server {
	best, bestScore := servers[start], score(servers[start])
	for i := 1; i < len(servers); i++ {
		s := servers[(start+i)%len(servers)]
		if v := score(s); v < bestScore {
			best, bestScore = s, v
		}
	}
	return best
}

// scoreMargin is the share by which a score must be lower to be preferred. Between
// estimates that are closer, the random draw decides, so that no server is starved and
// entries with the same estimates do not all pick the same server.
const scoreMargin = 0.1

// leastByMargin returns the server with the lowest score, or an earlier one whose score is
// within the margin of it.
func leastByMargin(servers []*Server, score func(*Server) float64) *Server {
	best, bestScore := servers[0], score(servers[0])
	for _, s := range servers[1:] {
		if v := score(s); v < (1-scoreMargin)*bestScore {
			best, bestScore = s, v
		}
	}
	return best
}

func outstandingScore(s *Server) float64 { return float64(s.outstanding) }

// distanceUnit is the distance that halves a server's weight in the random draw.
const distanceUnit = 2 * time.Millisecond

// draw draws n different servers at random, weighted by their weight, distance and ramp, by
// the method of Efraimidis and Spirakis (2006): the n greatest u^(1/w), compared by their
// logarithms.
func (p *Pool) draw(now time.Time, rng *rand.Rand, candidates []*Server, n int) []*Server {
	n = min(n, len(candidates))
	keys := make([]float64, len(candidates))
	for i, s := range candidates {
		keys[i] = math.Log(1-rng.Float64()) / p.drawWeight(now, s)
	}
	for i := 0; i < n; i++ {
		top := i
		for j := i + 1; j < len(keys); j++ {
			if keys[j] > keys[top] {
				top = j
			}
		}
		keys[i], keys[top] = keys[top], keys[i]
		candidates[i], candidates[top] = candidates[top], candidates[i]
	}
	return candidates[:n]
}

func (p *Pool) drawWeight(now time.Time, s *Server) float64 {
	weight := s.Weight * s.ramp(now)
	if !p.options.NoDistance {
		weight /= 1 + float64(s.Distance)/float64(distanceUnit)
	}
	return weight
}
