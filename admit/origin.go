// SPDX-License-Identifier: MIT

package admit

// Origin is where the requests of a route come from.
type Origin uint8

// The origins. The numbers are part of the protocol.
const (
	// Unknown: there were too few requests to decide.
	Unknown Origin = 0
	// FromServers: they are calls, sent by backend servers while they run other requests.
	FromServers Origin = 1
	// FromClients: they are client requests.
	FromClients Origin = 2
)

// originMinForClients is how many requests of a route must have come, without a new service among
// their sources, to be sure that they are client requests. They must also have come from all
// services from which client requests would be expected (see missingShare).
const originMinForClients = 4 * originMinRequests

// ObserveOrigin is Observe for callers that must distinguish calls, client requests and
// too few observations.
func (o *Origins) ObserveOrigin(route, service string) Origin {
	if o.Observe(route, service) {
		return FromServers
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.routes[route]
	if r == nil || r.sinceNewService < originMinForClients {
		return Unknown
	}
	if r.sinceNewService&(r.sinceNewService-1) == 0 { // Seldom, since missingShare looks at all routes.
		r.fromAll = o.missingShare(r) == 0
	}
	if r.fromAll {
		return FromClients
	}
	return Unknown
}
