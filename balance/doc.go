// SPDX-License-Identifier: MIT

// Package balance picks the backend server for a request at the entry.
//
// # Input
//
// An entry knows exactly how many requests it has outstanding at each server. It also
// knows the load of each gate as of the gate's last report, which arrives with every
// answer at no extra cost. The first number covers only the entry's own requests, the
// second is out of date. [Pool] adds them up: the part of a report that is due to other
// entries decays with its age, and the entry's own part is always current. A server
// that has work from this entry and has answered nothing for longer than usual counts
// as slow at once, since no report from it can be on its way.
//
// # Choice
//
// Two servers are drawn at random, those nearby and those with a large weight more
// often, and the one with the shorter expected time is picked. If an entry looked at
// all servers instead, all entries would send to the same one while its report is out
// of date. More servers are drawn where the servers report how slow they are, since
// such reports are recent.
//
// # Failing servers
//
// Failures lengthen a server's expected time, so that one that fails fast does not
// look idle. A server that keeps failing is ejected for a while. At most half of a
// service's servers are ejected at a time, and a returning server starts with a small
// share of its work.
//
//	server := pool.Pick(now, rng, nil)
//	pool.Sent(now, server)
//	// send the request, wait for its answer
//	pool.Ended(now, server, result)
//
// The package does no network I/O and reads no clock: callers pass the current time.
package balance
