// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// A server's spell: how slow it is, in percent of usual, and how long at most, with up to
// three times as long a pause between two, as on the users' platform.
const (
	spellPercent = 400
	spellMost    = 600 * time.Millisecond
	spellPause   = 3 * spellMost
)

// runSpells makes each server slow for a time again and again.
func (s *site) runSpells(ctx context.Context) {
	var wait sync.WaitGroup
	for _, h := range s.hosts {
		rng := rand.New(rand.NewPCG(s.options.Seed, uint64(5000+h.number)))
		wait.Go(func() {
			for ctx.Err() == nil {
				pause(ctx, time.Duration(rng.Int64N(int64(spellPause))))
				server := h.current()
				server.SetSlowness(spellPercent)
				pause(ctx, time.Duration(rng.Int64N(int64(spellMost))))
				server.SetSlowness(100)
			}
		})
	}
	wait.Wait()
}
