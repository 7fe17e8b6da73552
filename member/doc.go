// SPDX-License-Identifier: MIT

// Package member keeps a node's view of the cluster: which nodes exist, at which addresses,
// and whether they are leaving.
//
// # Records
//
// Each node is the author of its own [Record]. A record with a higher incarnation replaces
// one with a lower incarnation. Within an incarnation the state only advances, from Live to
// Leaving to Gone. Records may therefore arrive late, repeatedly and in any order.
//
// The incarnation is the start time of the node's process in Unix milliseconds. A new host
// at the address of an old one, or with its name, has a new incarnation and inherits nothing
// from the old one. A node that receives a record of its own name with a higher incarnation
// has been replaced if the record has another address. Otherwise the record is from an
// earlier process of this node, before the clock was set back, and the node raises its own
// incarnation above it.
//
// # Liveness
//
// Nodes do not report to each other which nodes are unreachable, because a host is often
// unreachable only from some others. Each node records for itself which nodes it could not
// reach and queries them less often. A node that sends requests detects a failed node by its
// own connection to it.
//
// # Comparing views
//
// Records are distributed over [Buckets] by the hash of their host. Two nodes compare one
// hash of all records, then one hash per bucket, then the [VersionEntry] of each record in
// the buckets that differ, and send each other the records that the peer lacks.
//
// The package does not use the network and does not read the clock.
package member
