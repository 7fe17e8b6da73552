// SPDX-License-Identifier: MIT

package soak

import (
	"time"

	"github.com/ryehaven/ryehaven/internal/faultproxy"
)

// Regression is a run that once broke a promise. It includes its steps, since a seed draws
// different steps after the kinds of steps have changed.
type Regression struct {
	Seed   uint64
	Hosts  int
	Length time.Duration
	// Steps holds the steps of the run; nil means those that the seed draws.
	Steps []Step
	// Tenants is set if the configuration had tenants.
	Tenants bool
	// ServedFirst and ServedRepeatable raise the minimum shares of the bounds; 0 leaves them.
	ServedFirst, ServedRepeatable float64
	// Cause describes the fault, which has been fixed since.
	Cause string
}

// Regressions returns all runs that ever failed, oldest first.
func Regressions() []Regression {
	const ms = time.Millisecond
	return []Regression{
		{
			Seed: 3, Hosts: 5, Length: 10 * time.Second,
			Steps: []Step{
				{At: 1169 * ms, For: 2568 * ms, Kind: Pause, Hosts: []int{0}},
				{At: 1592 * ms, For: 1516 * ms, Kind: Pause, Hosts: []int{3}},
				{At: 1600 * ms, For: 2379 * ms, Kind: ConfigChange},
				{At: 4566 * ms, For: 1337 * ms, Kind: Kill, Hosts: []int{1}},
				{At: 6664 * ms, For: 1975 * ms, Kind: Kill, Hosts: []int{1}},
				{At: 7969 * ms, For: 1699 * ms, Kind: KillAll},
				{At: 8147 * ms, For: 996 * ms, Kind: ConfigBurst},
				{At: 9582 * ms, For: 2483 * ms, Kind: PeerStallOneWay, Hosts: []int{0}},
			},
			Cause: "the emulated server kept the body of the previous request on the same connection, so that requests seemed to have bodies that no caller had sent",
		},
		{
			Seed: 4, Hosts: 8, Length: 8 * time.Second,
			Steps: []Step{
				{At: 1078 * ms, For: 1916 * ms, Kind: StallAllConnections, Links: []Link{ToPeers, ToStore, ToServers}, Direction: faultproxy.BothDirections},
				{At: 1297 * ms, For: 6000 * ms, Kind: Evacuate, Hosts: []int{0}},
				{At: 3473 * ms, For: 512 * ms, Kind: Reload, Hosts: []int{7, 0}},
				{At: 5739 * ms, For: 321 * ms, Kind: Reload, Hosts: []int{2}},
				{At: 6002 * ms, For: 2876 * ms, Kind: StallAllConnections, Links: []Link{ToServers}, Direction: faultproxy.BothDirections},
				{At: 6018 * ms, For: 1824 * ms, Kind: StallConnections, Hosts: []int{3, 1}, Links: []Link{ToPeers, ToStore, ToServers}, Direction: faultproxy.Backward},
				{At: 7658 * ms, For: 1777 * ms, Kind: ConfigChange},
				{At: 7813 * ms, For: 2224 * ms, Kind: Reload, Hosts: []int{0, 6}},
			},
			ServedFirst: 0.5, ServedRepeatable: 0.85, // Without the fault at least 54% and 90% are served.
			Cause: "watches of the store hung on stalled connections and were not renewed: nodes did not learn of versions and evacuations for more than 15 s",
		},
		{
			Seed: 24, Hosts: 4, Length: 8 * time.Second,
			Steps: []Step{
				{At: 550 * ms, For: 204 * ms, Kind: ConfigChange},
				{At: 2931 * ms, For: 1833 * ms, Kind: Reload, Hosts: []int{3}},
				{At: 2970 * ms, For: 1633 * ms, Kind: ConfigBurst},
				{At: 3168 * ms, For: 1262 * ms, Kind: StallAllConnections, Links: []Link{ToPeers}, Direction: faultproxy.BothDirections, Twice: true},
				{At: 4614 * ms, For: 4000 * ms, Kind: ServerReplace, Hosts: []int{0}},
				{At: 4973 * ms, For: 2579 * ms, Kind: ConfigChange},
				{At: 5291 * ms, For: 1313 * ms, Kind: ConfigChange},
			},
			ServedFirst: 0.9, ServedRepeatable: 0.95, // Without the fault at least 93% and 98% are served.
			Cause: "requests on stalled connections between nodes were lost until the nodes had new connections: 7 to 20% of those sent in the 1.3 s between two stalls were served",
		},
		{
			Seed: 9005, Hosts: 9, Length: 7 * time.Second, Tenants: true,
			Steps: []Step{
				{At: 1380 * ms, For: 870 * ms, Kind: ConfigBurst},
				{At: 1380 * ms, For: 2450 * ms, Kind: ConfigBurst},
				{At: 1900 * ms, For: 1680 * ms, Kind: StallAllConnections, Links: allLinks, Direction: faultproxy.BothDirections, Twice: true},
				{At: 3570 * ms, For: 6000 * ms, Kind: Evacuate, Hosts: []int{1}},
				{At: 4270 * ms, For: 250 * ms, Kind: Reload, Hosts: []int{1, 7}},
				{At: 4770 * ms, For: 2600 * ms, Kind: ConfigChange},
			},
			Cause: "each node replaced the owner of a quota when it could not reach it: 320 requests of a tenant were served in 5 s where 284 are allowed",
		},
	}
}
