// SPDX-License-Identifier: MIT

// Package soak runs real nodes as separate processes against an emulated
// platform, injects faults from outside them, and checks the promises made to
// users while they run.
//
// # A run
//
// [Draw] turns a seed into a schedule of [Step]s: signals to processes, faults
// of the connections between nodes and to the store, faults of the store itself,
// misbehaving or replaced backend servers, and configuration changes. Steps may
// overlap. [Run] starts a site, runs the schedule while callers send requests to
// every host, waits until everything has recovered, and returns a [Report].
//
// # Checks
//
// A [History] contains only what callers and backend servers saw and what was
// written to the platform. [Check] is a pure function: it takes a History and
// returns every broken promise with the evidence. Promises with a time limit
// apply to a host only while it is undisturbed: for [Bounds].Undisturbed before,
// there was no disturbance of the host, of the store, or of the machine that runs
// the soak test.
//
// A seed reproduces the schedule but not the interleaving. A run that fails
// therefore leaves its schedule, history and logs in a directory.
package soak
