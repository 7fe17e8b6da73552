// SPDX-License-Identifier: MIT

package soak

import "time"

// Regression is a run that broke a promise once.
type Regression struct {
	Seed   uint64
	Hosts  int
	Length time.Duration
	// Cause is what was wrong, and was mended.
	Cause string
}

// Regressions returns every run that ever failed, oldest first.
func Regressions() []Regression {
	return []Regression{
		{Seed: 3, Hosts: 5, Length: 10 * time.Second, Cause: "the emulated server kept the body of the request before on the same connection, so that requests seemed to bring bodies that nobody had sent"},
	}
}
