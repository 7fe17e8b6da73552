// SPDX-License-Identifier: MIT

// Package gate controls all requests to one backend server.
//
// Each backend server has one [Gate], on its own host, and requests reach the server only
// through it. An entry, the part of a node that accepts requests from callers, sends a request
// to the gate of the server that it has chosen. The gate asks an admit.Queue whether to run,
// queue or refuse the request, sends the dispatched ones to the server, and answers every
// request exactly once. Dispatch and cancellation are decided under one lock: a request is
// either refused as not run or handed to the server, never both.
//
// # Cancellation
//
// A request that is cancelled before its first byte is sent to the server is refused. After
// that, a repeatable request is cancelled at the server by closing its connection. One that is
// not repeatable is left to finish, because interrupting it could leave its work half done. In
// both cases the entry learns at once that the request was handed over.
package gate
