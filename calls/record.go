// SPDX-License-Identifier: MIT

package calls

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"math/bits"
	"slices"
	"time"
)

// Record is what nodes send each other about the calls to one route by runs of another.
type Record struct {
	Parent, Call uint64
	// Epoch rises when an older record no longer holds, and Class with the number of runs seen.
	Epoch, Class uint64
	// Share and Times are those of ExpectedCall, in units of 1/unit.
	Share, Times uint64
	// Together is 1 if the calls are made at the same time, else 0.
	Together uint64
	// Millis is the usual duration of such a call in milliseconds; 0 if not known.
	Millis uint64
}

const (
	// unit is the fixed-point scale of the fractions in a Record.
	unit = 16
	// MaxRecords bounds the records of a node, and so the size of a message with all of them:
	// about 30 KB.
	MaxRecords = 512
	// maxTimes and maxMillis are more than any useful run needs.
	maxTimes  = 64 * unit
	maxMillis = 10 * 60 * 1000
	// maxEpoch leaves room for the epochs that this node may add.
	maxEpoch = math.MaxUint32
	// minRuns is the number of runs that are enough for a first record, of class 1. Each
	// further class, up to maxClass, takes classFactor times as many.
	minRuns     = 16
	classFactor = 4
	maxClass    = 3
	// minCallsPerRun is the mean number of calls per run below which a route counts as not called.
	minCallsPerRun = 0.05
	// maxDeviation is the relative difference between a record and what a node has seen above
	// which the node replaces the record, and epochInterval how often it may do so.
	maxDeviation  = 0.3
	epochInterval = 30 * time.Second
)

// valid reports whether the numbers are in their ranges.
func (r *Record) valid() bool {
	return r.Parent != 0 && r.Call != 0 && r.Epoch <= maxEpoch && r.Class >= 1 && r.Class <= maxClass &&
		r.Share <= unit && r.Times <= maxTimes && r.Together <= 1 && r.Millis <= maxMillis
}

func (r *Record) key() edgeKey { return edgeKey{Route(r.Parent), Route(r.Call)} }

// hash covers all fields of the record.
func (r *Record) hash() uint64 {
	h := fnv.New64a()
	var b [8]byte
	for _, n := range [...]uint64{r.Parent, r.Call, r.Epoch, r.Class, r.Share, r.Times, r.Together, r.Millis} {
		binary.LittleEndian.PutUint64(b[:], n)
		_, _ = h.Write(b[:]) // Never fails.
	}
	return h.Sum64()
}

// supersedes reports whether a record replaces another one: it compares the epochs, then the
// classes, and then the hashes, so that all nodes choose the same record.
func (r *Record) supersedes(other *Record) bool {
	return cmp.Or(cmp.Compare(r.Epoch, other.Epoch), cmp.Compare(r.Class, other.Class), cmp.Compare(r.hash(), other.hash())) > 0
}

func (r *Record) callsPerRun() float64 { return float64(r.Share) * float64(r.Times) / (unit * unit) }

func (r *Record) expected() ExpectedCall {
	return ExpectedCall{
		Call:      Route(r.Call),
		Share:     float64(r.Share) / unit,
		Times:     float64(r.Times) / unit,
		Together:  r.Together == 1,
		UsualTime: time.Duration(r.Millis) * time.Millisecond,
	}
}

// ExpectedCalls returns the calls that a run of a route makes, the most frequent first. The caller
// must not modify the result.
func (g *Graph) ExpectedCalls(route Route) []ExpectedCall {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.expected == nil {
		g.expected = map[Route][]ExpectedCall{}
		for key, r := range g.records {
			if r.Share > 0 && r.Times > 0 {
				g.expected[key.parent] = append(g.expected[key.parent], r.expected())
			}
		}
		for _, list := range g.expected {
			slices.SortFunc(list, func(a, b ExpectedCall) int {
				return cmp.Or(cmp.Compare(b.Share*b.Times, a.Share*a.Times), cmp.Compare(a.Call, b.Call))
			})
		}
	}
	return g.expected[route]
}

// Sum is a short checksum of all records; 0 if there are none. It is sent in every exchange, so
// it has only 16 bits. The checksums of two different sets of records are equal in about one of
// 30,000 cases; nodes then do not notice the difference until either set changes or a third node
// with another set is involved.
func (g *Graph) Sum() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := uint64(0)
	for _, r := range g.records {
		sum ^= r.hash()
	}
	if len(g.records) > 0 {
		sum |= 2 // 0 stands for no records.
	}
	return sum & math.MaxUint16
}

// Records returns all records, sorted by their routes, to send them to other nodes.
func (g *Graph) Records() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]Record, 0, len(g.records))
	for _, r := range g.records {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Parent, b.Parent), cmp.Compare(a.Call, b.Call))
	})
	return list
}

// Merge adds another node's records and returns how many were new or replaced one.
func (g *Graph) Merge(records []Record) (updated int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range records {
		r := records[i]
		if !r.valid() {
			g.droppedRecords++
			continue
		}
		known := g.records[r.key()]
		if known == nil && len(g.records) >= MaxRecords {
			g.droppedRecords++
			continue
		}
		if known == nil || r.supersedes(known) {
			g.put(r)
			updated++
		}
	}
	return updated
}

func (g *Graph) put(r Record) {
	if g.records == nil {
		g.records = map[edgeKey]*Record{}
	}
	g.records[r.key()] = &r
	g.expected = nil
}

// KeepRoutes removes all routes that are no longer in the configuration.
func (g *Graph) KeepRoutes(known func(Route) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expected = nil
	for key := range g.records {
		if !known(key.parent) || !known(key.call) {
			delete(g.records, key)
		}
	}
	for route, p := range g.parents {
		if !known(route) && p.active == 0 {
			delete(g.parents, route)
			continue
		}
		for call := range p.edges {
			if !known(call) {
				delete(p.edges, call)
			}
		}
	}
}

// updateRecords updates the records with what this node has seen of a route's calls. The caller
// must hold the lock.
func (g *Graph) updateRecords(now time.Time, route Route, p *parent) {
	class := classOf(p.runs)
	if class == 0 {
		return
	}
	for call, e := range p.edges {
		own := g.recordOf(route, call, p, e, class)
		known := g.records[own.key()]
		switch {
		case known == nil:
			if own.Share > 0 && len(g.records) < MaxRecords {
				g.put(own)
			}
		case own.Class > known.Class:
			own.Epoch = known.Epoch
			g.put(own)
		case own.Class == maxClass && own.contradicts(known) && now.Sub(g.epochRaisedAt) >= epochInterval && known.Epoch < maxEpoch:
			own.Epoch = known.Epoch + 1
			g.epochRaisedAt = now
			g.put(own)
		}
	}
}

// classOf returns the class for a number of runs; 0 if there are too few for a record.
func classOf(runs float64) uint64 {
	class, need := uint64(0), float64(minRuns)
	for class < maxClass && runs >= need {
		class++
		need *= classFactor
	}
	return class
}

func (g *Graph) recordOf(route, call Route, p *parent, e *edge, class uint64) Record {
	r := Record{Parent: uint64(route), Call: uint64(call), Class: class}
	perRun := e.calls / p.runs
	if perRun < minCallsPerRun {
		return r
	}
	callee := g.callees[call]
	// Of the first calls of runs, some follow those of other runs by coincidence.
	first := e.calls - e.together - e.sequential
	times := e.calls * (1 - callee.coincidence()) / max(first, e.calls/maxTimes*unit)
	times = max(times, perRun, 1)
	r.Times = uint64(min(math.Round(times*unit), maxTimes))
	r.Share = uint64(min(math.Round(perRun/times*unit), unit))
	if e.together > e.sequential {
		r.Together = 1
	}
	if callee != nil {
		r.Millis = roundDown(uint64(min(callee.meanTime.Milliseconds(), maxMillis)))
	}
	return r
}

// roundDown keeps the two highest bits of a number, so that the value in a record seldom changes.
func roundDown(n uint64) uint64 {
	drop := max(bits.Len64(n)-2, 0)
	return n >> drop << drop
}

// contradicts reports whether the calls per run of two records differ by more than maxDeviation.
func (r *Record) contradicts(other *Record) bool {
	a, b := r.callsPerRun(), other.callsPerRun()
	return math.Abs(a-b) > maxDeviation*max(a, b)+1.0/unit
}
