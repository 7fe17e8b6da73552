// SPDX-License-Identifier: MIT

// Package wire defines the messages between nodes and their frames.
//
// # Frames
//
// A frame is a length in four bytes, big endian, then that many bytes of
// msgpack: the message's [Kind] and the message itself as an array of its
// fields. Fields are only ever added at the end, so that an older node can
// skip them.
//
// # Life of a request
//
// The entry sends [Request] and, for a long body, [Data]. The gate answers
// with exactly one of [Response], [Refusal] or [Reset]. A Refusal is the only
// message that says that a request was not run. [Credit] returns room for
// body bytes, so that one slow reader holds up only its own request. The entry
// may send [Cancel] at any time and still waits for the gate's word.
package wire
