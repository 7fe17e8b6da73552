// SPDX-License-Identifier: MIT

// Package wire defines the messages that nodes exchange and how they are framed.
//
// # Frames
//
// A frame is a four-byte big-endian length followed by that many bytes of msgpack: the
// message's [Kind], then the message itself as an array of its fields. The codec rejects
// an array with a different number of fields, and a node rejects a kind that it does not
// know. An extension of the protocol is therefore a new kind, which is sent only to nodes
// whose [Challenge] has a version that supports it.
//
// [Supports] tells the accepting node, in turn, what the dialing node supports.
//
// # Exchange of a request
//
// The entry sends [Request] and, if the body is long, [Data]. The gate replies with
// exactly one of [Response], [Refusal] and [Reset]. Refusal is the only message that
// guarantees that the request was not run. [Credit] allows the peer to send more body
// bytes, so that a slow reader delays only its own request. The entry may send [Cancel]
// at any time and still waits for the gate's reply. With [Withdraw] it only asks the gate
// not to start the request if it has not started yet.
//
// # Scheduling
//
// A [Request] to a node that supports [VersionRequirements] carries [Requirements]: when
// its response is due and how much work it takes. A gate sends [Headroom] to the nodes
// that have sent it Requirements, which reports for which requests its server has
// capacity left.
//
// # Replacing a stalled connection
//
// With [Fence] the dialing node reports, on a new connection, that an older connection
// is stalled. [Fenced] lists the requests that had not arrived there and so were not run;
// the responses to the others are sent on the new connection.
package wire
