// SPDX-License-Identifier: MIT

// Package load generates open-loop load: it sends requests to a site on a schedule
// that does not depend on the answers, and counts outcomes and latencies.
//
// Arrivals are a Poisson process drawn from the plan's seed. Latency is measured
// from the time at which a request was scheduled to be sent, so that a stall counts
// in the latency of every request that was due during it.
package load
