// SPDX-License-Identifier: MIT

// Package soak runs the real nodes as separate processes against an emulated
// platform, injects faults from outside them, and checks the promises while
// they run.
//
// # One run
//
// [Draw] turns a seed into a schedule of [Step]s: signals to processes, faults
// of the links between nodes and to the store, faults of the store itself,
// backend servers that misbehave or are replaced, changes of the
// configuration. Steps come in series and overlap. [Run] starts a site, plays
// the schedule while callers use every host, lets everything heal, and returns
// a [Report].
//
// # What is judged
//
// Only what callers and backend servers saw, and what the platform was told,
// goes into a [History]. [Check] is pure: it takes a History and returns every
// broken promise with the evidence. Promises that carry a time bind a host
// only while it is in touch: nothing was done to it, to the store, or to the
// machine that plays the soak, for [Bounds].Contact before.
//
// The seed reproduces the schedule and not the interleaving, so a run that
// fails leaves its schedule, history and logs in a directory.
package soak
