// SPDX-License-Identifier: MIT

// Package blame identifies requests that crash the backend servers that run them, so that
// nodes stop sending them.
//
// # Identifying repeated requests
//
// A caller that got no response may retry at any node and under another request ID. A
// [Fingerprint] covers what all attempts of one request have in common.
//
// # Telling the cause from bystanders
//
// When a server's process exits, every request that it was running becomes [Suspect]: any
// of them may have been the cause. Suspects run on one server at a time and never two on
// the same server, so that the next exit shows which of them caused it. A request that was
// in flight at two exits, at one of them as the only suspect, becomes [Blamed] and is not
// run for a backoff period. Any request that a server answers becomes [Clear] again. Exits
// that no request causes (kills, power failures, releases) therefore lead to no blame,
// unless they hit the same request twice in a row before it is answered.
//
// # Sharing records between nodes
//
// A [Record] identifies each exit, so that records can be merged in any order and any
// number of times. A higher epoch replaces what was recorded before an answer. Records are
// soft state: their number is bounded and they expire, which also lifts the blame.
//
// The package does no network I/O and does not read the clock.
package blame
