// SPDX-License-Identifier: MIT

// Package admit decides at one backend server's gate which requests go to the
// server, which wait and which are refused.
//
// The gate is the only way to its server, so its count of requests in flight
// is exact and its limit holds for all callers together: there is nothing to
// share out between entries.
//
// # A request's life
//
//	Received → Queued → Dispatched → Answered
//	        ↘        ↘
//	         Refused  Refused
//
// [Queue] holds this state machine. A ticket leaves Queued exactly once, by
// dispatch or by refusal, under the caller's one lock; that is why "not run"
// can be promised: nothing refused is ever dispatched.
//
// # Limits
//
// The row's slots are the ceiling. [Limit] lowers the limit when the server
// slows down without answering more, and raises it again. The queue is bounded
// by what can still meet its deadline at the measured rate of answers. Under
// overload, urgent requests go first and, within a priority, the newest, since
// the oldest have the least chance left.
//
// Where tickets tell when their answers are due and what they take, what can still be in
// time goes before what can only be late, nothing begins that can't end before its
// deadline, calls keep slots while they wait too long, and the least urgent levels are
// turned away while more urgent ones find no room (docs/design/scheduling.md).
//
// The package imports no network and reads no clock.
package admit
