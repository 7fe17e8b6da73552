// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ryehaven/ryehaven/platform/emulator"
)

// invalidAnnounceInterval is the time between two invalid announcements.
const invalidAnnounceInterval = 200 * time.Millisecond

// runInvalidAnnouncements sends nodes invalid announcements, as another program might that
// writes to the same address.
func (s *site) runInvalidAnnouncements(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.options.Seed, 3))
	bodies := emulator.InvalidAnnouncements()
	for ctx.Err() == nil {
		h := s.hosts[rng.IntN(len(s.hosts))]
		emulator.AnnounceRaw(h.address(controlPort), h.currentServer().ID, bodies[rng.IntN(len(bodies))])
		pause(ctx, invalidAnnounceInterval)
	}
}
