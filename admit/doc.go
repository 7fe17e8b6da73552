// SPDX-License-Identifier: MIT

// Package admit decides at the gate of one backend server which requests are
// sent to the server, which wait and which are refused.
//
// The gate is the only way to its server, so its count of requests in flight
// is exact and its limit holds for all callers together. Entries need not
// divide the limit among themselves.
//
// # States of a request
//
//	Received → Queued → Dispatched → Answered
//	        ↘        ↘
//	         Refused  Refused
//
// [Queue] holds this state machine. A ticket leaves Queued exactly once, by
// dispatch or by refusal, under the caller's one lock. Nothing that was refused
// is ever dispatched, so a refused request can be reported as not run.
//
// # Terms
//
// A call is a request that a backend server sends while it runs another
// request; all others are client requests. A request's level is its rank by
// urgency: calls, then the priorities. Its latency objective (aim) is when its
// answer should arrive; after its deadline nobody waits for the answer.
//
// # Limits
//
// The configured slots of the server are the highest limit. [Limit] lowers the
// limit when the server slows down without answering more, and raises it again.
// A request is queued only if it can meet its deadline at the present rate of
// answers. Under overload, urgent requests go first and, within a priority, the
// newest, since the oldest are the least likely to be in time.
//
// If tickets have an aim and the work that they take is known, those that can
// meet their aim go before those that cannot, and none begins that would end
// after its deadline. Slots are reserved for calls while these wait too long,
// and the least urgent levels are rejected while more urgent ones find no slot
// (docs/design/scheduling.md).
//
// The package does not use the network and does not read the clock.
package admit
