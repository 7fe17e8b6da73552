// SPDX-License-Identifier: MIT

// Package node assembles the system's process, of which one runs on each host: an entry for
// callers, a gate for each backend server of the host, and the exchange of the table and
// of member records with other nodes.
//
//	n, err := node.New(settings, log, node.Options{Store: client})
//	if err != nil { ... }
//	err = n.Run(ctx) // Returns after a planned stop once ctx ends.
//
// New opens the listeners, so that addresses with port 0 are known before Run.
//
// # Planned stop
//
// When ctx ends, the node announces to other nodes that it is leaving, its gates refuse new
// requests as not run, and its entry serves the requests that still arrive, with
// Connection: close. The Keep-Alive field of earlier answers says how long an idle
// connection is kept. The node keeps it a second longer, so that a caller that honors the
// field never sends a request on a closed connection. The node ends when no request is
// pending, or when the stop timeout is reached.
package node
