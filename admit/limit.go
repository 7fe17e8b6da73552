// SPDX-License-Identifier: MIT

package admit

import "time"

// A Limit evaluates a server once per window, by these thresholds.
const (
	limitWindow           = 500 * time.Millisecond
	limitWindowMinAnswers = 8
	// slowFactor is how many times its base latency a server at the limit must
	// take for the limit to be lowered.
	slowFactor = 1.5
	// gainFactor is how much the rate of answers must rise from one window to
	// the next to justify the higher latency.
	gainFactor = 1.05
	// cutFactor is applied to the limit to lower it; it falls by at least one.
	cutFactor = 0.9
	// floorShare is the lowest limit as a share of the ceiling.
	floorShare = 0.25
	// baseRise lets the base latency follow a server that became slower
	// permanently. A window in which the limit was reached says little about
	// the base latency, so it rises more slowly then.
	baseRise     = 1.01
	baseRiseFull = 1.001
)

// Limit adapts the number of requests in flight below a ceiling. The limit
// falls if it was reached in a window, the latency was high, and the rate of
// answers did not rise; otherwise it rises by one per window.
type Limit struct {
	ceiling int
	// lowered is how far the limit is below the ceiling.
	lowered int

	windowStart time.Time
	sum         time.Duration
	count       int
	full        bool

	baseLatency time.Duration
	lastRate    float64
}

// SetCeiling sets the highest limit, which is the number of slots configured for the server.
func (l *Limit) SetCeiling(slots int) { l.ceiling = slots }

// Value returns the present limit, at least 1.
func (l *Limit) Value() int {
	floor := max(int(float64(l.ceiling)*floorShare), 1)
	return max(l.ceiling-l.lowered, floor)
}

// Observe records the server's latency for one answer; full means that the
// limit was reached when the answer came.
func (l *Limit) Observe(now time.Time, latency time.Duration, full bool) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	l.sum += latency
	l.count++
	l.full = l.full || full
	length := now.Sub(l.windowStart)
	if length < limitWindow || l.count < limitWindowMinAnswers {
		return
	}
	l.evaluate(l.sum/time.Duration(l.count), float64(l.count)/length.Seconds())
	l.windowStart, l.sum, l.count, l.full = now, 0, 0, false
}

func (l *Limit) evaluate(latency time.Duration, rate float64) {
	rise := baseRise
	if l.full {
		rise = baseRiseFull
	}
	if l.baseLatency == 0 || latency < l.baseLatency {
		l.baseLatency = latency
	} else {
		l.baseLatency = time.Duration(float64(l.baseLatency) * rise)
	}
	slow := float64(latency) > slowFactor*float64(l.baseLatency)
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
