// SPDX-License-Identifier: MIT

package admit

import "time"

// The window over which a Limit judges a server, and its thresholds.
const (
	windowLength = 500 * time.Millisecond
	windowLeast  = 8
	// slowFactor is how much slower than its base a full server answers
	// before the limit is lowered.
	slowFactor = 1.5
	// gainFactor is how much more a window must answer than the last one for
	// the slowness to have been worth it.
	gainFactor = 1.05
	// cutFactor lowers the limit, by at least one.
	cutFactor = 0.9
	// floorShare is the share of the ceiling below which it never goes.
	floorShare = 0.25
	// baseRise lets the base follow a server that became slower for good. A
	// window in which the limit was reached says little about the base, so it
	// rises less then.
	baseRise     = 1.01
	baseRiseFull = 1.001
)

// Limit adapts the number of requests in flight below a ceiling. It is
// lowered while the server is full, answers slower than it can, and does not
// answer more for it; otherwise it rises by one a window.
type Limit struct {
	ceiling int
	// lowered is how far the limit is below the ceiling.
	lowered int

	windowStart time.Time
	sum         time.Duration
	count       int
	full        bool

	base     time.Duration
	lastRate float64
}

// SetCeiling takes the row's slots.
func (l *Limit) SetCeiling(slots int) { l.ceiling = slots }

// Value returns the present limit, at least 1.
func (l *Limit) Value() int {
	floor := max(int(float64(l.ceiling)*floorShare), 1)
	return max(l.ceiling-l.lowered, floor)
}

// Observe takes the server's time for one answer; full says that the limit
// was reached when it came.
func (l *Limit) Observe(now time.Time, took time.Duration, full bool) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	l.sum += took
	l.count++
	l.full = l.full || full
	length := now.Sub(l.windowStart)
	if length < windowLength || l.count < windowLeast {
		return
	}
	l.judge(l.sum/time.Duration(l.count), float64(l.count)/length.Seconds())
	l.windowStart, l.sum, l.count, l.full = now, 0, 0, false
}

func (l *Limit) judge(latency time.Duration, rate float64) {
	rise := baseRise
	if l.full {
		rise = baseRiseFull
	}
	if l.base == 0 || latency < l.base {
		l.base = latency
	} else {
		l.base = time.Duration(float64(l.base) * rise)
	}
	slow := float64(latency) > slowFactor*float64(l.base)
	gained := rate > gainFactor*l.lastRate
	l.lastRate = rate
	if l.full && slow && !gained {
		value := l.Value()
		l.lowered = l.ceiling - min(int(float64(value)*cutFactor), value-1)
		l.lowered = min(l.lowered, l.ceiling-1)
		return
	}
	l.lowered = max(l.lowered-1, 0)
}
