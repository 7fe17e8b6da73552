// SPDX-License-Identifier: MIT

// Package blame finds the requests that crash the backend servers that run them.
//
// # Which requests are the same
//
// A caller that got no answer comes again, at any node and under another number. A
// [Print] is what its tries have in common.
//
// The package imports no network and reads no clock.
package blame
