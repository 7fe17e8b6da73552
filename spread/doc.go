// SPDX-License-Identifier: MIT

// Package spread brings the table and the nodes' records to every node.
//
// # Generations
//
// [Holder] keeps the newest table. A table is taken only when its generation
// is higher than the one held; the same generation with another hash, and a
// lower one, are refused and counted. Arrival order never matters.
//
// # Between nodes
//
// Each second a node exchanges digests with one node of its own zone, and by
// chance with one of another: the generation it holds, one number for all member
// records, and how long ago anyone it knows confirmed the generation with the
// platform. Where they differ, the two find out which records each lacks. On news
// a node tells a few others at once, so that a table crosses the fleet in a few
// round trips. What crosses zones grows with the zones, not with their nodes.
//
// # To the platform
//
// Two nodes of each zone, chosen by rendezvous hashing over the view, hold a
// watch. The others look at the confirmation's age: while it is young,
// somebody's watch works, and they poll rarely. When it grows old they poll
// one after the other, by rank. Platform calls thus grow with zones, not with
// nodes, and no lease or election is needed: a wrong belief about who watches
// costs one superfluous read. Nodes write nothing to the platform.
package spread
