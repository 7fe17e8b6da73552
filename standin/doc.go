// SPDX-License-Identifier: MIT

// Package standin is a small backend server for tests, demonstrations and
// measurements. It executes a bounded number of requests at a time, takes a fixed or
// random time for each, and can be made to slow down, fail, freeze, drain and send false
// reports.
//
// Each execution of a request with a number ([RequestNumberField]) is counted when it
// starts, so that a test can check how often each request was executed.
package standin
