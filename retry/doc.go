// SPDX-License-Identifier: MIT

// Package retry decides whether an entry sends a request again.
//
// A request that was refused, and so was not run, may go to another server
// whether it is repeatable or not. A failed one may go again only when it is
// repeatable. Every retry is paid from a [Budget] for each service: a share of
// the fresh requests with a small floor, so that a failing service gets few
// more requests than it would without retries.
//
// With calls several deep, only the hop next to a failure retries: an answer
// marked with no-retry, and a service whose every gate refuses for overload,
// is passed up at once. That keeps the load from multiplying along the chain.
//
// The package imports no network and reads no clock.
package retry
