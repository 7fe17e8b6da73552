// SPDX-License-Identifier: MIT

package gate

import (
	"time"

	"golang.org/x/time/rate"
)

// A server's speed can change many times a second, and a request usually runs to its end at
// the speed at which it began. For requests that need the speed their entry counted on, the
// gate, which is much closer to its server than the entry, checks the current speed before it
// hands the request over.
const (
	// slownessFreshFor is how long a reported slowness counts as current. Slow periods last
	// some hundred milliseconds, so few of them begin within this time.
	slownessFreshFor = 10 * time.Millisecond
	// checkTimeout bounds the wait for a check; a server usually answers within 1 or 2 ms.
	checkTimeout = 10 * time.Millisecond
	// checkPause is how long no checks are made after one has failed: some servers do not
	// answer at their health path.
	checkPause = 500 * time.Millisecond
	// checkBurst is how many checks may be made in a row without waiting for the rate limit.
	checkBurst = 4
	// reservePerSecond and reserveBurst are a separate budget for probes that must not wait:
	// second ones on a new connection, made when a probe on a kept connection stays unanswered,
	// and those of a server that may just have become cold. When connections become
	// unresponsive, the checks before requests use up the main budget. Without the reserve, an
	// unanswered probe would then block for a second, during which no other probe can find an
	// unresponsive connection.
	reservePerSecond = 2
	reserveBurst     = 2
)

// check is the state of the gate's speed checks, guarded by the gate's lock.
type check struct {
	limiter *rate.Limiter
	// reserve pays for probes that must not wait for the other budgets.
	reserve *rate.Limiter
	// inProgress is closed when the current check ends; nil if there is none.
	inProgress chan struct{}
	// pausedUntil is the end of the pause after a failed check.
	pausedUntil time.Time
}

func newCheck(perSecond float64) check {
	if perSecond <= 0 {
		return check{limiter: rate.NewLimiter(0, 0), reserve: rate.NewLimiter(0, 0)}
	}
	return check{
		limiter: rate.NewLimiter(rate.Limit(perSecond), checkBurst),
		reserve: rate.NewLimiter(reservePerSecond, reserveBurst),
	}
}

// slowerThan reports whether the server is now clearly slower than the slowness in percent
// that the request's entry counted on. It probes the server if its last report is old. A
// server that does not report its slowness does not count as slower.
func (g *Gate) slowerThan(percent int) bool {
	if percent == 0 {
		return false
	}
	g.refreshSlowness()
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(g.slowness) > slownessChangeFactor*float64(percent)
}

// refreshSlowness returns once the server's reported slowness is recent or cannot be had.
// Concurrent jobs share one check.
func (g *Gate) refreshSlowness() {
	g.mu.Lock()
	now := time.Now()
	inProgress := g.check.inProgress
	switch {
	case inProgress != nil:
		g.mu.Unlock()
		<-inProgress
		return
	case now.Sub(g.slownessAsOf) < slownessFreshFor, now.Before(g.check.pausedUntil), !g.check.limiter.AllowN(now, 1):
		g.mu.Unlock()
		return
	}
	inProgress = make(chan struct{})
	g.check.inProgress = inProgress
	row := g.row
	g.mu.Unlock()
	g.Counters.Checks.Add(1)
	_, ok := g.requestReport(row, checkTimeout, g.openKept)
	g.mu.Lock()
	if !ok {
		g.check.pausedUntil = time.Now().Add(checkPause)
	}
	g.check.inProgress = nil
	g.mu.Unlock()
	close(inProgress)
}
