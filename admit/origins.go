// SPDX-License-Identifier: MIT

package admit

import "sync"

// Origins distinguishes calls from client requests by where they come from. Clients use all hosts, so
// client requests come from the hosts of all services. The requests of a route that servers call
// come only from the hosts of some services: those that serve the requests that make the calls.
// Calls go first, since a failed call wastes the work of the request that made it. The zero value
// is ready for use. Origins is safe for concurrent use.
type Origins struct {
	mu     sync.Mutex
	routes map[string]*routeOrigin
}

// routeOrigin is where the requests of one route came from.
type routeOrigin struct {
	// byService counts the requests by the service on whose host they began.
	byService map[string]int
	// sinceNewService counts the requests since one came from a service for the first time,
	// that one included.
	sinceNewService int
	isCall          bool
	// fromAll means that they came from all services that would be expected of client requests.
	fromAll bool
}

const (
	// originMinRequests is how many requests of a route must come without a new service among
	// their sources before they can be taken for calls. Clients use all hosts, so even the
	// first few requests of a route of theirs come from several services.
	originMinRequests = 16
	// originMinMissing is how many requests must have been expected from the services that
	// sent none. If the route had client requests, the probability of that would be e^-8.
	originMinMissing = 8
	// maxOriginRoutes bounds the number of routes that are tracked.
	maxOriginRoutes = 4096
)

// Observe records a request for a route that began on the host of a service, and reports whether
// the requests of that route are calls.
func (o *Origins) Observe(route, service string) bool {
	if route == "" || service == "" {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.routes[route]
	if r == nil {
		if o.routes == nil || len(o.routes) >= maxOriginRoutes {
			o.routes = map[string]*routeOrigin{}
		}
		r = &routeOrigin{byService: map[string]int{}}
		o.routes[route] = r
	}
	r.byService[service]++
	r.sinceNewService++
	switch {
	case r.byService[service] == 1:
		r.sinceNewService, r.isCall, r.fromAll = 1, false, false
	case !r.isCall && r.sinceNewService >= originMinRequests && r.sinceNewService&(r.sinceNewService-1) == 0: // Seldom, since missingShare looks at all routes.
		r.isCall = len(r.byService) == 1 || float64(r.sinceNewService)*o.missingShare(r) >= originMinMissing
	}
	return r.isCall
}

// missingShare estimates which share of a route's requests would come from services that have sent
// none, if they were client requests. The estimate uses the routes that are requested from all of
// its services and from others too.
func (o *Origins) missingShare(r *routeOrigin) float64 {
	missing, all := 0, 0
	for _, other := range o.routes {
		if len(other.byService) <= len(r.byService) || !other.covers(r) {
			continue
		}
		for service, n := range other.byService {
			all += n
			if r.byService[service] == 0 {
				missing += n
			}
		}
	}
	return float64(missing) / float64(max(all, 1))
}

// covers reports whether requests of r came from all services that those of the other route came from.
func (r *routeOrigin) covers(other *routeOrigin) bool {
	for service := range other.byService {
		if r.byService[service] == 0 {
			return false
		}
	}
	return true
}
