// SPDX-License-Identifier: MIT

package spread

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/peer"
	"github.com/ryehaven/ryehaven/store"
	"github.com/ryehaven/ryehaven/table"
)

// DefaultInForceWithin is the shortest time within which users require a change to be in
// force.
const DefaultInForceWithin = 2 * time.Second

// Settings configure a Spread.
type Settings struct {
	// Seeds are addresses of peer ports to query while no other node is known.
	Seeds []string
	// Interval is the time between two rounds of digest exchanges.
	Interval time.Duration
	// QueryTimeout bounds each query to another node, and connecting to it.
	QueryTimeout time.Duration
	// WatchWait is how long the platform holds a watch before it replies that nothing has
	// changed.
	WatchWait time.Duration
	// InForceWithin is how soon after the platform accepts a change it must be in force at
	// every node; DefaultInForceWithin if 0.
	InForceWithin time.Duration
	// StaleAfter is the age of the last confirmation at which nodes without a watch start to
	// poll.
	StaleAfter time.Duration
	// PollInterval is the time between two routine polls of a node without a watch.
	PollInterval time.Duration
	// WatchEvacuations makes the node watch the evacuations in the store.
	WatchEvacuations bool
	// Register makes the node add itself to the store's list of hosts. The list then holds
	// what nodes report about themselves.
	Register bool
	// HostsInterval is the time between two reads of the list of hosts.
	HostsInterval time.Duration
	// Blame holds this node's records of requests under which backend servers have crashed;
	// nil if the node neither collects nor shares them.
	Blame Blame
	// Calls holds this node's records of the calls of routes; nil if the node neither collects
	// nor shares them.
	Calls Calls
	// ProvenWithin is the maximum age of the proof that the table is the newest, for requests
	// that must not be decided by an older table; 0 if no proof is needed.
	ProvenWithin time.Duration
	// TableBytesPerSecond limits the bytes of tables sent to other nodes.
	TableBytesPerSecond int
}

// Counters counts the events of a Spread.
type Counters struct {
	// Exchanges counts digests sent. ExchangeFailures counts exchanges and records pushed that
	// failed.
	Exchanges, ExchangeFailures atomic.Int64
	// TablesPulled and TablesServed count tables received from and sent to other nodes;
	// TablesDeferred counts queries for a table refused because the byte budget was spent.
	TablesPulled, TablesServed, TablesDeferred atomic.Int64
	// BadTables counts tables that failed validation.
	BadTables atomic.Int64
	// EvacuationChanges counts changes of the evacuations in force, BadEvacuations states that
	// failed validation.
	EvacuationChanges, BadEvacuations atomic.Int64
	// EntriesLeftOut counts reads of the list of hosts in which invalid entries were skipped.
	EntriesLeftOut atomic.Int64
	// MonitoredUnreachable and MonitoredReachable count how often a node that this one
	// monitors became unreachable and reachable again.
	MonitoredUnreachable, MonitoredReachable atomic.Int64
	// RecordsReceived counts member records received from other nodes.
	RecordsReceived atomic.Int64
	// NearBytes and FarBytes count the payload bytes sent to nodes of the own availability
	// zone and of other zones. Bytes sent to unknown nodes count as far. Replies with tables,
	// blame records and calls are not counted.
	NearBytes, FarBytes atomic.Int64
	// PlatformReads counts calls to the platform: reads, watches, and writes to the list of
	// hosts. PlatformErrors counts those that failed.
	PlatformReads, PlatformErrors atomic.Int64
	// WatchTimeouts, WatchKeepAliveFailures and WatchErrors count watches that failed: by
	// their own timeout, because the kernel's keep-alive probes were not acknowledged, or with
	// another error.
	WatchTimeouts, WatchKeepAliveFailures, WatchErrors atomic.Int64
	// WatchesAbandoned counts watches that were restarted because their connection might have
	// stalled.
	WatchesAbandoned atomic.Int64
	// StoreEras counts how often the store was restored from an older copy of its data.
	// HostsRestored counts hosts that were written to its list again afterwards.
	StoreEras, HostsRestored atomic.Int64
	// Probes counts checks of the connection to the platform, ProbeTimeouts those that timed
	// out.
	Probes, ProbeTimeouts atomic.Int64
}

// Spread distributes tables, member records and evacuations between this node, other nodes and
// the platform.
type Spread struct {
	Counters Counters

	settings Settings
	log      *zap.Logger
	holder   *Holder
	platform store.Client
	// onViewChange is called after the view has changed, with no lock held.
	onViewChange func()
	tableLimiter *rate.Limiter
	// connect returns a connection to the node at an address.
	connect func(address string, limit time.Duration) (link, error)
	// These channels wake the rounds: gossip to exchange digests with a few nodes, broadcast
	// to do so with nodes of every zone, ownUpdate to push this node's record.
	gossip, broadcast, ownUpdate chan struct{}
	// unreached wakes the check of higher-ranked nodes.
	unreached chan struct{}
	// recheck makes the probe check the platform at once.
	recheck      chan struct{}
	watches      openWatches
	pullRequests chan string
	// registered is closed once the node is in the store's list of hosts.
	registered chan struct{}
	// joined is closed once the node knows other nodes or has timed out waiting for them.
	joined chan struct{}
	// blameSynced is set once another node has sent its records of requests under which
	// backend servers have crashed.
	blameSynced atomic.Bool
	// storeOutage logs when the store becomes unreachable and reachable again.
	storeOutage outageLog

	mu   sync.Mutex
	view *member.View
	rng  *rand.Rand
	// evacuations are those in force.
	evacuations store.Evacuations
	confirmed   time.Time
	// proven is the latest time at which the table in force was certainly the newest.
	proven time.Time
	// ownConfirmed is when the store last confirmed the table to this node, and
	// othersConfirmed when it last did so to another node.
	ownConfirmed, othersConfirmed time.Time
	// lastResumed is when the host last resumed from a suspension.
	lastResumed time.Time
	// lastExchange is when this node last exchanged digests with any other node.
	lastExchange time.Time
	// lastHandshakeSync is when a node that sent a handshake was last allowed to compare all
	// records.
	lastHandshakeSync time.Time
	// tableTag is the version of the table's object from which the watch continues.
	tableTag string
	// probeOpen reports whether a probe connection is open. lastRecheck is when Recheck last
	// abandoned the watches.
	probeOpen   bool
	lastRecheck time.Time
	// lastHostsError is the last error in decoding the list of hosts.
	lastHostsError string
	// lastStoreFailure is when a call to the store last failed.
	lastStoreFailure time.Time
	// hastened makes the next round come sooner.
	hastened   bool
	compressed tableReply
}

// tableBurstSeconds is the burst of table bytes, in seconds at the configured rate.
const tableBurstSeconds = 16

// New returns a Spread, which does nothing until Run is called. onViewChange may be nil.
func New(settings Settings, log *zap.Logger, holder *Holder, view *member.View, dialer *peer.Dialer, client store.Client, onViewChange func()) *Spread {
	if onViewChange == nil {
		onViewChange = func() {}
	}
	if settings.InForceWithin == 0 {
		settings.InForceWithin = DefaultInForceWithin
	}
	perSecond := settings.TableBytesPerSecond
	return &Spread{
		settings:     settings,
		log:          log,
		holder:       holder,
		connect:      dialTo(dialer),
		platform:     client,
		onViewChange: onViewChange,
		tableLimiter: rate.NewLimiter(rate.Limit(perSecond), perSecond*tableBurstSeconds),
		gossip:       make(chan struct{}, 1),
		broadcast:    make(chan struct{}, 1),
		ownUpdate:    make(chan struct{}, 1),
		unreached:    make(chan struct{}, 1),
		recheck:      make(chan struct{}, 1),
		pullRequests: make(chan string, 1),
		registered:   make(chan struct{}),
		joined:       make(chan struct{}),
		view:         view,
		lastExchange: time.Now(),
		rng:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// View calls f with the view while holding its lock.
func (s *Spread) View(f func(v *member.View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.view)
}

// ConfirmedAge returns how long ago the store confirmed the table to this node or to a node
// from which the confirmation reached it; ok is false if it never did.
func (s *Spread) ConfirmedAge(now time.Time) (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.confirmed), !s.confirmed.IsZero()
}

// Announce pushes this node's changed record to a few nodes at once.
func (s *Spread) Announce() { wake(s.ownUpdate) }

// requestGossip starts digest exchanges with a few nodes at once.
func (s *Spread) requestGossip() { wake(s.gossip) }

func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default: // A wake-up is already pending.
	}
}

// fromPlatform is the source of tables and evacuations that this node read from the platform
// itself.
const fromPlatform = "platform"

// offer offers a table to the holder and propagates it if it was accepted.
func (s *Spread) offer(snapshot *table.Snapshot, source string) {
	if s.holder.Offer(snapshot, source) == Accepted {
		s.propagate(store.TableKey, source)
	}
}

// propagate starts exchanges with other nodes after an object has changed. If the change came
// from the platform, this node may be the only one that knows it and exchanges digests with
// nodes of every zone. If it came from another node, this node's own watch of the object
// should report it too.
func (s *Spread) propagate(key, source string) {
	if source == fromPlatform {
		wake(s.broadcast)
		return
	}
	s.requestGossip()
	s.watches.changedElsewhere(key)
}

func (s *Spread) digest(now time.Time) digest {
	generation, hash := s.holder.Generation()
	s.mu.Lock()
	defer s.mu.Unlock()
	d := digest{
		Generation:      generation,
		Hash:            hash[:min(len(hash), hashPrefixLength)],
		ConfirmedMillis: -1,
		Root:            s.view.Digest().Root(),
		Host:            s.view.Self().Host,
		Evacuations:     s.evacuations,
	}
	if !s.confirmed.IsZero() {
		d.ConfirmedMillis = now.Sub(s.confirmed).Milliseconds()
	}
	if !s.proven.IsZero() {
		d.ProvenMillis = now.Sub(s.proven).Milliseconds() + 1 // Rounded up.
	}
	return d
}

// applyDigest updates the evacuations and the times of confirmation from another node's
// digest.
func (s *Spread) applyDigest(now time.Time, d digest) {
	s.applyEvacuations(d)
	generation, _ := s.holder.Generation()
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.ConfirmedMillis < 0 || d.Generation != generation {
		return
	}
	confirmed := now.Add(-time.Duration(d.ConfirmedMillis) * time.Millisecond)
	if confirmed.After(s.confirmed) {
		s.confirmed = confirmed
	}
	if confirmed.After(s.ownConfirmed.Add(echoDelay)) && confirmed.After(s.othersConfirmed) {
		s.othersConfirmed = confirmed
	}
}

func (s *Spread) noteExchange(now time.Time) {
	s.mu.Lock()
	s.lastExchange = now
	s.mu.Unlock()
}

// isolatedRounds is the number of intervals without an exchange after which the node counts as
// isolated.
const isolatedRounds = 1.5

// Isolated reports whether the node knows no other nodes or has recently reached none.
func (s *Spread) Isolated(now time.Time) bool { return s.isolated(now) }

// isolated reports whether the node knows no other nodes or has recently reached none. It must
// then read the store itself.
func (s *Spread) isolated(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view.Len() <= 1 {
		return true
	}
	return now.Sub(s.lastExchange) > time.Duration(isolatedRounds*float64(s.settings.Interval))
}

// merge adds member records to the view and calls onViewChange if any was new.
func (s *Spread) merge(now time.Time, records []member.Record) {
	s.Counters.RecordsReceived.Add(int64(len(records)))
	s.mu.Lock()
	changed := s.view.Merge(now, records)
	s.hastened = s.hastened || changed
	s.mu.Unlock()
	if changed {
		s.onViewChange()
	}
}
