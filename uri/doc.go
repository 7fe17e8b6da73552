// SPDX-License-Identifier: MIT

// Package uri reads the target of an HTTP request without changing it.
//
// A node forwards the path and the query byte for byte, and it chooses the route by the same
// bytes. A backend server may decode and normalize the path before it acts on it. [Readings]
// returns the paths that it may arrive at, so that a node can refuse a request that would
// belong to another route then.
package uri
