// SPDX-License-Identifier: MIT

// Package age determines how long ago the caller of a request first sent it, so that
// retries after a refusal can be distinguished from first attempts.
//
// A caller states in each request how long it will wait for the answer (the stated
// timeout); when it retries after a refusal, it states what is left of that time. There
// are two ways to determine the age of a request:
//
//   - [UnservedRequests] stores the requests that a node has not served, by a hash of the
//     request and by the caller's deadline. The deadline is the same for all attempts of a
//     request, so a request that matches a stored one is its next attempt, and its age is
//     known.
//   - [TimeoutHistogram] learns which timeouts the first attempts on a route state. A request
//     that states less than the nearest of them is at least as old as the difference,
//     whichever node received its earlier attempts.
//
// Both are lost when their node stops. Until they are filled again, requests count as first
// attempts. All times must come from a monotonic clock.
package age
