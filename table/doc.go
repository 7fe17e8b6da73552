// SPDX-License-Identifier: MIT

// Package table reads, compares and edits the operators' configuration table: a
// CSV file with one row per service and backend server, with weights and limits.
// As CSV it can be opened in a spreadsheet program and compared line by line in a
// version control system.
//
// # Rows
//
// A row whose server is "*" is the service's row. It provides the values for blank
// cells in the rows of the service's servers; where it is blank too, the default
// applies. Every other row is one backend server on one host.
//
//	service,server,host,zone,address,slots,state
//	arzator,*,,,,12,
//	arzator,arzator-1,hala-a-1,hala-a,127.0.0.1:9101,,active
//
// # Reading
//
// [Parse] reports all faults at once, each with its line and column, and returns no
// table if there are any. A [Table] is immutable after Parse, so that goroutines can
// share it by pointer.
//
// # Versions
//
// A [Snapshot] is a table together with the generation under which it was accepted
// and the hash of its text. The generation alone decides which of two snapshots is
// newer, never the order in which they arrive.
package table
