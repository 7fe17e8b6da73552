// SPDX-License-Identifier: MIT

// Package pipeline has the requests of a caller that does not wait for answers run at the
// same time (RFC 9112 section 9.3.2). Answered one after the other, the last of eight
// requests of 100 ms waits for 800; the answers are sent in the order of the requests all
// the same.
//
// A [Conn] reads ahead once its caller was seen to send before it was answered, and begins
// what may run more than once. The HTTP library still reads every request in turn; where
// one was begun, [Conn.Take] finds it by all of its head, so that an answer never goes to
// another request, whatever a caller sends.
package pipeline
