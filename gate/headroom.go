// SPDX-License-Identifier: MIT

package gate

import (
	"time"

	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/wire"
)

// HeadroomUpdate returns what the server can still take, for the entries; ok is false when
// nothing that matters to them has changed since the last update.
func (g *Gate) HeadroomUpdate(now time.Time) (m *wire.Headroom, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	headroom := g.headroom(now)
	if !headroomChanged(g.notifiedHeadroom.After(now.Sub(g.notifiedHeadroomAt)), headroom, now.Sub(g.notifiedHeadroomAt)) {
		return nil, false
	}
	g.notifiedHeadroom, g.notifiedHeadroomAt = headroom, now
	return &headroom, true
}

// headroom returns the present headroom. It is called with the lock held.
func (g *Gate) headroom(now time.Time) wire.Headroom {
	headroom := wire.Headroom{AdmittedPriorities: int64(table.Priorities)}
	g.addRate(now, &headroom)
	g.addPriorityLimits(now, &headroom)
	return headroom
}

// aim returns the time at which the response is due by its latency objective (aim); zero if
// its entry did not say.
func (j *job) aim() time.Time {
	requirements := j.stream.Request.Requirements
	if requirements == nil || requirements.AimMillis == 0 {
		return time.Time{}
	}
	aim := j.stream.Received.Add(time.Duration(clampMillis(requirements.AimMillis)) * time.Millisecond)
	if aim.After(j.stream.Deadline) {
		return j.stream.Deadline // Nobody waits for it after its deadline.
	}
	return aim
}

// work returns how long the job usually takes at a server of usual speed; 0 if not known.
func (j *job) work() time.Duration {
	if requirements := j.stream.Request.Requirements; requirements != nil {
		return time.Duration(max(clampMillis(requirements.WorkMillis), 0)) * time.Millisecond
	}
	return 0
}

// workP25 returns the time within which a quarter of such requests end at a server of usual
// speed; 0 if not known.
func (j *job) workP25() time.Duration {
	if requirements := j.stream.Request.Requirements; requirements != nil {
		return time.Duration(max(clampMillis(requirements.LowerQuartileMillis), 0)) * time.Millisecond
	}
	return 0
}

// dayMillis bounds the times of a wire.Requirements in both directions: an entry of another
// build may send any number, and a number beyond a bound counts as the bound.
const dayMillis = 24 * 60 * 60 * 1000

func clampMillis(millis int64) int64 { return min(max(millis, -dayMillis), dayMillis) }

// slowdown returns how many times longer than usual work now takes at the server, by its own
// report. It is called with the lock held.
func (g *Gate) slowdown(now time.Time) float64 { return float64(g.slownessNow(now)) / 100 }
