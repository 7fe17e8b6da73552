// SPDX-License-Identifier: MIT

// Package announce decides which backend server stands beside a node, from
// what the servers say of themselves.
//
// # Lives
//
// Each start of a server has an ID of its own that never returns. A [Registry]
// holds one current server. Another ID replaces it, and an ID that was replaced
// or has left never becomes current again, so that an announcement that
// arrives late does not bring back a server that is gone.
//
// # Order
//
// Announcements of one ID carry a number that rises with each; an older one
// changes nothing. The state only rises: ready, draining, gone.
//
// An ID that was never heard of may be older than the current one all the same, where
// the node has started anew in between. [Registry.Disputes] names such announcements;
// who answers at the address decides.
//
// # A node that starts anew
//
// A Registry starts empty. [Registry.Remember] takes what other nodes remember
// of it. A leaving that was acknowledged before binds also afterwards; a server
// that others remember as ready is current until it says otherwise. Where nobody
// remembers, [Registry.Found] takes the server that answers at the address.
//
// The package imports no network and reads no clock.
package announce
