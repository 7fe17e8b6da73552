// SPDX-License-Identifier: MIT

//go:build !race

package spread

import "time"

const (
	// largeFleet is how many nodes the large fleet of the tests of silence has.
	largeFleet = 60
	// startStep and phaseStep are the steps between the moments at which a silence
	// comes, after the start and within a second.
	startStep = 150 * time.Millisecond
	phaseStep = 160 * time.Millisecond
)
