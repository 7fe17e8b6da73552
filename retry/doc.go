// SPDX-License-Identifier: MIT

// Package retry decides whether an entry sends a request again.
//
// A request that was refused, and so was not run, may go to another server
// whether it is repeatable or not. A failed one may be retried only when it is
// repeatable. Each service has a [Budget] that every retry takes tokens from: a
// share of the fresh requests (first attempts), and a small number each second.
// So a failing service gets few more requests than it would without retries.
//
// In a chain of calls, only the hop next to a failure retries: an answer with
// the no-retry flag is passed up at once, and so is the refusal when every gate
// of a service is overloaded. That keeps retries from multiplying the load along
// the chain.
//
// The package does no network I/O and reads no clock: callers pass the current time.
package retry
