// SPDX-License-Identifier: MIT

package balance

import (
	"iter"
	"slices"
	"time"

	"github.com/ryehaven/ryehaven/admit"
	"github.com/ryehaven/ryehaven/wire"
)

// Spec is what the table and the membership state about one server.
type Spec struct {
	Name string
	// Node is the address of the server's node.
	Node   string
	Weight float64
	Slots  int
	// Distance is by how much the usual round-trip time to the server's availability
	// zone exceeds that within the entry's own zone.
	Distance time.Duration
	// ByteCost is the cost of sending a byte to the server or back, in late requests: 1 is
	// as costly as one request that misses its latency objective.
	ByteCost float64
	// DistanceFactor is how many times slower the server is taken to be, to account for
	// the costs of reaching it other than time; 0 means 1.
	DistanceFactor float64
	// Leaving servers get no new work.
	Leaving bool
	// Announced servers have names that belong to one incarnation only.
	Announced bool
	// Spare servers are picked only when no other server is healthy, so that an entry
	// works with a bounded number of servers. A spare server that gets work is in use
	// until the first Update after that work has ended.
	Spare bool
}

// Server is the state that an entry keeps of one server.
type Server struct {
	Spec

	outstanding int
	// lastProgress is when the server last answered or its gate last refused a request,
	// or when a request was last sent while none was outstanding, whichever is later.
	lastProgress time.Time

	// slowPeriodStart is when the server's current slow period began, zero if it is in
	// none, and slownessBefore its slowness before that, in percent of usual.
	slowPeriodStart time.Time
	slownessBefore  int
	// slownessAt is when the gate last reported its server's slowness or load.
	slownessAt time.Time
	// headroom is the headroom that the gate reported last, at headroomAt.
	headroom   wire.Headroom
	headroomAt time.Time
	tokens     tokenState
	// rateLimit is the limit that the server reports, as far as the entry knows.
	rateLimit admit.ReportedLimit
	// report is the load that the gate reported last, at reportAt. ownAtReport is the
	// number of the entry's own outstanding requests at that time.
	report              wire.Load
	reportAt            time.Time
	ownAtReport         int
	meanLatency         time.Duration
	answeredAt          time.Time
	failureRate         float64
	lastFailure         time.Time
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	rampStart           time.Time
	fullUntil           time.Time
	drainingUntil       time.Time
	suspected           bool
	unreachableUntil    time.Time
}

// Outstanding returns the number of the entry's own unanswered requests at the server.
func (s *Server) Outstanding() int { return s.outstanding }

// Ejected reports whether the server is ejected at a time.
func (s *Server) Ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// Pool holds the servers of one service at one entry. It is not safe for
// concurrent use.
type Pool struct {
	options Options
	// servers are those in use, spares all others. The work for each request grows only
	// with the number of servers in use.
	servers, spares []*Server
	roundRobinIndex int
	initialized     bool
	// absentLimits are the rate limits of servers that are not in the pool at the moment.
	absentLimits map[string]admit.ReportedLimit
	slowPeriods  slowPeriodStats
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	return &Pool{options: options}
}

// Servers returns the servers in use, without the spares.
func (p *Pool) Servers() []*Server { return p.servers }

// Update sets the servers of the service. The state of servers that remain is kept.
// A server that joins a pool already in use starts with a small share of its work,
// since it may be cold.
func (p *Pool) Update(now time.Time, specs []Spec) {
	known := make(map[string]*Server, len(p.servers)+len(p.spares))
	for s := range p.all() {
		known[s.Name] = s
	}
	p.servers, p.spares = nil, nil
	p.keepLimits(known, specs)
	for _, spec := range specs {
		s := known[spec.Name]
		if s == nil || s.Node != spec.Node {
			s = &Server{rateLimit: p.takeLimit(spec.Name)}
			if p.initialized {
				s.rampStart = now
			}
		}
		s.Spec = spec
		s.Spare = spec.Spare && s.outstanding == 0
		if s.Spare {
			p.spares = append(p.spares, s)
		} else {
			p.servers = append(p.servers, s)
		}
	}
	p.initialized = true
}

// all yields the servers in use and then the spares.
func (p *Pool) all() iter.Seq[*Server] {
	return func(yield func(*Server) bool) {
		for _, list := range [][]*Server{p.servers, p.spares} {
			for _, s := range list {
				if !yield(s) {
					return
				}
			}
		}
	}
}

// activateSpare moves a spare server to those in use.
func (p *Pool) activateSpare(s *Server) {
	at := slices.Index(p.spares, s)
	if at < 0 {
		return // The servers were updated since it was picked.
	}
	p.spares = slices.Delete(p.spares, at, at+1)
	p.servers = append(p.servers, s)
	s.Spare = false
}

// MarkLeaving makes a server get no new work, until the next Update at least.
func (p *Pool) MarkLeaving(name string) {
	for s := range p.all() {
		if s.Name == name {
			s.Leaving = true
		}
	}
}

// Sent records that a request is sent to the server.
func (p *Pool) Sent(now time.Time, s *Server) {
	if s.outstanding == 0 {
		s.lastProgress = now
	}
	s.outstanding++
	s.recordSent(now)
	if s.Spare {
		p.activateSpare(s)
	}
}

// Result is how an attempt at a server ended.
type Result struct {
	// Latency is the time from sending the request to receiving the head of the answer.
	Latency time.Duration
	// Failed says that the answer was lost or had a server error status.
	Failed bool
	// Refused is the reason if the gate refused the request, else 0. RetryAfter is the
	// delay that the gate advised in that case.
	Refused    wire.Reason
	RetryAfter time.Duration
	// TimedOut says that the deadline passed first; Latency is then a lower bound of
	// the time that the answer would have taken.
	TimedOut bool
	// Abandoned says that the entry did not wait for the end of the attempt, which
	// therefore says nothing about the server.
	Abandoned bool
	// Load is the gate's load report, nil if there was none.
	Load *wire.Load
}

// How the results of attempts change the state of a server.
const (
	// reorderWindow is how long after a report another one with a lower sequence number
	// is dropped as older. After it, lower numbers are accepted again: a gate whose
	// host's clock was set back continues with lower numbers.
	reorderWindow = 5 * time.Second
	// latencyWeight and failureWeight are the weights of one result in the moving
	// averages.
	latencyWeight = 0.2
	failureWeight = 0.1
	// drainingDuration is for how long a server counts as draining after its gate refused
	// a request because the server is draining or because there is none.
	drainingDuration = time.Second
	// An attempt that timed out counts as a failure if it took longer than hangFactor
	// times the shortest usual time.
	hangFactor = 10
	// maxFullDuration is the longest time for which a server counts as full after a
	// refusal because of overload, load shedding or a cold server. A gate that answers a
	// request every half millisecond is not full for long.
	maxFullDuration = 20 * time.Millisecond
	// unreachableDuration is for how long a server is avoided after no connection to
	// its node could be made.
	unreachableDuration = 250 * time.Millisecond
)

// Ended records how an attempt at the server ended.
func (p *Pool) Ended(now time.Time, s *Server, r Result) {
	s.outstanding = max(s.outstanding-1, 0)
	if r.Load != nil {
		p.updateLoad(now, s, *r.Load)
	}
	switch {
	case r.Abandoned:
	case r.TimedOut:
		s.meanLatency = max(s.meanLatency, r.Latency)
		s.answeredAt = now
		if r.Latency > hangFactor*p.shortestUsualTime() {
			s.recordFailure(now, p)
		}
	case r.Refused != 0:
		s.lastProgress = now
		s.recordRefusal(now, r)
	case r.Failed:
		s.recordFailure(now, p)
	default:
		s.lastProgress = now
		s.answeredAt = now
		s.recordAnswer(r.Latency)
	}
}

// UpdateLoad records a load report that a gate sent by itself, not with an answer.
func (p *Pool) UpdateLoad(now time.Time, server string, load wire.Load) {
	for _, s := range p.servers {
		if s.Name == server {
			p.updateLoad(now, s, load)
		}
	}
}

// UpdateSlowness records how slow the server behind a node is now, in percent of usual.
// 0 withdraws the last report, since the gate does not know the slowness any more.
func (p *Pool) UpdateSlowness(now time.Time, node string, percent int) {
	for _, s := range p.servers {
		if s.Node == node {
			p.updateSlowness(now, s, percent)
		}
	}
}

func (p *Pool) updateSlowness(now time.Time, s *Server, percent int) {
	if percent <= 0 {
		s.slowPeriodStart = time.Time{}
		s.report.Slowness = 0
		return
	}
	p.slowPeriods.observe(now, s, percent)
	s.report.Slowness = percent
	s.slownessAt = now
}

func (p *Pool) updateLoad(now time.Time, s *Server, load wire.Load) {
	if load.Seq <= s.report.Seq && now.Sub(s.reportAt) < reorderWindow {
		return
	}
	if load.Slowness == 0 {
		load.Slowness = s.report.Slowness
	}
	p.slowPeriods.observe(now, s, load.Slowness)
	s.report = load
	s.reportAt = now
	s.slownessAt = now
	s.ownAtReport = s.outstanding
}

func (s *Server) recordRefusal(now time.Time, r Result) {
	switch r.Refused {
	case wire.ReasonDraining, wire.ReasonNoServer:
		s.drainingUntil = now.Add(drainingDuration)
	case wire.ReasonCold, wire.ReasonRateLimit:
		s.recordTokenRefusal(now, r.RetryAfter)
		s.fullUntil = now.Add(min(r.RetryAfter, maxFullDuration))
	case wire.ReasonOverload, wire.ReasonShed:
		s.fullUntil = now.Add(min(r.RetryAfter, maxFullDuration))
	case wire.ReasonConnect:
		s.unreachableUntil = now.Add(unreachableDuration)
	}
}

func (s *Server) recordAnswer(latency time.Duration) {
	s.consecutiveFailures = 0
	s.failureRate -= failureWeight * s.failureRate
	switch {
	case s.meanLatency == 0:
		s.meanLatency = latency
	case latency > s.meanLatency:
		// The average rises faster than it falls, so that a server that became
		// slow is soon avoided.
		s.meanLatency += time.Duration(2 * latencyWeight * float64(latency-s.meanLatency))
	default:
		s.meanLatency += time.Duration(latencyWeight * float64(latency-s.meanLatency))
	}
}

// MarkUnreachable records that no connection to the server's node could be made. It
// does not count as a failure of the server, so that no ejection delays its return: it
// is avoided for unreachableDuration and then starts with a small share of its work.
func (p *Pool) MarkUnreachable(now time.Time, s *Server) {
	s.unreachableUntil = now.Add(unreachableDuration)
	s.rampStart = s.unreachableUntil
}

// SetSuspected sets whether the server's node is unresponsive although it has work, and
// reports whether that changed. A server that is no longer suspected starts with a
// small share of its work, and its earlier latency and load reports are dropped.
func (p *Pool) SetSuspected(now time.Time, s *Server, suspected bool) (changed bool) {
	if s.suspected && !suspected {
		s.rampStart = now
		s.meanLatency = 0
		s.report = wire.Load{}
		s.reportAt = time.Time{}
	}
	changed = s.suspected != suspected
	s.suspected = suspected
	return changed
}
