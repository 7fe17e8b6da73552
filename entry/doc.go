// SPDX-License-Identifier: MIT

// Package entry takes callers' requests and sends each to the gate of a
// backend server.
//
// # One request
//
// [Entry.Handle] reads what the caller wants (service, budget, whether it is
// repeatable), then makes attempts: pick a server, send, wait for the head of
// the answer. Every attempt ends in one retry.Outcome, and package retry says
// whether another may follow. Nothing here waits for the platform; the table
// and the nodes' addresses are the newest that the node holds.
//
// # What a caller is told
//
// "not-run" is said only when a gate refused the request or when not one byte
// of it left the entry. Everything else without a whole answer is "unknown".
// An answer whose body breaks off ends as a broken transfer, never as a
// complete one.
//
// # A body that may have to be sent again
//
// A gate gives no credit for body bytes before it dispatches, so until then
// at most peer.Window bytes have left the caller, and the entry keeps just
// these. A refusal can therefore always be followed by another attempt.
package entry
