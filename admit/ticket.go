// SPDX-License-Identifier: MIT

package admit

import (
	"time"

	"github.com/ryehaven/ryehaven/table"
)

// State is the state of a request at a gate; the package comment shows the transitions.
type State uint8

// The states of a ticket.
const (
	Received State = iota
	Queued
	Dispatched
	Answered
	Refused
)

// Cause says why a ticket was refused.
type Cause uint8

// The causes of a refusal.
const (
	NoCause Cause = iota
	// Overload: it could not meet its deadline or MaxWait, its level is rejected, or the queue is
	// full.
	Overload
	// AboveShare: as Overload, but a tenant with less usage would have been queued.
	AboveShare
	// Expired: its deadline has passed.
	Expired
	// Draining: the server takes no new requests.
	Draining
	// Canceled: the entry no longer wants the answer.
	Canceled
	// Late: if it began now it would end after its deadline, or after its aim while requests
	// that can meet their aim need the slots.
	Late
)

// Ticket represents one request in a Queue. The caller sets the exported
// fields and owns the ticket; only the Queue changes its state.
type Ticket struct {
	Deadline time.Time
	// Aim is when the answer should arrive, from the route's target response time. It is
	// zero if there is no target; then Work and WorkP25 do not affect the ticket's order or
	// refusal.
	Aim time.Time
	// WorkP25 is the lower quartile of the time that such requests take at a server of usual
	// speed; 0 stands for Work.
	WorkP25 time.Duration
	// Work is the time that such requests usually take at a server of usual speed; 0 if not known.
	Work     time.Duration
	Priority table.Priority
	// Patient tickets have no other server that could take them. They wait longer: until their
	// deadline, or until MaxWait if that is set.
	Patient bool
	// Call means that a backend server sent the request while running another one, which waits
	// for it.
	Call bool
	// Tenant sent the request; blank if tenants are not distinguished. Weight is the tenant's
	// share of the server relative to the mean, which is 1; 0 stands for 1.
	Tenant string
	Weight float64
	// MaxWait bounds the time in the queue; if it is 0, the bound follows from the expected wait.
	MaxWait time.Duration
	// Value is for the caller's use, and is not read here.
	Value any

	state State
	cause Cause
	// levelRejected means that the ticket was in the rejected part of its level when offered.
	levelRejected bool
	// dispatchedLate means that it was expected to miss its aim when it was dispatched.
	dispatchedLate bool
	// inFlightAtDispatch is how many were in flight when it was dispatched, itself included.
	inFlightAtDispatch int
	offeredAt          time.Time
	dispatchedAt       time.Time
	// waitUntil is when it has waited too long in the queue; see Queue.push and Queue.overdue.
	waitUntil time.Time
}

// State returns the present state of the ticket.
func (t *Ticket) State() State { return t.state }

// Cause returns why the ticket was refused.
func (t *Ticket) Cause() Cause { return t.cause }

// levels is the number of queues in which tickets wait: one for calls, and one for each
// priority.
const levels = table.Priorities + 1

// callLevel is the level of calls.
const callLevel = 0

// level is the queue in which the ticket waits.
func (t *Ticket) level() int {
	if t.Call {
		return callLevel
	}
	return int(t.Priority) + 1
}
