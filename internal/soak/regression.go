// SPDX-License-Identifier: MIT

package soak

import "time"

// Regression is a run that broke a promise once. It keeps its steps, since a seed draws
// others once there are more kinds of step.
type Regression struct {
	Seed   uint64
	Hosts  int
	Length time.Duration
	// Steps are those of the run; nil for those that the seed draws.
	Steps []Step
	// Cause is what was wrong, and was mended.
	Cause string
}

// Regressions returns every run that ever failed, oldest first.
func Regressions() []Regression {
	const ms = time.Millisecond
	return []Regression{
		{
			Seed: 3, Hosts: 5, Length: 10 * time.Second,
			Steps: []Step{
				{At: 1169 * ms, For: 2568 * ms, Kind: Pause, Hosts: []int{0}},
				{At: 1592 * ms, For: 1516 * ms, Kind: Pause, Hosts: []int{3}},
				{At: 1600 * ms, For: 2379 * ms, Kind: Change},
				{At: 4566 * ms, For: 1337 * ms, Kind: Kill, Hosts: []int{1}},
				{At: 6664 * ms, For: 1975 * ms, Kind: Kill, Hosts: []int{1}},
				{At: 7969 * ms, For: 1699 * ms, Kind: KillAll},
				{At: 8147 * ms, For: 996 * ms, Kind: Storm},
				{At: 9582 * ms, For: 2483 * ms, Kind: OneWay, Hosts: []int{0}},
			},
			Cause: "the emulated server kept the body of the request before on the same connection, so that requests seemed to bring bodies that nobody had sent",
		},
	}
}
