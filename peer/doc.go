// SPDX-License-Identifier: MIT

// Package peer carries requests and queries between nodes.
//
// # Connections
//
// A node holds at most one connection to each other node that it sends work to. It opens
// the connection when it first needs it and closes it after a time without use. The
// dialing side sends requests; the accepting side answers them. Before any other frame is
// read, both sides prove that they have the shared key, by an HMAC-SHA-256 over the nonces
// of both.
//
// # Requests
//
// [Conn.Start] begins a [Call] at the entry; the gate's [Handler] gets a [Stream]. Request
// IDs are never reused on a connection, and frames for a request that has ended are
// dropped and counted. Bodies are subject to flow control with a window per request, so a
// slow reader delays only its own request.
//
// # Unresponsive nodes and stalled connections
//
// [Conn.Check] pings a peer that has outstanding work and from which nothing is received,
// and suspects it when the ping stays unanswered. [Conn.Suspected] wakes everything that
// waits for the peer. A node that was itself paused suspects no peer in that round, since
// the missing data may only be unread.
//
// A node that is suspected is contacted on a second connection at once. If it responds
// there, the first connection is stalled, and not the node. A [wire.Fence] notifies the peer
// to take no more requests from the stalled connection. Requests that had not arrived end
// with [ErrNotArrived]; requests that had arrived are answered on the new connection, also
// if their answers were already sent on the stalled one. Requests with bodies in transfer
// stay on the old connection for one second, in case it recovers. If one of the two builds
// does not know fences, everything in flight ends with [ErrStalled] after that second.
// Then all other connections are probed ([Dialer.Recheck]).
//
// # Age of a request
//
// Each request carries the monotonic time at which it was sent. The accepting side takes
// the smallest difference to its own clock as the network delay, and anything above it as
// time during which the request waited unread. So a gate that was paused knows, once it
// runs again, that a request in its socket buffer has exceeded its time budget, although
// the clocks of the hosts do not agree. The age is known only as a range, which is as wide
// as the handshake took if that was slow. [Stream.Deadline] is computed from the greatest
// possible age and [Stream.Expiry] from the smallest.
package peer
