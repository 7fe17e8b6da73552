// SPDX-License-Identifier: MIT

// Package calls learns which requests backend servers send to other services while they run a
// request, and predicts from that whether a new request could be completed.
//
// # Terms
//
// A run is the execution of one request by a backend server. A call is a request that the
// server sends during a run; the route of that run is the call's parent. All other requests are
// client requests. The latency objective (aim) of a route is the time within which its answers
// should arrive; those that do are in time.
//
// # What is learned
//
// The node on a backend server's host sees both sides of the server: at its gate the
// requests that the server is running, and at its entry those that the server sends. Neither
// side identifies the other.
// [Graph] attributes each call to the runs that may have made it, in proportion to how often runs
// of their routes make such calls (expectation maximization for a sum of Poisson processes,
// Dempster, Laird and Rubin 1977), and so learns the calls of each route. It counts only
// requests that are known to be calls; a [CallClassifier] distinguishes them from client requests.
//
// # What nodes exchange
//
// A [Record] holds what one node has learned of one route's calls to another route, in a few
// numbers. Records can be merged in any order and any number of times. A node replaces a
// record by what it has seen itself only if it has seen enough runs.
//
// # Admission
//
// [Forecast] is the probability that all calls of a request are accepted. A request that would
// probably fail is better refused before any server has run it: others can use the capacity, and
// its client may retry. The least urgent requests are refused first, as in DAGOR (Zhou et al.,
// Overload Control for Scaling WeChat Microservices, SoCC 2018) and Breakwater (Cho et al.,
// OSDI 2020). A [Throttle] always admits some of each route's requests, so that wrong
// predictions are corrected by new observations.
//
// The package does not use the network and does not read the clock.
package calls
