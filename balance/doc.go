// SPDX-License-Identifier: MIT

// Package balance picks the backend server for a request at the entry.
//
// # What is known
//
// An entry knows exactly what it has outstanding at each server, and it knows
// each gate's state as of the last answer, which carries it for free. The
// first is partial, the second is stale. [Pool] adds them: the part of a
// report that came from others decays with its age, and the entry's own part
// is always current. A server that has work from this entry and has answered
// nothing for longer than it usually takes is taken for slow at once, since
// no report of it can be on its way.
//
// # The choice
//
// Two servers are drawn at random, near ones and heavy ones more often, and
// the one with the shorter expected time wins. Looking at all servers instead
// sends every entry to the same one while its report is old; see
// docs/design/choice.md for the measurement.
//
// # Servers in trouble
//
// Failures make a server's expected time longer, so one that fails fast does
// not look idle. A server that keeps failing is ejected for a while, never
// more than half of a service, and comes back slowly.
//
//	server, ok := pool.Pick(now, rng, nil)
//	pool.Sent(now, server)
//	// send the request, wait for its answer
//	pool.Ended(now, server, result)
//
// The package imports no network and reads no clock.
package balance
