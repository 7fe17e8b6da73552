// SPDX-License-Identifier: MIT

package soak

import (
	"time"

	"github.com/ryehaven/ryehaven/platform/emulator"
)

// Call is one request as its caller saw it.
type Call struct {
	ID   string
	Host int
	// Method, URI and Body are the request as sent.
	Method, URI, Body string
	// Fields are its additional header fields in the form "Name: value". Chunked is set if the
	// body was sent in chunks.
	Fields  []string
	Chunked bool
	// Repeatable is set if the route allows the request to run more than once.
	Repeatable bool
	// SinceVersion is the configuration version that introduced the route, for requests
	// that only show which version is in force; 0 for others.
	SinceVersion int `json:"Since"`
	// Key is the key that the caller sent. KeyVersion is the only configuration version
	// that has this key, 0 if all have it. MayBeRejected is set if the request may be
	// rejected because of its key.
	Key           string
	KeyVersion    int  `json:"KeyOf"`
	MayBeRejected bool `json:"Improper"`
	// DeadlineMs is the time that the caller waits, as it states in the request.
	DeadlineMs int
	// Began is when the first byte was written, Sent when the last byte was, and Done
	// when the result was known.
	Began, Sent, Done time.Time
	Reply             emulator.Reply
	// Pipelined is set if the request was sent while an earlier one on the same
	// connection had no answer yet.
	Pipelined bool `json:"Behind"`
	// Abandoned is set if the caller closed its connection before it had an answer.
	Abandoned bool `json:"Left"`
}

// timeout returns how long the caller waits: the deadline that it states, or the default.
func (c *Call) timeout() time.Duration {
	if c.DeadlineMs == 0 {
		return deadlineMs * time.Millisecond
	}
	return time.Duration(c.DeadlineMs) * time.Millisecond
}

// Arrival is a request as a backend server received it.
type Arrival struct {
	emulator.Arrival
	Server string
	Host   int
}

// Ack is a node's acknowledgement that a backend server is draining.
type Ack struct {
	Server string
	Host   int
	At     time.Time
}

// Version is a version of the configuration.
type Version struct {
	Serial int
	// Sent is when the write to the store began and At when the store had the version.
	Sent, At time.Time
	// MovingService is the service of the route that moves to another service with
	// every version.
	MovingService string `json:"Moving"`
}

// Evacuation is a period in which the servers of a zone must get no requests.
type Evacuation struct {
	Zone string
	// From is when the store had the evacuation and To when it was revoked.
	From, To time.Time
}

// ColdPeak is the largest number of requests that a backend server received within a
// second while it was cold.
type ColdPeak struct {
	Server string
	Peak   int `json:"Most"`
}

// Disturbance is a fault or planned work on one host or on all hosts.
type Disturbance struct {
	// Host is the host's number, or AllHosts.
	Host      int
	From, To  time.Time
	Kind      Kind
	Unplanned bool
}

// AllHosts is the Host of a disturbance of all hosts.
const AllHosts = -1

// NodeProcess is the period in which one process of a node ran.
type NodeProcess struct {
	Host     int
	From, To time.Time
	// Unexpected says what went wrong: the process exited or crashed by itself, did not
	// stop in time or could not be started. It is empty otherwise.
	Unexpected string
}

// History holds everything observed during a run.
type History struct {
	// Services holds the service of each host.
	Services []string
	// Tenants is set if the configuration had tenants.
	Tenants  bool
	Calls    []Call
	Arrivals []Arrival
	Acks     []Ack
	Versions []Version
	// Zones holds the zone of each host.
	Zones        []string
	Evacuations  []Evacuation
	ColdPeaks    []ColdPeak    `json:"Cold"`
	RateLimits   []RateLimit   `json:",omitempty"`
	Disturbances []Disturbance `json:"Spans"`
	// Stalls are the moments at which the connections of all hosts stalled.
	Stalls []Stall `json:"Silences"`
	// ReducedCapacity lists the disturbances that reduced the capacity of servers but did
	// not affect the nodes.
	ReducedCapacity []Disturbance `json:"Weak"`
	Processes       []NodeProcess `json:"Lives"`
	// Attempts is the number of servers that a request may be sent to, on any route.
	Attempts int
	// Recovered is set if all hosts served requests again in time after the last fault.
	Recovered bool `json:"Healed"`
	// RecoveryError says what had not recovered by then.
	RecoveryError string `json:"Unhealed"`
}

// Bounds holds the limits that the promises are checked against.
type Bounds struct {
	// Undisturbed is how long a host must have been without disturbance before a promise
	// with a time limit applies to it. Drain is the time after which a server whose drain was
	// acknowledged must get no more requests. Apply is the time after which a configuration
	// must be in force. Rollback is the time for which a node that has served a new version
	// may still apply an older one. A request that no server received may end without an
	// answer within LossSlack after it was sent.
	Undisturbed, Drain, Apply, Rollback, LossSlack time.Duration
	// Timeout is the time limit that the routes set for an answer.
	Timeout time.Duration
	// EndSlack is how long after the caller's deadline a request may end.
	EndSlack time.Duration
	// RetryShare and RetryExtra limit the requests that reach a second server within
	// RetryWindow: a share of all requests and a fixed number besides.
	RetryShare  float64
	RetryExtra  int
	RetryWindow time.Duration
	// Evacuate is the time after which an evacuated zone must get no more requests.
	Evacuate time.Duration
	// MaxCrashes is the number of servers that a request may crash, whether it is sent to
	// undisturbed or to disturbed hosts. Each time that all nodes are killed at once, and so
	// forget the request, crashesUntilKnown more are allowed.
	MaxCrashes int
	// MaxCrashesAfterKnown is how often a request may reach further servers after it has
	// crashed three and undisturbed nodes must know that.
	MaxCrashesAfterKnown int
	// MaxColdRate is the number of requests that a cold server may get within a second.
	MaxColdRate int
	// ServedDuring and ServedAfter are the minimum shares of requests that are served
	// within their deadline, of those sent within StallWindow after a stall of all hosts
	// and in the period watchAfterStall that follows.
	StallWindow               time.Duration
	ServedDuring, ServedAfter float64
	// ServedFirst and ServedRepeatable are the minimum shares of the repeatable requests
	// sent in the first second after the stall and within StallWindow after it.
	ServedFirst, ServedRepeatable float64
	// MaxRejected and MaxRejectedShare limit the valid requests that undisturbed hosts
	// reject as invalid: a fixed number and a share of all requests besides. MaxUnknown
	// limits those that disturbed hosts answer as unknown or not allowed.
	MaxRejected      int
	MaxRejectedShare float64
	MaxUnknown       int
}

// UsualBounds returns the bounds for small deployments such as those of the users.
func UsualBounds() Bounds {
	return Bounds{
		Undisturbed: 3 * time.Second,
		Drain:       2 * time.Second,
		Apply:       2 * time.Second,
		Rollback:    250 * time.Millisecond,
		LossSlack:   200 * time.Millisecond,
		Timeout:     timeoutMs * time.Millisecond,
		EndSlack:    500 * time.Millisecond,
		RetryShare:  0.2,
		RetryExtra:  58,
		RetryWindow: 10 * time.Second,
		Evacuate:    3 * time.Second,
		// Requests crash at most 3 servers while nodes share what they know about crashes, and
		// 17 to 25 when they do not.
		MaxCrashes:           8,
		MaxCrashesAfterKnown: 3,
		MaxColdRate:          coldPerSecond*coldOvershoot + coldSlack,
		StallWindow:          3 * time.Second,
		// The users require that a quarter of the requests is served after a disturbance.
		ServedDuring: 0.25,
		ServedAfter:  0.25,
		// Nodes without a fault serve at least 58% of all requests in the first second and 88% of
		// the repeatable ones within StallWindow; the floors lie below, so that only a fault
		// breaks them.
		ServedFirst:      0.5,
		ServedRepeatable: 0.8,
		MaxRejected:      5,
		MaxRejectedShare: 1.0 / 500,
		MaxUnknown:       10,
	}
}

// Violation is a broken promise.
type Violation struct {
	// Promise is the name of the promise in docs/PROMISES.md.
	Promise string
	At      time.Time
	Detail  string
}
