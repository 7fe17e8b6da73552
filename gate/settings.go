// SPDX-License-Identifier: MIT

package gate

import (
	"sync/atomic"
	"time"

	"github.com/ryehaven/ryehaven/calls"
	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/wire"
)

// Settings are the settings of a gate that do not come from its row.
type Settings struct {
	// IdleTimeout bounds the time for which an unused connection to the server is kept.
	IdleTimeout time.Duration
	DialTimeout time.Duration
	// BodyIdleTimeout bounds the time that a body makes no progress.
	BodyIdleTimeout time.Duration
	// AbandonedTimeout is how long a request that is not repeatable may run on after its
	// expiry, when its entry has stopped waiting.
	AbandonedTimeout time.Duration
	// FlushAfter is how long after the start of a drain the requests that are still queued are
	// refused.
	FlushAfter time.Duration
	// FixedLimit keeps the limit at the row's slots. NoDeadlineBound also queues requests that
	// cannot meet their deadline. NoDeadlineBound is for comparison only.
	FixedLimit      bool
	NoDeadlineBound bool
	// Dialect is the set of header fields used with the server.
	Dialect header.Dialect
	// Recorder logs the outcomes of requests; nil logs nothing.
	Recorder *event.Recorder
	// OnUpdate is called when the gate has an update that entries must get at once; it must
	// not block and may be nil.
	OnUpdate func()
	// OnWrongServer is called when another server than the row's answers at its address; it
	// must not block and may be nil.
	OnWrongServer func(name string)
	// OnLeaving is called when the server reports in a response that it is leaving; it must not
	// block for long and may be nil.
	OnLeaving func(name string)
	// ChecksPerSecond bounds the probes that check the server's speed before a request is
	// handed over; 0 allows none.
	ChecksPerSecond float64
	// ColdOvershoot and ColdSlack bound the requests that the server gets in a second while it
	// is cold: the row's ColdPerSecond times ColdOvershoot, plus ColdSlack.
	ColdOvershoot, ColdSlack float64
	// PreviousGateUntil is when an earlier gate to the same server may have sent its last
	// request; zero stands for the start of this gate.
	PreviousGateUntil time.Time
	// ProbeAfter is how long after its last report the server is probed, while there is
	// demand; 0 probes whenever the budget allows it.
	ProbeAfter time.Duration
	// ClockStep shifts the time of day that the gate reads, for tests.
	ClockStep time.Duration
	// Weight returns a tenant's weight relative to other tenants when they share a busy
	// server; nil gives all the same weight.
	Weight func(tenant string) float64
	// Blame is what the node knows of requests suspected of making servers exit; nil blames
	// none.
	Blame Blame
	// Calls is notified of each request that the server runs, so that calls can be attributed to
	// the requests that make them; nil learns nothing.
	Calls *calls.Graph
	// ByAim orders and refuses requests by their latency objectives (aims), the times at which
	// their responses are due.
	ByAim bool
	// LearnSlots makes the gate learn how many of the server's slots to fill. It starts at the
	// row's slots and stays between half and all of the slots that calls may fill.
	LearnSlots bool
	// DownstreamFailed reports whether a request that this host sent on to another service has
	// failed since a time; it may be nil. An error of the server then counts as the
	// consequence of that failure, which was retried already.
	DownstreamFailed func(since time.Time) bool
}

// Counters count the events of one gate.
type Counters struct {
	// Received counts requests; each is also counted once in Answered, Refused or Reset.
	Received, Answered, Refused, Reset atomic.Int64
	// RefusedBy counts refusals by wire.Reason.
	RefusedBy [wire.ReasonCount]atomic.Int64
	// Evicted counts queued requests that were refused to make room for more urgent ones.
	Evicted atomic.Int64
	// Dispatched counts requests handed to the server.
	Dispatched atomic.Int64
	// Probes counts probes for the server's load report, FailedProbes those without an answer.
	Probes, FailedProbes atomic.Int64
	// BadReports counts responses whose cold time could not be parsed.
	BadReports atomic.Int64
	// RateLimits counts how often the server set a rate limit after it had none, and
	// BadRateLimits the responses whose rate limit could not be parsed.
	RateLimits, BadRateLimits atomic.Int64
	// UnresponsiveConnections counts connections to the server that were found unresponsive
	// while it answered on a new one, and UnansweredProbes probes that it answered neither on
	// a kept nor on a new connection.
	UnresponsiveConnections, UnansweredProbes atomic.Int64
	// ServerExits counts exits of the server that left requests without an answer.
	ServerExits atomic.Int64
	// Lost counts requests on unresponsive connections whose answers were given up.
	Lost atomic.Int64
	// Checks counts the probes that were made before a request was handed over.
	Checks atomic.Int64
}
