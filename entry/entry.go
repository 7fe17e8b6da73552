// SPDX-License-Identifier: MIT

package entry

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/burn"
	"github.com/ryehaven/ryehaven/calls"
	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/internal/sock"
	"github.com/ryehaven/ryehaven/peer"
	"github.com/ryehaven/ryehaven/retry"
	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/wire"
)

// Settings configures an entry.
type Settings struct {
	// Balance configures how servers are chosen; its zero value is the default policy.
	Balance balance.Options
	// NoRetries makes one attempt only; for comparisons.
	NoRetries bool
	// NoHedges sends no second attempt in parallel with the first; for comparisons.
	NoHedges bool
	// ConnectTimeout limits the wait for a connection to a node.
	ConnectTimeout time.Duration
	// CancelReplyTimeout limits the wait for the gate's reply after a cancel.
	CancelReplyTimeout time.Duration
	// BodyIdleTimeout limits how long a body may make no progress.
	BodyIdleTimeout time.Duration
	// MaxBodyBytes limits the size of a request's body.
	MaxBodyBytes int64
	// MaxDeadline limits the time that a caller may allow for a request.
	MaxDeadline time.Duration
	// Dialect defines the header fields that are exchanged with callers.
	Dialect header.Dialect
	// LocalService is the service whose server runs on the same host as this entry. It is
	// sent to servers as the caller; blank if nothing is sent.
	LocalService string
	// Recorder logs the decisions; nil logs nothing.
	Recorder *event.Recorder
	// Versions returns the generation of the table in force and a version number of all
	// that is known about nodes, for the log. It may be nil.
	Versions func() (generation, members uint64)
	// TableConfirmedAge returns how long ago the table in force was confirmed to be the
	// newest; ok is false if it never was. It may be nil.
	TableConfirmedAge func(now time.Time) (age time.Duration, ok bool)
	// TableMayBeStale reports whether the table in force may no longer be the newest one;
	// nil means that every table is the newest.
	TableMayBeStale func(now time.Time) bool
	// KeysUpToDate reports whether the node can rely on the keys of the table in force;
	// nil means that it always can.
	KeysUpToDate func(now time.Time) bool
	// Blame is what the node knows about requests that were running when servers crashed;
	// nil blames none.
	Blame Blame
	// Quotas checks whether a request is within its tenant's quota; nil admits every
	// request.
	Quotas Quotas
	// Calls is what the node knows about the calls that requests make. With it, a request
	// is admitted only if there is headroom for its calls too; with nil, only the
	// headroom for the request itself counts.
	Calls *calls.Tracker
	// RefuseWhenRateBound refuses at once the requests for which servers that are cold or
	// report rate limits have no headroom.
	RefuseWhenRateBound bool
	// DetectCallerRetries distinguishes requests that callers retry from first tries.
	DetectCallerRetries bool
	// NoTableRetryAfter is the retry delay that callers are given while the node has no
	// table or may have an old one.
	NoTableRetryAfter time.Duration
}

// Counters counts what an entry did.
type Counters struct {
	// Requests counts callers' requests; each of them ends in one of the next four
	// counters.
	Requests, Answered, NotRun, Unknown, BadRequests atomic.Int64
	// Attempts counts requests sent to gates.
	Attempts atomic.Int64
	// WaitedForNode counts requests that went on once a node responded again, after no
	// node could be reached.
	WaitedForNode atomic.Int64
	// Retries counts attempts after the first, and RetriesDenied the attempts that the
	// retry budget did not cover.
	Retries, RetriesDenied atomic.Int64
	// Hedges counts second attempts in parallel with a first, and HedgesWon the ones that
	// answered first.
	Hedges, HedgesWon atomic.Int64
	// CallerGone counts requests whose caller closed its connection.
	CallerGone atomic.Int64
	// WaitedForSpeed counts requests that waited for the end of a server's slow period.
	WaitedForSpeed atomic.Int64
	// RefusedBlamed counts requests that were not sent, or not sent again, because servers
	// had crashed while running them.
	RefusedBlamed atomic.Int64
	// RefusedCold counts requests that were not sent because the servers are cold; they
	// are included in NotRun.
	RefusedCold atomic.Int64
	// RefusedRateLimit counts requests that were not sent because the servers report rate
	// limits; they are included in NotRun.
	RefusedRateLimit atomic.Int64
	// UnknownKeys counts requests without a key that the table knows; they are included
	// in BadRequests.
	UnknownKeys atomic.Int64
	// OverQuota counts requests above their tenant's quota; they are included in NotRun.
	OverQuota atomic.Int64
	CallerRetryCounters
	// NoHeadroomForCalls counts requests refused because there was no headroom for their
	// calls; they are included in NotRun. Calls counts requests that are calls made by
	// the server on this host, and CallsLost the calls that got no answer.
	NoHeadroomForCalls, Calls, CallsLost atomic.Int64
	// RefusedStopping counts requests that came too late for a stopping node; they are
	// included in NotRun.
	RefusedStopping atomic.Int64
}

// Entry sends callers' requests to gates.
type Entry struct {
	Counters Counters

	settings Settings
	dialer   *peer.Dialer
	// lastFailure is when a request last failed after all its attempts, in Unix
	// nanoseconds.
	lastFailure atomic.Int64
	// stopping is nil until Stop is called.
	stopping atomic.Pointer[stopTimes]

	mu       sync.RWMutex
	services map[string]*service
	table    *table.Table

	activeMu sync.Mutex
	active   map[*request]struct{}
	// callersCheckedAt is when the callers' connections were last checked.
	callersCheckedAt time.Time

	leaving leavingServers

	tenants tenantMeters

	callerRetries callerRetryMemory

	routeStatsMu sync.Mutex
	routeStats   map[string]*routeStats

	callAdmission callAdmission
}

// New returns an entry without a table; it refuses every request until Update is called.
func New(settings Settings, dialer *peer.Dialer) *Entry {
	if settings.Blame == nil {
		settings.Blame = none{}
	}
	return &Entry{
		settings:      settings,
		dialer:        dialer,
		services:      map[string]*service{},
		active:        map[*request]struct{}{},
		routeStats:    map[string]*routeStats{},
		callerRetries: newCallerRetryMemory(),
	}
}

// Location is where a server's node is.
type Location struct {
	// Node is the address of the node's peer port.
	Node     string
	Distance time.Duration
	// Leaving says that the host is leaving.
	Leaving bool
}

// Topology describes where the servers are and among how many nodes retries are shared.
type Topology struct {
	// Locate returns the location of a listed server's host. A server whose host has no
	// known location is left out until it has one.
	Locate func(s *table.Server) (Location, bool)
	// Announced returns a service's servers that announced themselves; nil when none do.
	Announced func(service string) []balance.Spec
	// Nodes is the number of nodes among which the retry budgets are shared.
	Nodes int
	// RetryLimits limits how many requests are sent to a second server.
	RetryLimits retry.Limits
}

// Update applies a table, with the locations of its servers.
func (e *Entry) Update(now time.Time, t *table.Table, topology Topology) {
	e.mu.Lock()
	defer e.mu.Unlock()
	services := make(map[string]*service, len(t.Services()))
	for _, name := range t.Services() {
		row := t.Service(name)
		s := e.services[name]
		if s == nil {
			s = &service{
				name: name,
				pool: balance.NewPool(e.settings.Balance),
				rng:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			}
		}
		s.update(now, row, topology, &e.leaving)
		services[name] = s
	}
	e.services = services
	if e.table != t {
		e.callAdmission.update(t)
		e.dropRouteStats(t)
		e.tenants.prune(t)
	}
	e.table = t
}

// Ready reports whether the entry has a table.
func (e *Entry) Ready() bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.table != nil
}

func (e *Entry) service(name string) (s *service, ready bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.services[name], e.table != nil
}

// destination is where one table sends a request.
type destination struct {
	table *table.Table
	// service is nil when the table has none for the request, and route is nil when the
	// table has no routes.
	service *service
	route   *table.Route
}

// destination returns where the table in force sends a request for a host, in lower case and
// without a port; ready is false while there is no table.
func (e *Entry) destination(host, path string) (d destination, ready bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if e.table == nil {
		return destination{}, false
	}
	d.table = e.table
	if len(e.table.Routes()) == 0 {
		d.service = e.services[serviceName(host)]
		return d, true
	}
	route := e.table.Match(host, path)
	if route == nil {
		return d, true
	}
	d.route = route
	if len(route.Shares) == 1 {
		d.service = e.services[route.Shares[0].Service]
	} else {
		d.service = e.services[route.Service(e.routeStatsOf(route).drawShare(route.TotalWeight()))]
	}
	return d, true
}

// FailedSince reports whether a request has failed after all its attempts since a time. A
// failure of the server on this host is then taken for a consequence of that.
func (e *Entry) FailedSince(since time.Time) bool {
	return e.lastFailure.Load() >= since.UnixNano()
}

// callerCheckInterval is how often the callers' connections are checked. Each check is a
// system call for each request in flight. For at most this time a server goes on with a
// request that nobody waits for any more; requests take some ten times as long on the
// users' sites.
const callerCheckInterval = 40 * time.Millisecond

// Tick ends the requests of callers that have closed their connections, and updates which
// nodes are suspected. Call it every few milliseconds.
func (e *Entry) Tick(now time.Time) {
	e.endAbandonedRequests(now)
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, s := range e.services {
		s.updateSuspicions(now, e.dialer, e.settings.Recorder)
	}
}

// endAbandonedRequests ends the requests whose callers have closed their connections.
func (e *Entry) endAbandonedRequests(now time.Time) {
	e.activeMu.Lock()
	if now.Sub(e.callersCheckedAt) < callerCheckInterval {
		e.activeMu.Unlock()
		return
	}
	e.callersCheckedAt = now
	var gone []*request
	for r := range e.active {
		if !sock.PeerOpen(r.caller) {
			gone = append(gone, r)
			delete(e.active, r)
		}
	}
	e.activeMu.Unlock()
	for _, r := range gone {
		close(r.gone)
	}
}

// Active returns the number of requests in flight.
func (e *Entry) Active() int {
	e.activeMu.Lock()
	defer e.activeMu.Unlock()
	return len(e.active)
}

// HandleNotice processes a load report that a gate sent without a request.
func (e *Entry) HandleNotice(n *wire.Notice) {
	s, _ := e.service(n.Service)
	if s == nil {
		return
	}
	s.mu.Lock()
	s.pool.UpdateLoad(time.Now(), n.Server, n.Load)
	s.mu.Unlock()
}

// HandleSlowness processes the slowness of a server as reported by the gate at a node's
// address, in percent.
func (e *Entry) HandleSlowness(address string, percent int) {
	now := time.Now()
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, s := range e.services {
		s.mu.Lock()
		s.pool.UpdateSlowness(now, address, percent)
		s.serverChanges.wake()
		s.mu.Unlock()
	}
}

// watchCaller makes Tick close r.gone when the caller closes its connection.
func (e *Entry) watchCaller(r *request) {
	e.activeMu.Lock()
	e.active[r] = struct{}{}
	e.activeMu.Unlock()
}

func (e *Entry) unwatchCaller(r *request) {
	e.activeMu.Lock()
	delete(e.active, r)
	e.activeMu.Unlock()
}

// Burn returns the error budget counts of every service that had requests, in the order
// of burn.Windows.
func (e *Entry) Burn(now time.Time) map[string][]burn.Count {
	e.mu.RLock()
	defer e.mu.RUnlock()
	counts := map[string][]burn.Count{}
	for name, s := range e.services {
		if c := s.burn(now); c != nil {
			counts[name] = c
		}
	}
	return counts
}

// callerOpen reports whether the caller's connection is still open.
func callerOpen(c net.Conn) bool { return sock.PeerOpen(c) }
