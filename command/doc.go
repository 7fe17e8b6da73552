// SPDX-License-Identifier: MIT

// Package command implements the operators' writes: it stores tables, and
// evacuations of availability zones, in the platform's service. Package query
// implements the reads.
//
// # Concurrent operators
//
// [Apply] replaces the table only if it is still the one that the operator
// started from. If two operators change the table at the same time, one gets
// [Accepted]; the other gets [Raced] and the first one's changes. No change is
// overwritten without notice.
//
// # Lost replies
//
// A write whose reply is lost may have taken effect, may take effect later, or
// may never do so. Apply repeats the same conditional write until the platform
// replies, and looks for the ID of its write in the stored object, which holds
// the IDs of the last writes. It ends with [Unknown] only if the platform stays
// unavailable; running it again is then safe.
package command
