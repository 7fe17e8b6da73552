// SPDX-License-Identifier: MIT

// Package load sends requests to a site at a fixed schedule of arrivals and
// gathers what callers saw.
//
// Arrivals are a Poisson process drawn from a printed seed. They do not wait
// for answers, and latency is counted from the moment at which a request was
// to be sent, so that a stall is seen by every request that falls into it.
package load
