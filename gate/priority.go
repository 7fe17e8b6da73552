// SPDX-License-Identifier: MIT

package gate

import (
	"time"

	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/wire"
)

// callWait is the time that calls wait at the gate, as reported to the entries. Each change is
// sent to all entries, so the value changes in steps and not often.
type callWait struct {
	millis int64
	at     time.Time
}

const (
	// minCallWaitMillis is the first step; each following one doubles.
	minCallWaitMillis = 10
	// maxCallWaitMillis is the last step.
	maxCallWaitMillis = 640
	// callWaitInterval is the shortest time between two changes.
	callWaitInterval = 250 * time.Millisecond
	// callWaitFallFactor is the share of the current step below which the wait must have
	// fallen before a lower step is reported.
	callWaitFallFactor = 0.7
)

// update takes the time that calls wait now.
func (c *callWait) update(now time.Time, wait time.Duration) {
	if now.Sub(c.at) < callWaitInterval {
		return
	}
	millis := float64(wait) / float64(time.Millisecond)
	step := int64(0)
	for next := int64(minCallWaitMillis); next <= maxCallWaitMillis && float64(next) <= millis; next *= 2 {
		step = next
	}
	if step == c.millis || (step < c.millis && millis >= callWaitFallFactor*float64(c.millis)) {
		return
	}
	c.millis, c.at = step, now
}

// addPriorityLimits adds the admitted priority levels and the wait of calls to an update for
// the entries. It is called with the lock held.
func (g *Gate) addPriorityLimits(now time.Time, headroom *wire.Headroom) {
	if !g.settings.ByAim {
		return
	}
	headroom.AdmittedPriorities = int64(g.queue.AdmittedPriorities(now))
	g.callWait.update(now, g.queue.CallWait(now))
	headroom.CallWaitMillis = g.callWait.millis
}

// PriorityLimits returns how many slots are reserved for calls and how many priority levels
// are refused now.
func (g *Gate) PriorityLimits(now time.Time) (reserved, refused int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.ReservedForCalls(now), table.Priorities - g.queue.AdmittedPriorities(now)
}
