// SPDX-License-Identifier: MIT

package gate

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/wire"
)

// assumedColdSlowness is the slowness of a cold server, in percent of its usual time, until it
// has reported one. A reported slowness includes the effect of the cold start.
const assumedColdSlowness = 200

// slownessNow returns the server's slowness in percent; 0 if not known. It is called with the
// lock held.
func (g *Gate) slownessNow(now time.Time) int {
	if g.slowness == 0 && now.Before(g.cold.until) {
		return assumedColdSlowness
	}
	return g.slowness
}

// lockedSlowness takes the lock and returns slownessNow, for the log of a request.
func (g *Gate) lockedSlowness(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slownessNow(now)
}

// updateSlownessAndProbe takes the server's slowness from the response to a request. If the
// server may have become cold, it is probed at once to find out: until then, each request may
// be one too many.
func (g *Gate) updateSlownessAndProbe(answer *fasthttp.ResponseHeader) {
	if g.updateSlowness(answer) {
		g.Probe(time.Now(), coldProbeTimeout)
	}
}

// updateSlowness takes the server's slowness from a response, and reports whether the server
// has become slower or may have become cold while it was slow.
func (g *Gate) updateSlowness(answer *fasthttp.ResponseHeader) (mayBeCold bool) {
	if g.settings.Dialect.Load == "" {
		return false
	}
	load, ok := header.ParseLoad(string(answer.Peek(g.settings.Dialect.Load)))
	if !ok || load.Slowness == 0 {
		return false
	}
	now := time.Now()
	g.mu.Lock()
	slower := float64(load.Slowness) > slownessChangeFactor*float64(g.slowness)
	mayBeCold = slower || g.row.ColdPerSecond > 0 && g.cold.mayHaveTurnedCold(now, load.Slowness)
	if mayBeCold {
		g.cold.requireProbe(now)
	}
	g.slowness = load.Slowness
	g.slownessAsOf = now
	changed := g.slownessChanged(g.slownessAsOf)
	g.mu.Unlock()
	if changed && g.settings.OnUpdate != nil {
		g.settings.OnUpdate()
	}
	return mayBeCold
}

// slownessChangeFactor is by how much the slowness must have changed to notify the entries.
const slownessChangeFactor = 1.3

// slownessChanged reports whether entries must be notified of the server's slowness. It is
// called with the lock held.
func (g *Gate) slownessChanged(now time.Time) bool {
	slowness, notified := float64(g.slownessNow(now)), float64(g.notifiedSlowness)
	return slowness != notified && (slowness > slownessChangeFactor*notified || slownessChangeFactor*slowness < notified)
}

// SlownessUpdate returns the server's slowness, for the entries; ok is false when it has not
// changed much since the last update.
func (g *Gate) SlownessUpdate(now time.Time) (m *wire.Slowness, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.slownessChanged(now) {
		return nil, false
	}
	g.notifiedSlowness = g.slownessNow(now)
	return &wire.Slowness{Percent: g.notifiedSlowness}, true
}
