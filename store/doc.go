// SPDX-License-Identifier: MIT

// Package store reads and writes objects of the platform's object API.
//
// [Client] is all that this system needs of it: get, conditional put, and a
// get that waits for a change. [HTTP] speaks it over HTTP with published
// semantics: entity tags and If-Match of RFC 9110, and Prefer: wait of RFC
// 7240 for the waiting get.
//
// A write has three ends, not two. [ErrConflict] and [ErrUnavailable] say that
// it took no effect; [ErrUnknown] says that it may have, since its reply was
// lost, and the writer must read back to learn.
package store
