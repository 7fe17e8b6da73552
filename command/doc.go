// SPDX-License-Identifier: MIT

// Package command is the operators' writes: it puts a table into the
// platform's service. Package query holds the reads.
//
// # Racing operators
//
// [Apply] replaces the table only when it still is the one that the operator
// started from. Of two operators who race, one gets [Accepted] and the other
// [Raced] with the other's changes; nothing of either is lost silently.
//
// # Lost replies
//
// A write whose reply is lost may have taken effect, may do so later, or
// never. Apply sends the very same conditional write again until the platform
// answers, and looks for its write's mark in the object, which keeps the marks
// of the last writes. Only when the platform stays away does it end with
// [Unknown]; running it again is then safe.
package command
