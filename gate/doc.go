// SPDX-License-Identifier: MIT

// Package gate stands beside one backend server and is the only way to it.
//
// [Gate] takes requests from entries, asks an admit.Queue what to do with
// each, runs the dispatched ones against the server, and answers every one
// exactly once. Its lock is the one place where dispatch and cancellation
// meet: a request is either refused as not run or handed to the server, never
// both.
//
// # What may be cancelled
//
// Until the first byte goes to the server, a cancelled request is refused.
// After that a repeatable one is cancelled at the server by closing its
// connection, and one that is not repeatable is left to finish, since half a
// restart helps nobody; either way the entry hears at once that the request
// was handed over.
package gate
