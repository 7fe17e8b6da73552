// SPDX-License-Identifier: MIT

package calls

import (
	"hash/fnv"
	"sync"
	"time"
)

// Route identifies a route by a hash of its host and prefix, which takes few bytes in messages
// between nodes.
type Route uint64

// RouteOf returns the Route for a route's name; 0 for an empty name.
func RouteOf(name string) Route {
	if name == "" {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // Never fails.
	return Route(max(h.Sum64(), 1))
}

// ExpectedCall describes the calls to one route that a run of another route makes.
type ExpectedCall struct {
	// Call is the route that is called.
	Call Route
	// Share is the fraction of runs that make such calls, and Times how many calls each of
	// these makes on average.
	Share, Times float64
	// Together means that the calls of a run are made at the same time.
	Together bool
	// UsualTime is the usual duration of such a call; 0 if that is not known.
	UsualTime time.Duration
}

const (
	// maxParents bounds the parent routes that one node learns of, and maxEdges the routes that
	// the runs of one of them may call.
	maxParents = 64
	maxEdges   = 32
	// The counts of a route are halved whenever they cover halveAfterRuns runs. At first that
	// happens earlier, at halveFirstAfterRuns runs and then at twice as many each time, since
	// the first calls are attributed without any knowledge.
	halveAfterRuns      = 512
	halveFirstAfterRuns = 32
	// followWithin is the longest time between two events that are taken to be related: calls
	// that are made together begin within it, and a call that is made after another one ended
	// begins within it after that.
	followWithin = 5 * time.Millisecond
	// maxGapSeconds bounds the time without calls that counts in a callee's observedSeconds, so
	// that idle hours do not change what is known of busy ones. Both times of the callee are
	// halved whenever they cover halveAfterSeconds.
	maxGapSeconds     = 1.0
	halveAfterSeconds = 60.0
	// callTimeWeight is the weight of one call in the moving average of their durations.
	callTimeWeight = 0.1
	// priorBusySeconds is the running time that each route is assumed to have had before its
	// first run, with priorCalls calls in it.
	priorBusySeconds = 0.1
	priorCalls       = 0.05
	// decisiveRatio decides which routes count for the priority of a call: a route does not if
	// others together are more than decisiveRatio times likelier to have made the call.
	decisiveRatio = 4
)

// Graph is what a node knows of the calls of routes. The zero value knows nothing. It is safe for
// concurrent use.
type Graph struct {
	mu      sync.Mutex
	at      time.Time
	parents map[Route]*parent
	callees map[Route]*callee
	records map[edgeKey]*Record
	// expected holds the records by parent route; nil after records have changed.
	expected map[Route][]ExpectedCall
	// unattributed counts calls that began while no run was in progress.
	unattributed int64
	// droppedRecords counts records of other nodes that could not be used.
	droppedRecords int64
	// epochRaisedAt is when this node last replaced a record that contradicts what it has seen.
	epochRaisedAt time.Time
}

// edgeKey identifies the calls to one route by runs of another.
type edgeKey struct{ parent, call Route }

// parent is what a node has seen of the runs of one route at its backend server.
type parent struct {
	active   int
	priority uint8
	// runs counts the runs that ended, and busySeconds is the running time of all runs, in
	// seconds. Both are halved from time to time.
	runs, busySeconds float64
	// halveAfter is the number of runs at which the counts are halved next.
	halveAfter float64
	edges      map[Route]*edge
}

// edge is what a node has seen of the calls to one route by runs of another.
type edge struct {
	calls float64
	// together counts the calls that began with another one, and sequential those that began
	// when another one had ended.
	together, sequential float64
}

// callee is what a node has seen of the calls to one route, whichever runs made them.
type callee struct {
	began, ended time.Time
	meanTime     time.Duration
	// observedSeconds is the time in which the calls were observed, and nearSeconds how much
	// of it was within followWithin after the begin or end of a call.
	observedSeconds, nearSeconds float64
}

// RequestStarted records that the backend server of this node begins to run a request.
func (g *Graph) RequestStarted(now time.Time, route Route, priority uint8) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	if p := g.parent(route); p != nil {
		p.active++
		p.priority = priority
	}
}

// RequestEnded records that such a run ended.
func (g *Graph) RequestEnded(now time.Time, route Route) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	p := g.parents[route]
	if p == nil || p.active == 0 {
		return
	}
	p.active--
	p.runs++
	if p.runs >= p.halveAfter {
		p.halve()
		p.halveAfter = min(2*p.halveAfter, halveAfterRuns)
	}
	g.updateRecords(now, route, p)
}

// ServerBusy reports whether the backend server of this node is running requests.
func (g *Graph) ServerBusy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.parents {
		if p.active > 0 {
			return true
		}
	}
	return false
}

// advance adds the time since the last event to the running time of the routes.
func (g *Graph) advance(now time.Time) {
	if dt := now.Sub(g.at).Seconds(); !g.at.IsZero() && dt > 0 {
		for _, p := range g.parents {
			p.busySeconds += float64(p.active) * dt
		}
	}
	g.at = now
}

func (g *Graph) parent(route Route) *parent {
	p := g.parents[route]
	if p != nil || route == 0 || len(g.parents) >= maxParents {
		return p
	}
	if g.parents == nil {
		g.parents = map[Route]*parent{}
	}
	p = &parent{edges: map[Route]*edge{}, halveAfter: halveFirstAfterRuns}
	g.parents[route] = p
	return p
}

func (p *parent) halve() {
	p.runs /= 2
	p.busySeconds /= 2
	for _, e := range p.edges {
		e.calls /= 2
		e.together /= 2
		e.sequential /= 2
	}
}

// rate is how many calls to a route a run makes per second of running time.
func (p *parent) rate(call Route) float64 {
	calls := priorCalls
	if e := p.edges[call]; e != nil {
		calls += e.calls
	}
	return calls / (p.busySeconds + priorBusySeconds)
}

// CallStarted records a call that the backend server of this node makes. It returns the priority of
// the run that made it, or the most urgent priority if several routes may have made it. ok is false
// if no run is in progress, or if none of many routes is likely enough (see decisiveRatio).
func (g *Graph) CallStarted(now time.Time, call Route) (priority uint8, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	total := 0.0
	for _, p := range g.parents {
		total += float64(p.active) * p.rate(call)
	}
	if total == 0 {
		g.unattributed++
		return 0, false
	}
	together, sequential := g.follows(now, call)
	for _, p := range g.parents {
		if part := float64(p.active) * p.rate(call) / total; part > 0 {
			p.attribute(call, part, together, sequential)
		}
	}
	return g.inheritedPriority(call, total)
}

// attribute counts a part of a call for the runs of a route.
func (p *parent) attribute(call Route, part float64, together, sequential bool) {
	e := p.edges[call]
	if e == nil {
		if len(p.edges) >= maxEdges {
			return
		}
		e = &edge{}
		p.edges[call] = e
	}
	e.calls += part
	if together {
		e.together += part
	} else if sequential {
		e.sequential += part
	}
}

// follows reports whether a call begins together with another one to the same route, and whether
// it begins when one has just ended.
func (g *Graph) follows(now time.Time, call Route) (together, sequential bool) {
	c := g.callee(call)
	c.observe(now)
	together = !c.began.IsZero() && now.Sub(c.began) < followWithin
	sequential = !c.ended.IsZero() && now.Sub(c.ended) < followWithin
	c.began = now
	return together, sequential
}

// observe adds the time since the last call began or ended.
func (c *callee) observe(now time.Time) {
	last := c.began
	if c.ended.After(last) {
		last = c.ended
	}
	dt := now.Sub(last).Seconds()
	if last.IsZero() || dt <= 0 {
		return
	}
	c.observedSeconds += min(dt, maxGapSeconds)
	c.nearSeconds += min(dt, followWithin.Seconds())
	if c.observedSeconds >= halveAfterSeconds {
		c.observedSeconds /= 2
		c.nearSeconds /= 2
	}
}

// coincidence is the probability that a call which no other one led to begins within
// followWithin after the begin or end of another one.
func (c *callee) coincidence() float64 {
	if c == nil || c.observedSeconds == 0 {
		return 0
	}
	return c.nearSeconds / c.observedSeconds
}

func (g *Graph) callee(call Route) *callee {
	c := g.callees[call]
	if c != nil {
		return c
	}
	if g.callees == nil || len(g.callees) >= maxParents*maxEdges {
		g.callees = map[Route]*callee{}
	}
	c = &callee{}
	g.callees[call] = c
	return c
}

// inheritedPriority is the priority of the route that most probably made a call, or the most urgent
// one if several routes may have made it. The caller must hold the lock.
func (g *Graph) inheritedPriority(call Route, total float64) (priority uint8, ok bool) {
	for _, p := range g.parents {
		part := float64(p.active) * p.rate(call)
		if part < total/(decisiveRatio+1) {
			continue
		}
		if !ok || p.priority < priority {
			priority, ok = p.priority, true
		}
	}
	return priority, ok
}

// CallEnded records the end of a call and how long it took; took is 0 if the call was not answered.
func (g *Graph) CallEnded(now time.Time, call Route, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.callee(call)
	c.observe(now)
	c.ended = now
	if took <= 0 {
		return
	}
	if c.meanTime == 0 {
		c.meanTime = took
	}
	c.meanTime += time.Duration(callTimeWeight * float64(took-c.meanTime))
}

// DroppedRecords returns how many records of other nodes could not be used.
func (g *Graph) DroppedRecords() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.droppedRecords
}

// UnattributedCalls returns how many calls began while the server was running no request.
func (g *Graph) UnattributedCalls() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unattributed
}
