// SPDX-License-Identifier: MIT

package admit

import "time"

// ReportedLimit is the limit on the rate of requests that a server reports in its responses. It
// holds for as long as they report it. The zero value has no limit. It is not safe for concurrent
// use.
type ReportedLimit struct {
	perSecond float64
	limited   bool
	// known is set once a response has shown whether there is a limit.
	known bool
	// asOf is when the response was read, or the assumption made, that set the state.
	asOf time.Time
}

// PerSecond returns the limit in requests per second; limited is false if there is none.
func (l *ReportedLimit) PerSecond() (perSecond float64, limited bool) {
	return l.perSecond, l.limited
}

// Known reports whether a response has shown whether there is a limit.
func (l *ReportedLimit) Known() bool { return l.known }

// Observe updates the limit from a response to a request that was sent at sentAt, and reports
// whether that changed it. reported says whether the response has a limit, and mayLift that its
// absence means that there is none.
//
// Responses may be read in another order than they were sent, so a response to a request that was
// sent before the present limit was known can only lower it.
func (l *ReportedLimit) Observe(now, sentAt time.Time, perSecond float64, reported, mayLift bool) (changed bool) {
	if !reported && !mayLift {
		return false
	}
	l.known = true
	isNewer := sentAt.After(l.asOf)
	isLower := reported && (!l.limited || perSecond < l.perSecond)
	if !isNewer && !isLower {
		return false
	}
	return l.set(now, perSecond, reported)
}

// Assume takes over a limit that another node knows of the server, unless the server's own
// responses have shown whether there is one. Of several, the lowest holds.
func (l *ReportedLimit) Assume(now time.Time, perSecond float64) (changed bool) {
	if l.known || l.limited && perSecond >= l.perSecond {
		return false
	}
	return l.set(now, perSecond, true)
}

func (l *ReportedLimit) set(now time.Time, perSecond float64, limited bool) (changed bool) {
	if !limited {
		perSecond = 0
	}
	changed = l.limited != limited || l.perSecond != perSecond
	l.perSecond, l.limited, l.asOf = perSecond, limited, now
	return changed
}
