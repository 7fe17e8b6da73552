// SPDX-License-Identifier: MIT

package table

import (
	"sort"
	"strings"
	"time"
)

// Route says how requests are handled whose Host field names a host and whose path
// begins with a prefix.
type Route struct {
	// Host is the value of the Host field without its port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Shares are the services among which the requests are split.
	Shares []Share
	// Repeatable says that the route's requests may run more than once.
	Repeatable bool
	// Timeout is how long a request may take at most.
	Timeout time.Duration
	// Aim is the latency objective: an answer within this time has its full value. If
	// the table sets none, it is half of Timeout.
	Aim time.Duration
	// Priority orders the requests in a gate's queue.
	Priority Priority
	// Attempts is the maximum number of servers to which one request may be sent.
	Attempts int
	// Public says that the route's requests need no key.
	Public bool
}

// Share is a service's share of a route's requests.
type Share struct {
	Service string
	// Weight is relative to the weights of the route's other shares.
	Weight int
}

// Name returns the route's host and prefix.
func (r *Route) Name() string { return r.Host + r.Prefix }

// TotalWeight returns the sum of the weights of the route's shares.
func (r *Route) TotalWeight() int {
	sum := 0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	return sum
}

// Service returns the service for a random number n from 0 up to, but not including,
// TotalWeight.
func (r *Route) Service(n int) string {
	for _, s := range r.Shares {
		if n < s.Weight {
			return s.Service
		}
		n -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Bounds limit the size of callers' requests and the time that they may take to arrive.
// A field that is zero leaves the limit to the node's settings.
type Bounds struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTime is how long a request's header may take to arrive.
	HeaderTime time.Duration
	// Idle is how long a connection may wait for its next request.
	Idle time.Duration
}

// Routes returns all routes, sorted by host and prefix.
func (t *Table) Routes() []Route {
	if t == nil {
		return nil
	}
	return t.routes
}

// Bounds returns the limits on callers' requests.
func (t *Table) Bounds() Bounds {
	if t == nil {
		return Bounds{}
	}
	return t.bounds
}

// Match returns the host's route with the longest prefix that the path begins with, or
// nil if there is none.
func (t *Table) Match(host, path string) *Route {
	if t == nil {
		return nil
	}
	for _, r := range t.byRouteHost[host] { // Sorted by length, the longest prefix first.
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

func (t *Table) setRoutes(routes []Route) {
	sort.Slice(routes, func(i, j int) bool {
		if routes[i].Host != routes[j].Host {
			return routes[i].Host < routes[j].Host
		}
		return routes[i].Prefix < routes[j].Prefix
	})
	t.routes = routes
	t.byRouteHost = map[string][]*Route{}
	for i := range routes {
		r := &routes[i]
		t.byRouteHost[r.Host] = append(t.byRouteHost[r.Host], r)
	}
	for _, list := range t.byRouteHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
}
