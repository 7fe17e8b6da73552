// SPDX-License-Identifier: MIT

package member

import (
	"math/rand/v2"
	"time"
)

// ZoneScope selects the zones of the nodes in a sample.
type ZoneScope uint8

// The scopes, relative to the availability zone of the node that has the view.
const (
	AnyZone ZoneScope = iota
	OwnZone
	OtherZones
)

func (s ZoneScope) includes(own, zone string) bool {
	switch s {
	case OwnZone:
		return zone == own
	case OtherZones:
		return zone != own
	}
	return true
}

// mayQuery reports whether another node may be queried now.
func (v *View) mayQuery(now time.Time, e *entry) bool {
	return e.Host != v.self && e.State != Gone && !now.Before(e.backoffUntil)
}

// unreachableSampleShare is the share of samples that include unreachable nodes like any
// other. A node that restarts or reconnects queries others itself, so this only serves nodes
// that do not know that others could not reach them.
const unreachableSampleShare = 0.1

// Sample returns up to n random nodes among the other nodes of a scope that may be queried
// now. Most samples include unreachable nodes only if there are too few others.
func (v *View) Sample(now time.Time, rng *rand.Rand, n int, scope ZoneScope) []Record {
	own := v.entries[v.self].Zone
	includeUnreachable := rng.Float64() < unreachableSampleShare
	var reachable, unreachable reservoir
	for _, host := range v.hosts {
		e := v.entries[host]
		switch {
		case !v.mayQuery(now, e) || !scope.includes(own, e.Zone):
		case includeUnreachable || e.unreachableSince.IsZero():
			reachable.add(rng, n, e)
		default:
			unreachable.add(rng, n, e)
		}
	}
	chosen := append(reachable.kept, unreachable.kept...)
	records := make([]Record, min(n, len(chosen)))
	for i := range records {
		records[i] = chosen[i].Record
	}
	return records
}

// reservoir keeps a uniform random sample of the entries that are added to it (reservoir
// sampling, Vitter 1985).
type reservoir struct {
	kept []*entry
	seen int
}

// add adds an entry to a reservoir that keeps up to size entries.
func (r *reservoir) add(rng *rand.Rand, size int, e *entry) {
	r.seen++
	if len(r.kept) < size {
		r.kept = append(r.kept, e)
		return
	}
	if i := rng.IntN(r.seen); i < size {
		r.kept[i] = e
	}
}

// OneOfEachOtherZone returns a random node of each other zone, among the nodes that may be
// queried now.
func (v *View) OneOfEachOtherZone(now time.Time, rng *rand.Rand) []Record {
	own := v.entries[v.self].Zone
	index := map[string]int{}
	seen := map[string]int{}
	var records []Record
	for _, host := range v.hosts {
		e := v.entries[host]
		if !v.mayQuery(now, e) || e.Zone == own {
			continue
		}
		seen[e.Zone]++
		i, known := index[e.Zone]
		switch {
		case !known:
			index[e.Zone] = len(records)
			records = append(records, e.Record)
		case rng.IntN(seen[e.Zone]) == 0:
			records[i] = e.Record
		}
	}
	return records
}

// ReachableInOwnZone returns the number of nodes of this node's zone that are not known to be
// unreachable, including itself.
func (v *View) ReachableInOwnZone(now time.Time) int {
	own := v.entries[v.self].Zone
	n := 1
	for _, e := range v.entries {
		if v.mayQuery(now, e) && e.Zone == own && e.unreachableSince.IsZero() {
			n++
		}
	}
	return n
}

// Owner returns the node of a zone that owns a name: the one with the highest rendezvous
// hash among the zone's live nodes. Nodes that know the same hosts agree on the owner, whether
// or not they can reach it. Only nodes that this node has not been able to reach for longer
// than unreachableFor are ignored.
func (v *View) Owner(now time.Time, zone, name string, unreachableFor time.Duration) (owner Record, ok bool) {
	var maxWeight uint64
	for host, e := range v.entries {
		if !v.isOwnerCandidate(now, e, zone, unreachableFor) {
			continue
		}
		weight := rendezvous(name, host)
		if !ok || weight > maxWeight || (weight == maxWeight && host < owner.Host) {
			owner, maxWeight, ok = e.Record, weight, true
		}
	}
	return owner, ok
}

// OwnersHash returns a hash of the set of nodes of a zone among which Owner chooses.
func (v *View) OwnersHash(now time.Time, zone string, unreachableFor time.Duration) (sum uint64) {
	for host, e := range v.entries {
		if v.isOwnerCandidate(now, e, zone, unreachableFor) {
			sum += hostHash(host)
		}
	}
	return sum
}

// isOwnerCandidate reports whether a node is one among which Owner chooses.
func (v *View) isOwnerCandidate(now time.Time, e *entry, zone string, unreachableFor time.Duration) bool {
	unreachable := e.Host != v.self && !e.unreachableSince.IsZero() && now.Sub(e.unreachableSince) > unreachableFor
	return e.Zone == zone && e.State == Live && !unreachable
}

// Zones returns the number of hosts of each zone, including unreachable ones.
func (v *View) Zones() map[string]int {
	zones := map[string]int{}
	for _, e := range v.entries {
		if e.State != Gone {
			zones[e.Zone]++
		}
	}
	return zones
}
