// SPDX-License-Identifier: MIT

// Package event holds what a node writes to its log of decisions: one type for
// each kind of line.
//
// # Which lines
//
// A request that failed, was refused, was sent again or missed its aim is
// always written. Of those that went well a share is, chosen by a hash of the
// request's number, so that all nodes write the same ones and both hops of a
// request can be joined.
//
// # Bounds
//
// A [Recorder] writes at most so many lines a second and counts the others.
// [Sink] takes them without ever waiting for whoever reads the output: what
// does not fit its buffer is dropped, counted, and reported once there is room.
package event
