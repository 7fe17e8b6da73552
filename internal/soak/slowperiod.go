// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Servers are slow for short periods, as on the users' platform: slowPeriodPercent is the
// service time in percent of the usual one, maxSlowPeriod the maximum length of a slow
// period, and maxSlowPeriodPause the maximum pause between two.
const (
	slowPeriodPercent  = 400
	maxSlowPeriod      = 600 * time.Millisecond
	maxSlowPeriodPause = 3 * maxSlowPeriod
)

// runSlowPeriods makes each server slow again and again until ctx ends.
func (s *site) runSlowPeriods(ctx context.Context) {
	var wait sync.WaitGroup
	for _, h := range s.hosts {
		rng := rand.New(rand.NewPCG(s.options.Seed, uint64(5000+h.number)))
		wait.Go(func() {
			for ctx.Err() == nil {
				pause(ctx, time.Duration(rng.Int64N(int64(maxSlowPeriodPause))))
				server := h.currentServer()
				server.SetSlowness(slowPeriodPercent)
				pause(ctx, time.Duration(rng.Int64N(int64(maxSlowPeriod))))
				server.SetSlowness(100)
			}
		})
	}
	wait.Wait()
}
