// SPDX-License-Identifier: MIT

package balance

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// How many servers of a service an entry works with. The number of connections and of
// reports from gates grows with these and not with the size of the service.
const (
	subsetSameZone   = 10
	subsetOtherZones = 6
)

// Subset marks as spares the servers of one service that an entry need not work with. It
// selects a number of servers in the entry's own zone, as reported by sameZone, and a smaller
// number of the others. Each entry selects its servers by rendezvous hashing (Thaler and
// Ravishankar 1998), so that every server is selected by about as many entries, and a server
// that joins or leaves changes few selections.
func Subset(entry string, specs []Spec, sameZone func(s *Spec) bool) {
	order := make([]int, len(specs))
	weights := make([]uint64, len(specs))
	for i := range specs {
		order[i] = i
		weights[i] = xxhash.Sum64String(entry + "\x00" + specs[i].Name)
	}
	sort.Slice(order, func(a, b int) bool { return weights[order[a]] > weights[order[b]] })
	sameZoneLeft, otherZonesLeft := subsetSameZone, subsetOtherZones
	for _, i := range order {
		s := &specs[i]
		left := &otherZonesLeft
		if sameZone(s) {
			left = &sameZoneLeft
		}
		s.Spare = *left == 0
		if !s.Spare && !s.Leaving {
			*left--
		}
	}
}
