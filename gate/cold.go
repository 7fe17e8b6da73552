// SPDX-License-Identifier: MIT

package gate

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/header"
)

// A cold server, one that has just started, can serve only a few requests a second in total,
// and collapses if it gets many more. The gate enforces this rate, since all requests to the
// server go through it. It cannot know by itself whether the server has become cold again, for
// example by a restart that nobody noticed. So it treats the server as cold until the server
// reports otherwise: after the gate's own start, after the server could not be reached or
// broke off a response, and after a drain.
//
// Without the limit, cold servers collapse: on a day on which all of 69 hosts lost power once,
// 0.824 of all requests were served, and 0.935 with it (one day each).

// coldState is what a gate knows of its server's cold time. The gate's lock guards it.
type coldState struct {
	// until is when the cold time ends according to the server.
	until time.Time
	// announcedUntil is the end given in the server's last announcement. The same announcement
	// is delivered again whenever anything else changes.
	announcedUntil time.Time
	// assumedUntil is until when the server is assumed to be cold although it has not reported that.
	assumedUntil time.Time
	// assumedAt is when that was last assumed.
	assumedAt time.Time
	// needsProbe is set when the server has become slower, or has been slow since the last
	// probe: a cold start may be the cause.
	needsProbe bool
	// probedAt is when the server last answered a probe.
	probedAt time.Time
	// probing is set while a second probe queries the cold time because another probe is late.
	probing bool
	// wait is what happened since needsProbe was set.
	wait probeWait
}

// probeWait counts what happens while the gate waits for its server's cold time.
type probeWait struct {
	since time.Time
	// sent counts requests that were handed over meanwhile. blocked counts the times that no
	// probe was sent because another was still unanswered, and overBudget the times that no
	// probe was sent because the budget was spent.
	sent, blocked, overBudget int
}

// requireProbe records that the server must be probed to find out whether it is cold.
func (c *coldState) requireProbe(now time.Time) {
	if !c.needsProbe {
		c.wait = probeWait{since: now}
	}
	c.needsProbe = true
}

// event returns the log event for a server that turned out to be cold while it counted as
// warm.
func (c *coldState) event(now time.Time, service, server string) *event.ServerCold {
	e := &event.ServerCold{Service: service, Server: server, Remaining: c.until.Sub(now)}
	if c.needsProbe {
		e.ProbeNeededFor, e.Sent, e.SkippedPending, e.SkippedOverBudget = now.Sub(c.wait.since), c.wait.sent, c.wait.blocked, c.wait.overBudget
	}
	return e
}

// slowRecheckInterval is how often a slow server is probed although its responses report its
// slowness: they do not tell a cold server from one that is slow for another reason.
const slowRecheckInterval = 50 * time.Millisecond

// mayHaveTurnedCold reports whether a slow server may have become cold since the last probe.
func (c *coldState) mayHaveTurnedCold(now time.Time, slowness int) bool {
	return slowness >= slowPercent && now.Sub(c.probedAt) >= slowRecheckInterval && now.After(c.end())
}

// coldProbeTimeout bounds a probe for the cold time; a server usually answers within 1 or 2
// ms.
const coldProbeTimeout = 100 * time.Millisecond

// end is the time from which on the server counts as warm.
func (c *coldState) end() time.Time {
	if c.assumedUntil.After(c.until) {
		return c.assumedUntil
	}
	return c.until
}

// ColdAnnounced handles a server's announcement that it is cold until a time. An announcement
// may arrive late and be outdated, so it only extends the cold time. Only the answer to a
// probe shortens it.
func (g *Gate) ColdAnnounced(coldUntil time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if coldUntil.Equal(g.cold.announcedUntil) {
		return
	}
	g.cold.announcedUntil = coldUntil
	if coldUntil.After(g.cold.until) {
		g.cold.until = coldUntil
		g.queue.SetCold(g.cold.end())
	}
}

// AssumeCold records that the server may have become cold without reporting it. It counts as
// cold until it has answered a probe, or for the cold time given in its row.
func (g *Gate) AssumeCold(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.assumeCold(now)
}

// assumeCold is AssumeCold with the lock held.
func (g *Gate) assumeCold(now time.Time) {
	if g.row.ColdPerSecond > 0 {
		g.cold.assumedAt = now
		g.cold.assumedUntil = now.Add(g.row.ColdTime)
		g.queue.SetCold(g.cold.end())
	}
}

// updateCold takes the server's cold time from the answer to a probe that was sent at sentAt.
func (g *Gate) updateCold(sentAt time.Time, answer *fasthttp.ResponseHeader) {
	field := g.settings.Dialect.Cold
	if field == "" {
		return
	}
	left, ok := header.ParseCold(string(answer.Peek(field)))
	if !ok {
		g.Counters.BadReports.Add(1)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	wasCold := now.Before(g.cold.end())
	g.cold.until = now.Add(left)
	if left > 0 && !wasCold {
		g.settings.Recorder.Record(g.cold.event(now, g.row.Service, g.name))
	}
	g.cold.needsProbe, g.cold.probedAt = false, now
	if !g.cold.assumedAt.After(sentAt) {
		g.cold.assumedUntil = time.Time{}
	}
	g.queue.SetCold(g.cold.end())
}

// needsColdProbe reports whether the server must be probed to find out whether it is cold.
// It is called with the lock held.
func (g *Gate) needsColdProbe(now time.Time) bool {
	return g.row.ColdPerSecond > 0 && (g.cold.needsProbe || now.Before(g.cold.assumedUntil))
}
