// SPDX-License-Identifier: MIT

package admit

import "sync"

// Origins tells calls of running requests from callers' own requests: a route
// whose requests come from the hosts of one service only is called by that
// service's servers. A call that fails wastes the work above it, so calls go
// first. The zero value is ready, and it is safe for concurrent use.
type Origins struct {
	mu     sync.Mutex
	routes map[string]*origin
}

// origin is where the requests of one route came from.
type origin struct {
	service string
	seen    int
	// mixed says that they came from several services.
	mixed bool
}

const (
	// originLeast is how many requests of a route must have come from one
	// service alone. Callers use all hosts, so that the first few requests of a
	// route of theirs come from several services.
	originLeast = 16
	// maxOrigins bounds the routes that are remembered.
	maxOrigins = 4096
)

// Call takes note of a request of a route that began on the host of a service,
// and reports whether the route is one of calls.
func (o *Origins) Call(route, service string) bool {
	if route == "" || service == "" {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.routes[route]
	if r == nil {
		if o.routes == nil || len(o.routes) >= maxOrigins {
			o.routes = map[string]*origin{}
		}
		r = &origin{service: service}
		o.routes[route] = r
	}
	if r.service != service {
		r.mixed = true
	}
	r.seen++
	return !r.mixed && r.seen >= originLeast
}
