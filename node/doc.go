// SPDX-License-Identifier: MIT

// Package node is the one process of the system: an entry for callers, a gate
// for each backend server of its host, and its part in spreading the table.
//
//	n, err := node.New(settings, log, node.Options{Store: client})
//	if err != nil { ... }
//	err = n.Run(ctx) // Returns after a planned stop once ctx ends.
//
// New opens the listeners, so that addresses with port 0 are known before Run.
//
// # A planned stop
//
// When ctx ends the node says that it is leaving, its gates refuse new work as
// not run, and its entry serves whatever still arrives, with Connection:
// close. Callers were told how long an idle connection is kept, and it is kept
// a second longer than that, so nobody who honours it meets a closed one. The
// node ends when nothing is left, or at the stop's bound.
package node
