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
	// Method, URI and Body are what was sent.
	Method, URI, Body string
	// Repeatable says that the route allows the request to run again.
	Repeatable bool
	// Since is the version that introduced the route, for requests that only
	// show which configuration is in force; 0 for others.
	Since int
	// Key is the caller's, as a request has it; KeyOf is the version that alone has it, 0
	// if all have, and Improper says that the request may be rejected for its key.
	Key      string
	KeyOf    int
	Improper bool
	// DeadlineMs is how long the caller says that it waits.
	DeadlineMs int
	// Began is when its first byte was written, Sent when its last was, and Done when its
	// end was known.
	Began, Sent, Done time.Time
	Reply             emulator.Reply
	// Behind says that it was sent behind another one on its connection that had not been
	// answered.
	Behind bool
	// Left says that the caller closed its connection before an answer.
	Left bool
}

// limit is how long the caller says that it waits; as long as they usually do if it does not.
func (c *Call) limit() time.Duration {
	if c.DeadlineMs == 0 {
		return deadlineMs * time.Millisecond
	}
	return time.Duration(c.DeadlineMs) * time.Millisecond
}

// Arrival is a request as it reached a backend server.
type Arrival struct {
	emulator.Arrival
	Server string
	Host   int
}

// Ack is a node's word that a backend server's leaving is known.
type Ack struct {
	Server string
	Host   int
	At     time.Time
}

// Version is a configuration and when the store took it.
type Version struct {
	Serial int
	// Sent is when it was on its way to the store and At when the store had it.
	Sent, At time.Time
	// Moving is the service of the route that moves with every version.
	Moving string
}

// Evacuation is a time in which the servers of a zone were to get nothing.
type Evacuation struct {
	Zone string
	// From is when the store had it and To when it was taken back.
	From, To time.Time
}

// Cold is the most requests that came to a backend server in a second while it was
// cold.
type Cold struct {
	Server string
	Most   int
}

// Span is a time during which something was done to a host, or to all.
type Span struct {
	// Host is a host's number or Everywhere.
	Host      int
	From, To  time.Time
	Kind      Kind
	Unplanned bool
}

// Everywhere stands for all hosts.
const Everywhere = -1

// Life is one process of a node.
type Life struct {
	Host       int
	From, To   time.Time
	Unexpected string
}

// History is all that a run has seen.
type History struct {
	// Services are the hosts' services.
	Services []string
	// Tenants says that the configuration had tenants.
	Tenants  bool
	Calls    []Call
	Arrivals []Arrival
	Acks     []Ack
	Versions []Version
	// Zones are the hosts' zones.
	Zones       []string
	Evacuations []Evacuation
	Cold        []Cold
	Spans       []Span
	// Silences are those of all hosts at once.
	Silences []SilenceOfAll
	// Weak are times in which servers took less, though nothing was done to nodes.
	Weak  []Span
	Lives []Life
	// Attempts is how many servers a request of any route may come to.
	Attempts int
	// Healed says that all hosts served again in time after the last fault.
	Healed bool
	// Unhealed says what did not.
	Unhealed string
}

// Bounds are the times that the promises name.
type Bounds struct {
	Contact, Drain, Apply, Rollback, LossSlack time.Duration
	// Timeout is when the routes want a request answered.
	Timeout time.Duration
	// EndSlack is how long after a caller's time is up the end of its request may come.
	EndSlack time.Duration
	// RetryShare and RetryExtra bound what reaches a second server within
	// RetryWindow.
	RetryShare  float64
	RetryExtra  int
	RetryWindow time.Duration
	// Evacuate is when nothing may come to an evacuated zone any more.
	Evacuate time.Duration
	// Crashes is how many servers a request may crash while nodes remember, also those out
	// of touch.
	Crashes int
	// CrashesAgain is how often a request that has crashed three servers may come to more.
	CrashesAgain int
	// ColdMost is the most that a cold server may get in a second.
	ColdMost int
	// ServedDuring and ServedAfter are the least shares of requests served within
	// their deadline, of those sent within Silent of a silence of all hosts and in
	// serviceAfter from then.
	Silent                    time.Duration
	ServedDuring, ServedAfter float64
	// ServedFirst and ServedRepeatable are the same for repeatable requests sent in the
	// second after the silence and within Silent of it.
	ServedFirst, ServedRepeatable float64
	// Denied and DeniedShare bound the proper requests that hosts in touch reject as
	// wrong, as a number and as a share of all requests; DeniedUnknown those that
	// other hosts take for unknown or not allowed.
	Denied        int
	DeniedShare   float64
	DeniedUnknown int
}

// UsualBounds are those of the users' small deployments.
func UsualBounds() Bounds {
	return Bounds{
		Contact:     3 * time.Second,
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
		// The most of 20 seeds are 3; with what is known taken out, 17 to 25.
		Crashes:      8,
		CrashesAgain: 3,
		ColdMost:     coldPerSecond*coldOvershoot + coldSlack,
		Silent:       3 * time.Second,
		// A quarter served is what the users hold after disturbances.
		ServedDuring: 0.25,
		ServedAfter:  0.25,
		// The least of 52 seeds are 58% (of all requests) and 88%.
		ServedFirst:      0.5,
		ServedRepeatable: 0.8,
		Denied:           5,
		DeniedShare:      1.0 / 500,
		DeniedUnknown:    10,
	}
}

// Violation is a broken promise.
type Violation struct {
	// Promise is its name in docs/PROMISES.md.
	Promise string
	At      time.Time
	Detail  string
}
