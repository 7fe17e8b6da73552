// SPDX-License-Identifier: MIT

package gate

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/admit"
	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/wire"
)

// A server that lacks capacity may report in its responses how many requests per second it accepts
// in total. The gate is the only way to its server, so it enforces the limit for all entries. A
// gate that has just started learns it from the first response, and before that from the entries,
// which send what they know with their requests.

// rateLimit is what a gate knows of its server's rate limit. The gate's lock guards it.
type rateLimit struct {
	reported admit.ReportedLimit
	// onProbes is set once the response to a probe had a limit. Until then, a probe without one
	// says nothing, since servers may leave it out there.
	onProbes bool
	// respondedAt is when a response of the server was last read.
	respondedAt time.Time
	// invalid is set while the server sends limits that cannot be parsed.
	invalid bool
	// loggedAt is when a change of the limit was last logged.
	loggedAt time.Time
}

// observeServerState takes what the server reports about itself from the response to a job.
func (j *job) observeServerState(r *fasthttp.Response, class responseClass) {
	kind := event.RunResponse
	switch {
	case class == wrongServer:
		return
	case class != forwardable, r.StatusCode() >= fasthttp.StatusInternalServerError:
		kind = event.FailureResponse
	}
	j.gate.observeServerState(j.startedAt, kind, &r.Header)
}

// observeServerState takes the server's rate limit, and whether it is leaving, from the response
// to a request that was sent at sentAt.
func (g *Gate) observeServerState(sentAt time.Time, kind event.ResponseKind, h *fasthttp.ResponseHeader) {
	dialect := &g.settings.Dialect
	if dialect.Leaving != "" {
		g.updateLeaving(kind, header.IsLeaving(h.Peek(dialect.Leaving)))
	}
	if dialect.RateLimit != "" && g.updateRateLimit(sentAt, kind, h.PeekAll(dialect.RateLimit)) && g.settings.OnUpdate != nil {
		g.settings.OnUpdate()
	}
}

// updateRateLimit takes the server's rate limit from the values of its fields in a response, and
// reports whether it has changed.
func (g *Gate) updateRateLimit(sentAt time.Time, kind event.ResponseKind, values [][]byte) (changed bool) {
	perSecond, reported, valid := header.ParseRateLimit(values...)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	l := &g.rateLimit
	l.respondedAt = now
	if !valid {
		g.Counters.BadRateLimits.Add(1)
		if !l.invalid {
			g.logRateLimit(now, kind, invalidRateLimit(values))
		}
	}
	l.invalid = !valid
	if !valid && !reported {
		return false // What was reported before holds.
	}
	probeHadLimit := kind == event.ProbeResponse && reported && !l.onProbes
	l.onProbes = l.onProbes || probeHadLimit
	_, wasLimited := l.reported.PerSecond()
	// Servers may leave the limit out of failures.
	mayLift := kind == event.RunResponse || kind == event.ProbeResponse && l.onProbes
	changed = l.reported.Observe(now, sentAt, perSecond, reported, mayLift)
	if !changed && !probeHadLimit {
		return false
	}
	limited := g.enforceRateLimit(now)
	if limited && !wasLimited {
		g.Counters.RateLimits.Add(1)
	}
	if limited != wasLimited || now.Sub(l.loggedAt) >= rateLimitLogInterval {
		g.logRateLimit(now, kind, "")
	}
	return changed
}

// enforceRateLimit puts the present rate limit in force, and reports whether there is one. It is
// called with the lock held.
func (g *Gate) enforceRateLimit(now time.Time) (limited bool) {
	perSecond, limited := g.rateLimit.reported.PerSecond()
	var rate admit.Rate
	if limited {
		rate = admit.ReportedRate(perSecond, !g.rateLimit.onProbes)
	}
	g.queue.SetReportedRate(now, rate)
	g.advance(now)
	return limited
}

// assumeRateLimit takes over the rate limit that the entry of a job knows, unless the gate has
// read a response of its server. It is called with the lock held.
func (g *Gate) assumeRateLimit(now time.Time, j *job) {
	requirements := j.stream.Request.Requirements
	if requirements == nil {
		return
	}
	perSecond, limited := requirements.RateLimit.PerSecond()
	if limited && g.rateLimit.reported.Assume(now, perSecond) {
		g.enforceRateLimit(now)
		g.logRateLimit(now, "", "")
	}
}

// rateLimitProbeInterval is how often the server is probed for a change of its rate limit while
// it sends no other response.
const rateLimitProbeInterval = 500 * time.Millisecond

// needsRateLimitProbe reports whether a probe should find out whether the server still limits its
// rate. It is called with the lock held.
func (g *Gate) needsRateLimitProbe(now time.Time) bool {
	_, limited := g.rateLimit.reported.PerSecond()
	return limited && g.drain == 0 && now.Sub(g.rateLimit.respondedAt) >= rateLimitProbeInterval
}

// rateLimitLogInterval is the shortest time between two log lines about changes of a limit.
const rateLimitLogInterval = time.Second

// logRateLimit logs the present rate limit. It is called with the lock held.
func (g *Gate) logRateLimit(now time.Time, kind event.ResponseKind, invalid string) {
	g.rateLimit.loggedAt = now
	perSecond, limited := g.rateLimit.reported.PerSecond()
	g.settings.Recorder.Record(&event.ServerRateLimit{
		Service: g.row.Service, Server: g.name, Limited: limited, PerSecond: perSecond, Response: kind, Invalid: invalid,
	})
}

// maxLoggedValue is how many bytes of an invalid value are logged.
const maxLoggedValue = 64

// invalidRateLimit returns the first invalid one of the values, for the log.
func invalidRateLimit(values [][]byte) string {
	for _, value := range values {
		if _, _, ok := header.ParseRateLimit(value); !ok {
			return string(value[:min(len(value), maxLoggedValue)])
		}
	}
	return ""
}

// RateLimit returns the limit on the rate of requests that the server reports, in requests per
// second; limited is false if it reports none.
func (g *Gate) RateLimit() (perSecond float64, limited bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rateLimit.reported.PerSecond()
}

// wireRateLimit is the server's rate limit for the entries. It is called with the lock held.
func (g *Gate) wireRateLimit() wire.RateLimit {
	perSecond, limited := g.rateLimit.reported.PerSecond()
	switch {
	case limited:
		return wire.NewRateLimit(perSecond)
	case g.rateLimit.reported.Known():
		return wire.NoRateLimit
	}
	return wire.UnknownRateLimit
}
