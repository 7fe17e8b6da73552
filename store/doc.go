// SPDX-License-Identifier: MIT

// Package store reads and writes objects in the platform's object store.
//
// [Client] contains the operations that nodes need: get, conditional put, and a get that
// waits for a change. [HTTP] implements them over HTTP with standard semantics: entity tags
// and If-Match of RFC 9110, and Prefer: wait of RFC 7240 for the get that waits.
//
// A write has three possible results. Without an error it took effect. [ErrConflict] and
// [ErrUnavailable] mean that it did not. [ErrUnknown] means that it may have taken effect,
// because its reply was lost; the writer must read the object to find out.
package store
