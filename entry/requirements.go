// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/ryehaven/ryehaven/wire"
)

// requirements is what the gate of an attempt must know to schedule the request; nil when no
// route says when the answer is due and the server has no rate limit.
func (r *request) requirements(now time.Time, a *attempt) *wire.Requirements {
	if r.stats == nil {
		if a.rateLimit == wire.UnknownRateLimit {
			return nil
		}
		return &wire.Requirements{RateLimit: a.rateLimit}
	}
	requirements := &wire.Requirements{
		AimMillis:           r.aim.Sub(now).Milliseconds(),
		WorkMillis:          r.stats.demand(now, r.aim).Work.Milliseconds(),
		AgeMillis:           r.age.Milliseconds(),
		LowerQuartileMillis: r.stats.fastQuartile().Milliseconds(),
		RateLimit:           a.rateLimit,
	}
	if requirements.AimMillis == 0 {
		requirements.AimMillis = -1 // The answer is due now; 0 would mean that it never is.
	}
	return requirements
}

// HandleHeadroom processes what the gate at a node's address reports about the headroom
// of its server.
func (e *Entry) HandleHeadroom(address string, headroom *wire.Headroom) {
	now := time.Now()
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, s := range e.services {
		s.mu.Lock()
		s.pool.UpdateHeadroom(now, address, *headroom)
		s.mu.Unlock()
	}
}
