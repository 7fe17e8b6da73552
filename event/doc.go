// SPDX-License-Identifier: MIT

// Package event defines the lines of a node's decision log, one type for each kind of
// line, and writes them.
//
// # Sampling
//
// A request that failed, was refused, was retried or missed its latency objective (aim)
// is always logged. The other requests are sampled by a hash of the request ID, so that
// all nodes log the same requests and the lines of the entry and the gate can be joined.
//
// # Limits
//
// A [Recorder] writes at most a configured number of lines per second and counts those
// that it drops. A [Sink] accepts lines without waiting for the reader of the output:
// lines that do not fit its buffer are dropped, counted, and reported as soon as the
// output accepts data again.
package event
