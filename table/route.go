// SPDX-License-Identifier: MIT

package table

import (
	"sort"
	"strings"
	"time"
)

// Route tells what becomes of requests for a host whose path begins with a
// prefix.
type Route struct {
	// Host is the Host field without its port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Shares are the services that the requests are split over.
	Shares []Share
	// Repeatable requests may run more than once.
	Repeatable bool
	// Timeout is how long a request is held at most.
	Timeout time.Duration
	// Aim is the time within which an answer is worth its full value; 0 means
	// half of Timeout.
	Aim time.Duration
	// Priority orders requests at a busy gate.
	Priority Priority
	// Attempts is the largest number of servers that one request may reach.
	Attempts int
	// Public says that the route asks for no key.
	Public bool
}

// Share is a service's part of a route.
type Share struct {
	Service string
	// Weight is relative to the route's other shares.
	Weight int
}

// Name is the route's host and prefix.
func (r *Route) Name() string { return r.Host + r.Prefix }

// TotalWeight is the sum of the weights of the route's shares.
func (r *Route) TotalWeight() int {
	sum := 0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	return sum
}

// Service returns the service of a request that drew n, which must be at
// least 0 and below TotalWeight.
func (r *Route) Service(n int) string {
	for _, s := range r.Shares {
		if n < s.Weight {
			return s.Service
		}
		n -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Bounds are what callers may send and how long they may take. A zero field
// leaves the bound to the node's settings.
type Bounds struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTime bounds the time that a request's head takes to arrive.
	HeaderTime time.Duration
	// Idle is how long a connection may wait for its next request.
	Idle time.Duration
}

// Routes returns every route in the order of hosts and prefixes.
func (t *Table) Routes() []Route {
	if t == nil {
		return nil
	}
	return t.routes
}

// Bounds returns the bounds of what callers may send.
func (t *Table) Bounds() Bounds {
	if t == nil {
		return Bounds{}
	}
	return t.bounds
}

// Match returns the route of a host with the longest prefix of the path, or
// nil when there is none.
func (t *Table) Match(host, path string) *Route {
	if t == nil {
		return nil
	}
	for _, r := range t.byRouteHost[host] { // The longest prefix first.
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
