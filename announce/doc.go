// SPDX-License-Identifier: MIT

// Package announce decides which backend server runs on a node's host, from the announcements
// that servers send about themselves.
//
// # Incarnations
//
// An incarnation of a server is identified by the server's ID and its start time
// (member.ServerIncarnation), since a server may restart under its ID. A [Registry] holds
// one current incarnation. It is replaced by one with another ID, or by one with the same ID
// and a later start, whatever their sequence numbers are. An incarnation that was replaced
// or has left never becomes current again, and neither does one of its ID that started
// earlier, so that a delayed announcement does not bring back a server that is gone.
//
// If a server's clock was set back between two incarnations, the new one has an earlier
// start time than the old one. It is accepted if it keeps announcing itself while nothing is
// received from the old one.
//
// # Order
//
// The announcements of an incarnation carry an increasing sequence number; an older
// announcement changes nothing, unless it says that the server drains. An incarnation's state
// only advances: ready, draining, gone.
//
// An ID that the node has not received before may still be older than the current one, if
// the node has restarted in between. [Registry.Disputes] detects such announcements; the
// server that answers at the address decides which one is current.
//
// # Restart of a node
//
// A Registry starts empty. [Registry.Restore] takes what other nodes have stored about this
// node's server. A departure that the node acknowledged before its restart remains in
// force. If no other node has stored anything, [Registry.Adopt] takes the server that
// answers at the address.
//
// A server may have left since other nodes stored its record, and its last announcement may
// arrive late, after its departure was acknowledged by a process of the node that has ended.
// With [Registry.MustConfirm], a server that seems to be ready is therefore not current until
// it has been asked.
//
// The package does no network I/O and does not read the clock.
package announce
