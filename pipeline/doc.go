// SPDX-License-Identifier: MIT

// Package pipeline runs the requests of a caller that uses HTTP/1.1 pipelining (RFC 9112
// section 9.3.2) concurrently. Run one after the other, the last of eight requests of 100
// ms each would get its answer after 800 ms. The answers are still sent in the order of
// the requests.
//
// A [Conn] reads ahead once its caller has sent a request before it got the answer to the
// previous one, and starts those requests that may run more than once. Those behind a request
// with a body are started once that has been answered, since its answer may close the
// connection. The HTTP library
// still reads each request in order; [Conn.Take] finds a started request by comparing the
// complete request head, so that an answer never goes to another request, whatever a
// caller sends.
package pipeline
