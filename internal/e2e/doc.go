// SPDX-License-Identifier: MIT

// Package e2e holds the tests of whole sites as separate processes. Its tests
// are the table of faults by promises that docs/PROMISES.md refers to.
package e2e
