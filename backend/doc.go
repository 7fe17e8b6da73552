// SPDX-License-Identifier: MIT

// Package backend speaks HTTP/1.1 to one backend server for its gate.
//
// A connection carries one request at a time, and an [Exchange] owns it, so
// that an answer can only be that request's own and cancelling is closing the
// connection. The package never sends a request twice by itself.
//
// # Connections that the server may have closed
//
// A kept connection can be closed by the server at the moment a request is
// written to it, and then nobody knows whether the request ran. A request that
// must run at most once therefore gets a connection that is made for it, which
// costs about a millisecond. None is opened ahead: a connection at rest may fall
// silent as well as one that was used. Repeatable requests use kept connections,
// after a look whether the server has closed them.
package backend
