// SPDX-License-Identifier: MIT

package calls

import (
	"math"
	"sync"
	"time"
)

// Outcomes tracks how recent calls of the backend server of a node ended. The zero value has seen
// none. It is safe for concurrent use.
type Outcomes struct {
	mu     sync.Mutex
	routes map[Route]*outcome
}

// outcome counts the calls to one route, with exponential decay.
type outcome struct {
	decayedAt         time.Time
	answered, refused float64
	totalSeconds      float64
	retryAfter        time.Duration
}

const (
	// outcomesDecayTime is the time in which the counts decay to 1/e.
	outcomesDecayTime = 500 * time.Millisecond
	// outcomesPrior is how many answered calls each route is assumed to have had.
	outcomesPrior = 2
)

func (o *outcome) decay(now time.Time) {
	if dt := now.Sub(o.decayedAt); dt > 0 {
		part := math.Exp(-float64(dt) / float64(outcomesDecayTime))
		o.answered *= part
		o.refused *= part
		o.totalSeconds *= part
		o.decayedAt = now
	}
}

// Answered records a call that was answered.
func (c *Outcomes) Answered(now time.Time, call Route, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.outcomeOf(now, call)
	o.answered++
	o.totalSeconds += took.Seconds()
}

// Refused records a call that was refused for lack of capacity or time; retryAfter is when
// capacity may be free, 0 if that is not known.
func (c *Outcomes) Refused(now time.Time, call Route, retryAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.outcomeOf(now, call)
	o.refused++
	o.retryAfter = max(retryAfter, 0)
}

func (c *Outcomes) outcomeOf(now time.Time, call Route) *outcome {
	o := c.routes[call]
	if o == nil {
		if c.routes == nil || len(c.routes) >= maxTrackedRoutes {
			c.routes = map[Route]*outcome{}
		}
		o = &outcome{decayedAt: now}
		c.routes[call] = o
	}
	o.decay(now)
	return o
}

// Recent returns the share of recent calls to a route that were refused, the mean duration of the
// others, and the retry delay of the last refused call. It returns zeros if there were no calls.
func (c *Outcomes) Recent(now time.Time, call Route) (refused float64, took, retryAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.routes[call]
	if o == nil {
		return 0, 0, 0
	}
	o.decay(now)
	refused = o.refused / (o.answered + o.refused + outcomesPrior)
	if o.answered > 0.1 {
		took = time.Duration(o.totalSeconds / o.answered * float64(time.Second))
	}
	return refused, took, o.retryAfter
}
