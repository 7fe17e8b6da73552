// SPDX-License-Identifier: MIT

package wire

// Reason is the reason for which a request was refused, usually by a gate.
type Reason uint8

// The reasons of refusals. All of them mean that the request was not run. The numbers are
// part of the protocol.
const (
	// ReasonOverload: the server works on as many requests as its limit allows, and the
	// request cannot be queued.
	ReasonOverload Reason = 1
	// ReasonDraining: the gate accepts no new requests.
	ReasonDraining Reason = 2
	// ReasonDeadline: the deadline passed before the request was sent to the server.
	ReasonDeadline Reason = 3
	// ReasonCanceled: the entry canceled or withdrew the request before it was sent to the
	// server.
	ReasonCanceled Reason = 4
	// ReasonNoServer: the node has no such server, or another server answered in its place.
	ReasonNoServer Reason = 5
	// ReasonShed: the server itself refused the request without running it.
	ReasonShed Reason = 6
	// ReasonConnect: no connection to the server could be opened.
	ReasonConnect Reason = 7
	// ReasonSlow: the server is slower than the entry had estimated.
	ReasonSlow Reason = 8
	// ReasonCold: the server is cold and has been sent as many requests as its cold rate
	// allows.
	ReasonCold Reason = 9
	// ReasonSuspect: servers have crashed while they ran the request, and another suspect
	// request is running.
	ReasonSuspect Reason = 10
	// ReasonBlamed: servers have crashed because of the request, and it is not run for some
	// time.
	ReasonBlamed Reason = 11
	// ReasonShare: the request's tenant has used more than its share of a server that lacks
	// capacity; requests of tenants that have used less are still queued.
	ReasonShare Reason = 12
	// ReasonLate: if started now, the request would end after its deadline, or it would miss
	// its aim and requests that can still meet theirs need the server.
	ReasonLate Reason = 13
	// ReasonCalls: there is no headroom for the calls that the request would make. The entry
	// refuses such requests without sending them to a gate.
	ReasonCalls Reason = 14
	// ReasonRateLimit: the server has been sent as many requests as the limit allows that it
	// reports.
	ReasonRateLimit Reason = 15
	// ReasonUndecodable: the message of the request could not be decoded.
	ReasonUndecodable Reason = 16
)

// ReasonCount is the length of an array that is indexed by Reason.
const ReasonCount = 17

var reasonNames = map[Reason]string{
	ReasonOverload: "overload",
	ReasonDraining: "draining",
	ReasonDeadline: "deadline",
	ReasonCanceled: "canceled",
	ReasonNoServer: "no-server",
	ReasonShed:     "shed",
	ReasonConnect:  "connect",
	ReasonSlow:     "slow",
	ReasonCold:     "cold",
	ReasonSuspect:  "suspect",
	ReasonBlamed:   "blamed",
	ReasonShare:    "share",
	ReasonLate:     "late",
	ReasonCalls:    "calls",

	ReasonRateLimit:   "rate-limit",
	ReasonUndecodable: "undecodable",
}

// Full reports whether the server had no capacity for the request, so that another server,
// or the same one a little later, may accept it.
func (r Reason) Full() bool {
	switch r {
	case ReasonOverload, ReasonShed, ReasonCold, ReasonShare, ReasonLate, ReasonRateLimit:
		return true
	}
	return false
}

// String returns the reason's name in header fields and metrics.
func (r Reason) String() string {
	if name, ok := reasonNames[r]; ok {
		return name
	}
	return "unknown"
}
