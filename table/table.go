// SPDX-License-Identifier: MIT

package table

import (
	"sort"
	"time"

	"github.com/ryehaven/ryehaven/tenant"
)

// State says whether a backend server may receive new requests.
type State string

// The states of a server's row.
const (
	// Active servers receive new requests.
	Active State = "active"
	// Leaving servers finish the requests that they have and receive no new ones.
	Leaving State = "leaving"
)

// Priority orders the requests in a gate's queue: lower values are served first.
type Priority uint8

// The priorities, most urgent first.
const (
	Urgent Priority = iota
	Normal
	Bulk
	priorityCount
)

var priorityNames = [priorityCount]string{"urgent", "normal", "bulk"}

// Priorities is the number of priorities.
const Priorities = int(priorityCount)

// String returns the priority's name as it is written in the table and in headers.
func (p Priority) String() string {
	if int(p) < len(priorityNames) {
		return priorityNames[p]
	}
	return "unknown"
}

// ParsePriority returns the priority with a name, and false for an unknown name.
func ParsePriority(name string) (Priority, bool) {
	for i, n := range priorityNames {
		if n == name {
			return Priority(i), true
		}
	}
	return Normal, false
}

// RepeatableRule decides whether a request of a service may run more than once when
// the caller's headers don't say so.
type RepeatableRule string

// The rules for whether a request may run more than once.
const (
	// ByMethod treats the idempotent methods of RFC 9110 section 9.2.2 as repeatable:
	// GET, HEAD, OPTIONS, TRACE, PUT and DELETE.
	ByMethod RepeatableRule = "method"
	// SafeOnly treats only the safe methods of RFC 9110 section 9.2.1 as repeatable.
	SafeOnly RepeatableRule = "safe"
	// Never treats no request as repeatable.
	Never RepeatableRule = "never"
)

// Policy holds the cells that a service's row can set for all its servers and a
// server's row can override.
type Policy struct {
	// Weight scales the server's share of the requests relative to the service's other
	// servers.
	Weight float64
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// Connections is the maximum number of connections from the gate to the server.
	Connections int
	// Queue is the maximum number of requests that wait at the gate.
	Queue int
	// Deadline is the time limit of a request whose caller sets none.
	Deadline time.Duration
	// Priority is the priority of a request whose caller sets none.
	Priority Priority
	// Repeatable is the rule for requests whose caller doesn't say whether they may run
	// more than once.
	Repeatable RepeatableRule
	// RetryShare bounds retries, as a share of the first attempts.
	RetryShare float64
	// ProbeRate is the maximum number of probes a second from the gate to the server.
	ProbeRate float64
	// ShedNotRun says that a 503 of the server with a Retry-After header means that the
	// request was not run.
	ShedNotRun bool
	// ObjectiveLatency and ObjectiveShare are the service level objective: this share
	// of the requests is to be answered without error within this latency.
	ObjectiveLatency time.Duration
	ObjectiveShare   float64
	// Discovery says how nodes learn of the service's servers.
	Discovery Discovery
	// HealthPath is the path of the probes.
	HealthPath string
	// ColdTime is how long a server is usually cold after its start; 0 if it is never
	// cold.
	ColdTime time.Duration
	// ColdPerSecond is how many requests a second a server can serve while it is cold;
	// 0 if it can serve as many as at other times.
	ColdPerSecond float64
}

// Discovery says how nodes learn of a service's servers.
type Discovery string

// The kinds of discovery.
const (
	// Listed servers have rows of their own in the table.
	Listed Discovery = "listed"
	// Announced servers announce themselves to the node on their host.
	Announced Discovery = "announced"
)

// DefaultHealthPath is the path of probes unless a row sets another.
const DefaultHealthPath = "/ryehaven/report"

// DefaultPolicy returns the values of cells that are blank in the server's row and in
// the service's row.
func DefaultPolicy() Policy {
	return Policy{
		Weight:           1,
		Slots:            12,
		Connections:      200,
		Queue:            12,
		Deadline:         2 * time.Second,
		Priority:         Normal,
		Repeatable:       ByMethod,
		RetryShare:       0.1,
		ProbeRate:        2,
		ObjectiveLatency: 250 * time.Millisecond,
		ObjectiveShare:   0.999,
		Discovery:        Listed,
		HealthPath:       DefaultHealthPath,
	}
}

// Server is the row of one backend server, with inherited and default values filled
// in.
type Server struct {
	Policy
	Service string
	Name    string
	// Host is the host that the server and its node run on.
	Host string
	// Zone is the availability zone of that host.
	Zone string
	// Address is the IP address and port at which the server's node reaches it.
	Address string
	State   State
}

// Service is a service's row and its servers, sorted by name.
type Service struct {
	Policy
	Name    string
	Servers []Server
}

// Table is a parsed table without faults. It is immutable.
type Table struct {
	services map[string]*Service
	names    []string
	byHost   map[string][]*Server

	routes      []Route
	byRouteHost map[string][]*Route
	bounds      Bounds

	requiresKeys bool
	tenants      []Tenant
	tenantByKey  map[tenant.Fingerprint]*Tenant
}

// Service returns the service with a name, or nil.
func (t *Table) Service(name string) *Service {
	if t == nil {
		return nil
	}
	return t.services[name]
}

// Services returns the names of all services, sorted.
func (t *Table) Services() []string {
	if t == nil {
		return nil
	}
	return t.names
}

// OnHost returns the backend servers on a host.
func (t *Table) OnHost(host string) []*Server {
	if t == nil {
		return nil
	}
	return t.byHost[host]
}

// Servers returns the number of servers of all services.
func (t *Table) Servers() int {
	n := 0
	for _, name := range t.Services() {
		n += len(t.services[name].Servers)
	}
	return n
}

func newTable(services map[string]*Service) *Table {
	t := &Table{services: services, byHost: map[string][]*Server{}}
	for name, s := range services {
		t.names = append(t.names, name)
		sort.Slice(s.Servers, func(i, j int) bool { return s.Servers[i].Name < s.Servers[j].Name })
	}
	sort.Strings(t.names)
	for _, name := range t.names {
		servers := services[name].Servers
		for i := range servers {
			host := servers[i].Host
			t.byHost[host] = append(t.byHost[host], &servers[i])
		}
	}
	return t
}
