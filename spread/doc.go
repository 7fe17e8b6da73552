// SPDX-License-Identifier: MIT

// Package spread distributes the table, the evacuations and the nodes' records to all
// nodes.
//
// # Generations
//
// [Holder] keeps the newest table. It accepts a table only if its generation is higher
// than that of the current one. It refuses and counts tables of a lower generation, and of
// the same generation with another hash. The order of arrival never matters.
//
// # Between nodes
//
// In each round, usually once a second, a node exchanges digests with one random node of
// its own zone, and with some probability with one of another zone. A digest holds the
// generation of the node's table, one checksum of all member records, and how long ago the
// platform last confirmed the generation to any node from which the confirmation has
// reached this one. If the digests differ, the two nodes determine which records each
// lacks and send them. After a change, a node contacts several others at once, so that a
// table reaches all nodes within a few round trips. The traffic between zones grows with
// the number of zones, not with the number of nodes.
//
// # To the platform
//
// Two nodes of each zone, chosen by rendezvous hashing over the view, hold a watch. The
// others check the age of the last confirmation. While it is young, some node's watch
// works, and they poll rarely. When it is old, they poll one after the other, in the order
// of their ranks. The number of calls to the platform thus grows with the number of zones,
// not of nodes. No lease or election is needed: if nodes disagree about who watches, this
// only costs a superfluous read. Nodes write nothing to the platform except entries in its
// list of hosts, and only if they are set to register.
package spread
