// SPDX-License-Identifier: MIT

package member

import (
	"cmp"
	"slices"
)

// Each node is monitored by other nodes. A node that restarts while the platform's store is
// unavailable does not know any other node, so others have to find it. Queries to random
// nodes would find it after an unpredictable time. The nodes of each zone form a ring by the
// hash of their names, and each node is monitored by those that follow it on the ring. A node
// also takes over the monitoring from nodes before it that it cannot reach, so that every
// node has a monitor as long as any node is alive.

// monitorsInZone is the number of nodes of a node's own zone that monitor it. One of them may
// fail together with it.
const monitorsInZone = 2

// ringPurpose is the rendezvous purpose that orders the nodes of a zone on the ring.
const ringPurpose = "ring"

// Monitored returns the nodes that this node monitors: those before it on its zone's ring, up
// to the second reachable one, and those of the preceding zone whose positions are between
// this node and the first reachable one. If no node of the preceding zone is reachable, the
// zone before that one is monitored too, and so on.
func (v *View) Monitored() []Record {
	self := v.entries[v.self]
	inOwnZone, distance := v.monitoredInOwnZone(self)
	monitored := inOwnZone
	for _, zone := range v.zonesBefore(self.Zone) {
		inZone, unreachable := v.monitoredInZone(self, zone, distance)
		monitored = append(monitored, inZone...)
		if !unreachable {
			break
		}
	}
	return monitored
}

// monitoredInOwnZone returns the monitored nodes of this node's zone, and the distance back on
// the ring to the first reachable one.
func (v *View) monitoredInOwnZone(self *entry) (monitored []Record, distance uint64) {
	distance = ^uint64(0)
	reachable := 0
	for _, e := range v.ownZoneBefore(self) {
		monitored = append(monitored, e.Record)
		if !e.unreachableSince.IsZero() {
			continue
		}
		if reachable++; reachable == 1 {
			distance = self.distanceBackTo(e)
		}
		if reachable == monitorsInZone {
			break
		}
	}
	return monitored, distance
}

// ownZoneBefore returns the other nodes of this node's zone, ordered by their distance back on
// the ring.
func (v *View) ownZoneBefore(self *entry) []*entry {
	var nodes []*entry
	for host, e := range v.entries {
		if host != v.self && e.State != Gone && e.Zone == self.Zone {
			nodes = append(nodes, e)
		}
	}
	slices.SortFunc(nodes, func(a, b *entry) int { return cmp.Compare(self.distanceBackTo(a), self.distanceBackTo(b)) })
	return nodes
}

// monitoredInZone returns the nodes of another zone within some distance back on the ring, and
// whether all nodes of that zone are unreachable.
func (v *View) monitoredInZone(self *entry, zone string, distance uint64) (monitored []Record, unreachable bool) {
	unreachable = true
	for _, host := range v.hosts {
		e := v.entries[host]
		if e.Zone != zone || e.State == Gone {
			continue
		}
		unreachable = unreachable && !e.unreachableSince.IsZero()
		if self.distanceBackTo(e) < distance {
			monitored = append(monitored, e.Record)
		}
	}
	return monitored, unreachable
}

// zonesBefore returns the other zones, ordered by name backward from a zone and wrapping
// around.
func (v *View) zonesBefore(zone string) []string {
	var zones []string
	for _, e := range v.entries {
		if e.State != Gone && e.Zone != zone && !slices.Contains(zones, e.Zone) {
			zones = append(zones, e.Zone)
		}
	}
	slices.Sort(zones)
	at, _ := slices.BinarySearch(zones, zone)
	before := slices.Concat(zones[at:], zones[:at])
	slices.Reverse(before)
	return before
}

// distanceBackTo returns how far back on the ring the position of another node is.
func (e *entry) distanceBackTo(other *entry) uint64 { return e.ringPosition - other.ringPosition }

// IsUnreachable reports whether the last attempt to reach a node failed.
func (v *View) IsUnreachable(host string) bool {
	e := v.entries[host]
	return e != nil && !e.unreachableSince.IsZero()
}
