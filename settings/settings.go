// SPDX-License-Identifier: MIT

// Package settings reads a node's settings from a TOML file.
//
// The settings configure a single process: its host, its addresses, its availability
// zone, the shared key and the platform's address. The configuration of services is part
// of the table instead.
//
// [Parse] reports all faults at once, with line and column, including unknown keys.
// [Keys] lists every key with a description; docs/OPERATORS.md shows a complete file.
package settings

import (
	"time"

	"github.com/ryehaven/ryehaven/balance"
)

// Settings of one node.
type Settings struct {
	// Host is the name of the node's host in the table and at the platform.
	Host   string
	Zone   string
	Region string
	Listen Listen
	Peers  Peers
	// Platform is the platform's object API. Without an address the node does not use it
	// and gets everything from other nodes.
	Platform Platform
	Limits   Limits
	Distance Distance
	Log      Log
	Sidecar  Sidecar
	Retries  Retries
	Cold     Cold
	Quotas   Quotas
	Overload Overload
	// Experiment disables features, for comparisons.
	Experiment Experiment
}

// Sidecar configures the one backend server on the node's host, if it announces itself
// instead of having a row in the table. The zero value is for a node whose servers are
// listed in the table.
type Sidecar struct {
	// Server is the server's address.
	Server  string
	Service string
	// Control is the address where the server announces itself.
	Control string
	// Ready is the address where the node reports whether it accepts requests.
	Ready string
	// SlotShare is the share of the server's slots that its gate uses.
	SlotShare float64
	// LearnSlots lets the gate adapt that share, starting at SlotShare.
	LearnSlots bool
	// CallSlotShare is the share of the slots that calls made by running requests may
	// use.
	CallSlotShare float64
	// ProbeAfter is how long after its last answer the server is probed.
	ProbeAfter time.Duration
	// ProbesPerSecond is the maximum rate of probes that the server's operators accept;
	// with 0, no probe is sent before requests.
	ProbesPerSecond float64
}

// Retries limit how many requests reach a second server, over all nodes. The zero value
// leaves the limits to the table.
type Retries struct {
	// Within any Window, at most Share times the number of the service's first attempts,
	// plus Extra, may reach a second server.
	Share  float64
	Extra  float64
	Window time.Duration
}

// Cold limits the requests that a cold server may get in any second: Overshoot times the
// cold_per_s of its service, plus Slack.
type Cold struct {
	Overshoot float64
	Slack     float64
}

// Overload enables decisions by the latency objectives (aims) and priorities of routes
// while there are more requests than servers can process. The zero value disables them.
type Overload struct {
	// AdmitWithCalls admits a request only if there is headroom for the calls that it
	// will make, too.
	AdmitWithCalls bool
	// ByAim lets gates order and refuse requests by when their answers are due.
	ByAim bool
	// DetectCallerRetries distinguishes retries by callers from first attempts.
	DetectCallerRetries bool
}

// Quotas says by how much tenants' quotas may be exceeded over all nodes, within any
// period of length Window.
type Quotas struct {
	Window time.Duration
	// Overshoot is a share of what the quota allows in a window, and Slack a number of
	// requests in addition.
	Overshoot float64
	Slack     float64
}

// Listen holds the addresses that a node listens on, each an IP address with a port.
type Listen struct {
	// Caller serves callers over HTTP.
	Caller string
	// Peer serves other nodes.
	Peer string
	// Advertise is the peer address that is advertised to other nodes; empty means Peer.
	Advertise string
	// Admin serves operators; keep it on loopback.
	Admin string
	// Metrics serves metrics only, at a port that their collector knows in advance;
	// empty serves them at Admin only.
	Metrics string
}

// Peers configures how nodes find and authenticate each other.
type Peers struct {
	// Key is the shared key of all nodes, at least MinKeyBytes bytes; empty if only the
	// network keeps others out.
	Key string
	// Seeds are peer addresses to contact while no other node is known.
	Seeds []string
	// PingAfter is how long a node with outstanding work may send no data before it is
	// pinged, and SuspectAfter how long the ping may stay unanswered before the node is
	// suspected.
	PingAfter    time.Duration
	SuspectAfter time.Duration
}

// MinKeyBytes is the minimum length of the shared key.
const MinKeyBytes = 32

// Platform configures the access to the platform.
type Platform struct {
	Address string
	// CallTimeout limits each call.
	CallTimeout time.Duration
	// InForceWithin is the time after its acceptance within which a change must be in
	// force at every node.
	InForceWithin time.Duration
	// Evacuations is set if availability zones may be evacuated. Watching for
	// evacuations takes additional calls.
	Evacuations bool
	// KeysInForceWithin is the time after its acceptance within which a change of keys
	// must be in force at every node, including those that have not received it: a node
	// that may not have the newest keys then refuses requests with keys. With 0, such a
	// node continues with the keys that it has.
	KeysInForceWithin time.Duration
}

// Limits limit what callers may ask of a node.
type Limits struct {
	// HeaderBytes limits the head of a request.
	HeaderBytes int
	// BodyBytes limits the body of a request.
	BodyBytes int
	// Connections limits the number of open connections from callers.
	Connections int
	// IdleTimeout is how long a caller's connection may wait for its next request.
	IdleTimeout time.Duration
	// BodyIdleTimeout is how long the transfer of a body may make no progress.
	BodyIdleTimeout time.Duration
	// MaxDeadline limits the deadline that a caller may request.
	MaxDeadline time.Duration
	// StopTimeout limits the duration of a planned stop.
	StopTimeout time.Duration
}

// Distance describes the cost of sending requests to other zones and regions.
type Distance struct {
	// Zone and Region are the usual round-trip times to another zone and another region
	// in addition to that within a zone.
	Zone   time.Duration
	Region time.Duration
	// LatePerMB is the number of late requests that cost as much as a megabyte sent
	// between zones.
	LatePerMB float64
	// Factor is the factor by which a server in another zone is assumed to be slower. It
	// stands for the cost of the path to the other zone apart from its round-trip time.
	Factor float64
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
	// SampleEvery is how many successful requests there are for each one that is logged;
	// 0 logs none.
	SampleEvery int
	// LinesPerSecond limits the lines of the decision log.
	LinesPerSecond int
}

// Experiment disables or changes features for comparisons and tests. The zero value is
// for production.
type Experiment struct {
	// ClockStep is added to the time of day that the node reads.
	ClockStep       time.Duration
	Balance         balance.Options
	NoRetries       bool
	NoHedges        bool
	AdaptiveLimit   bool
	NoDeadlineBound bool
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Peers:    Peers{PingAfter: 20 * time.Millisecond, SuspectAfter: 60 * time.Millisecond},
		Platform: Platform{CallTimeout: 2 * time.Second, InForceWithin: 2 * time.Second, Evacuations: true},
		Limits: Limits{
			HeaderBytes:     16 << 10,
			BodyBytes:       128 << 20,
			Connections:     4096,
			IdleTimeout:     5 * time.Second,
			BodyIdleTimeout: 30 * time.Second,
			MaxDeadline:     10 * time.Minute,
			StopTimeout:     30 * time.Second,
		},
		Distance: Distance{Zone: time.Millisecond, Region: 30 * time.Millisecond, Factor: 1, LatePerMB: 0},
		Cold:     Cold{Overshoot: 1},
		Quotas:   Quotas{Window: time.Second, Overshoot: 0.1, Slack: 1},
		Sidecar:  Sidecar{SlotShare: 1, CallSlotShare: 1},
		Log:      Log{Level: "info", SampleEvery: 1000, LinesPerSecond: 100},
	}
}
