// SPDX-License-Identifier: MIT

package calls

import "sync"

// CallClassifier distinguishes calls by a node's backend server from client requests at the same
// host.
// The gates of the requested service see from which hosts the requests for a route come, and
// report whether these are calls. A request that arrives while the server runs nothing is not one.
//
// The zero value classifies nothing as a call. It is safe for concurrent use.
type CallClassifier struct {
	mu     sync.Mutex
	routes map[Route]*routeReports
}

// routeReports is what is known of the requests for one route at this host.
type routeReports struct {
	// confirmed means that gates report the requests as calls. confirmationsNeeded is how
	// many more reports must say so after one did not.
	confirmed           bool
	confirmationsNeeded int
	// whileBusy and whileIdle count the requests that arrived while the backend server was
	// running requests, and while it was not.
	whileBusy, whileIdle float64
}

const (
	// maxTrackedRoutes bounds the routes that are tracked.
	maxTrackedRoutes = 4096
	// maxIdleShare is the share of a route's calls that may arrive while the server seems to run
	// nothing, since it may still work on requests for which the gate no longer waits.
	// idleSlack is how many such calls are allowed in addition.
	maxIdleShare = 0.02
	idleSlack    = 2
	// halveAfterRequests is the number of requests after which the counts are halved.
	halveAfterRequests = 4096
	// confirmationsAfterDenial is how many gate reports must confirm that a route's requests are
	// calls after a gate has reported that clients send them too, and confirmationsAtFirst
	// how many if none had confirmed it before.
	confirmationsAfterDenial = 64
	confirmationsAtFirst     = 1
)

func (c *CallClassifier) reportsOf(route Route) *routeReports {
	r := c.routes[route]
	if r != nil {
		return r
	}
	if c.routes == nil || len(c.routes) >= maxTrackedRoutes {
		c.routes = map[Route]*routeReports{}
	}
	r = &routeReports{}
	c.routes[route] = r
	return r
}

// RecordGateReport records what a gate reports about the requests for a route from this host:
// isCall means that all requests it got came from the hosts of services that call the route.
func (c *CallClassifier) RecordGateReport(route Route, isCall bool) {
	if route == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.reportsOf(route)
	switch {
	case !isCall && r.confirmed:
		r.confirmed, r.confirmationsNeeded = false, confirmationsAfterDenial
	case !isCall:
		r.confirmationsNeeded = max(r.confirmationsNeeded, confirmationsAtFirst)
	case r.confirmationsNeeded > 0:
		r.confirmationsNeeded--
	default:
		r.confirmed = true
	}
}

// FromClients reports whether gates have reported that clients send the requests for a route, and
// too few have confirmed since that they are calls.
func (c *CallClassifier) FromClients(route Route) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routes[route]
	return r != nil && !r.confirmed && r.confirmationsNeeded > 0
}

// ClassifyArrival records a request for a route at this host, and reports whether the backend server
// of this node sent it as a call; serverBusy means that the server is running requests.
func (c *CallClassifier) ClassifyArrival(route Route, serverBusy bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routes[route]
	if r == nil || !r.confirmed {
		return false
	}
	if !serverBusy {
		r.whileIdle++
		return false
	}
	r.whileBusy++
	if r.whileBusy+r.whileIdle >= halveAfterRequests {
		r.whileBusy /= 2
		r.whileIdle /= 2
	}
	return r.whileIdle <= maxIdleShare*(r.whileBusy+r.whileIdle)+idleSlack
}
