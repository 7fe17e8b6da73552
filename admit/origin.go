// SPDX-License-Identifier: MIT

package admit

// Origin is where the requests of a route come from.
type Origin uint8

// The origins. The numbers are part of the protocol.
const (
	// Unknown: too little has come to tell.
	Unknown Origin = 0
	// FromRuns: they are calls of running requests.
	FromRuns Origin = 1
	// FromCallers: they are callers' own.
	FromCallers Origin = 2
)

// originSure is how many requests of a route must have come from the same services, and
// none from services that ask for anything else, for all of them to be callers' own.
const originSure = 4 * originLeast

// Origin is Call where it matters that too little may have come to tell.
func (o *Origins) Origin(route, service string) Origin {
	if o.Call(route, service) {
		return FromRuns
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.routes[route]
	if r == nil || r.seen < originSure {
		return Unknown
	}
	if r.seen&(r.seen-1) == 0 { // Looks at all routes, so rarely.
		r.all = o.missing(r) == 0
	}
	if r.all {
		return FromCallers
	}
	return Unknown
}
