// SPDX-License-Identifier: MIT

// Package backend sends HTTP/1.1 requests to one backend server, for the server's gate.
//
// A connection carries one request at a time, and an [Exchange] owns it meanwhile. So a
// response can only belong to that request, and closing the connection cancels just that
// request. The package never sends a request twice by itself.
//
// # Connections that the server may have closed
//
// The server may close a kept connection at the moment at which a request is written to it,
// and then it is unknown whether the request ran. A request that must run at most once
// therefore gets a new connection, which costs about a millisecond. No connections are opened
// in advance: an idle connection can become unresponsive even if it was never used. Repeatable
// requests use kept connections, after a check that the server has not closed them.
package backend
