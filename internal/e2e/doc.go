// SPDX-License-Identifier: MIT

// Package e2e tests whole sites that run as separate processes: it injects faults
// and checks that the promises of docs/PROMISES.md hold.
package e2e
