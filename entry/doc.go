// SPDX-License-Identifier: MIT

// Package entry accepts callers' requests and sends each of them to the gate of a
// backend server. A node is the load balancer's process on a host; its gate schedules the
// requests for the backend server on that host.
//
// # How a request is handled
//
// [Entry.Handle] reads the request's service and deadline and whether it may be repeated.
// Then it makes attempts: it picks a server, sends the request, and waits for the head of
// the answer. Every attempt ends in one retry.Outcome, and package retry decides whether
// another attempt may follow. Handling a request never waits for the platform; the table
// and the nodes' addresses are the newest that the node has.
//
// # Outcomes reported to callers
//
// A request is reported as "not-run" only if a gate refused it, or if it is known that it
// never reached a gate. Every other request without a complete answer is reported as
// "unknown". An answer whose body breaks off ends as a broken transfer, never as a
// complete one.
//
// # A body that may have to be sent again
//
// A gate gives no credit for body bytes before it dispatches the request. Until then at
// most peer.Window bytes have left the entry, and the entry still has them in its buffer. After
// a refusal, another attempt is therefore always possible.
package entry
