// SPDX-License-Identifier: MIT

package gate

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/header"
)

// rateLimit is the limit on the rate of requests that the server reports in its responses. It
// holds for as long as they report it. The gate's lock guards it. The zero value has no limit.
type rateLimit struct {
	// perSecond is the limit if limited is set.
	perSecond float64
	limited   bool
	// asOf is when the response was read that set the state.
	asOf time.Time
	// onProbes is set once the response to a probe had the limit. Until then, a probe without it
	// says nothing.
	onProbes bool
	// invalid is set while the server sends limits that cannot be parsed.
	invalid bool
	// loggedAt is when a change of the limit was last logged.
	loggedAt time.Time
}

// observe updates the state from a response, and reports whether that changed. Responses may be
// read in another order than they were sent, so a response to a request that was sent before the
// present state was known can only lower the limit. Rejections do not lift it, since a server may
// leave the field out of them.
func (l *rateLimit) observe(now, sentAt time.Time, kind event.ResponseKind, perSecond float64, reported bool) (changed bool) {
	isNewer := sentAt.After(l.asOf)
	before, wasLimited := l.perSecond, l.limited
	switch {
	case reported:
		l.onProbes = l.onProbes || kind == event.ProbeResponse
		if !isNewer && l.limited && perSecond >= l.perSecond {
			return false
		}
		l.perSecond, l.limited, l.asOf = perSecond, true, now
	case !l.limited, !isNewer, kind == event.RejectionResponse, kind == event.ProbeResponse && !l.onProbes:
		return false
	default:
		l.perSecond, l.limited, l.asOf = 0, false, now
	}
	return l.limited != wasLimited || l.perSecond != before
}

// observeServerState takes what the server reports about itself from the response to a job.
func (j *job) observeServerState(r *fasthttp.Response, class responseClass) {
	kind := event.RunResponse
	switch {
	case class == wrongServer:
		return
	case class != forwardable, r.StatusCode() >= fasthttp.StatusInternalServerError:
		kind = event.RejectionResponse
	}
	j.gate.observeServerState(j.startedAt, kind, &r.Header)
}

// observeServerState takes the server's rate limit, and whether it is leaving, from the response
// to a request that was sent at sentAt.
func (g *Gate) observeServerState(sentAt time.Time, kind event.ResponseKind, h *fasthttp.ResponseHeader) {
	dialect := &g.settings.Dialect
	if dialect.Leaving != "" && header.IsLeaving(h.Peek(dialect.Leaving)) {
		g.serverLeaving(kind)
	}
	if dialect.RateLimit != "" {
		g.updateRateLimit(sentAt, kind, h.PeekAll(dialect.RateLimit))
	}
}

// updateRateLimit takes the server's rate limit from the values of its fields in a response.
func (g *Gate) updateRateLimit(sentAt time.Time, kind event.ResponseKind, values [][]byte) {
	perSecond, reported, valid := header.ParseRateLimit(values...)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	l := &g.rateLimit
	if !valid {
		g.Counters.BadRateLimits.Add(1)
		if !l.invalid {
			g.logRateLimit(now, kind, invalidRateLimit(values))
		}
	}
	l.invalid = !valid
	if !valid && !reported {
		return // What was reported before holds.
	}
	wasLimited := l.limited
	if !l.observe(now, sentAt, kind, perSecond, reported) {
		return
	}
	if l.limited && !wasLimited {
		g.Counters.RateLimits.Add(1)
	}
	if l.limited != wasLimited || now.Sub(l.loggedAt) >= rateLimitLogInterval {
		g.logRateLimit(now, kind, "")
	}
}

// rateLimitLogInterval is the shortest time between two log lines about changes of a limit.
const rateLimitLogInterval = time.Second

// logRateLimit logs the present rate limit. It is called with the lock held.
func (g *Gate) logRateLimit(now time.Time, kind event.ResponseKind, invalid string) {
	g.rateLimit.loggedAt = now
	g.settings.Recorder.Record(&event.ServerRateLimit{
		Service: g.row.Service, Server: g.name, Limited: g.rateLimit.limited, PerSecond: g.rateLimit.perSecond, Response: kind, Invalid: invalid,
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
	return g.rateLimit.perSecond, g.rateLimit.limited
}

// serverLeaving records that the server has said in a response that it is leaving.
func (g *Gate) serverLeaving(kind event.ResponseKind) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return
	}
	g.leaving = true
	g.settings.Recorder.Record(&event.ServerLeaving{Service: g.row.Service, Server: g.name, Response: kind})
}

// ServerLeaving reports whether the server has said in a response that it is leaving.
func (g *Gate) ServerLeaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}
