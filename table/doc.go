// SPDX-License-Identifier: MIT

// Package table holds the operators' table: one row per service and backend
// server, with weights and limits, as a CSV file that a spreadsheet program
// opens and a version control system compares line by line.
//
// # Rows
//
// A row whose server is "*" is the service's row: cells that a server's row
// leaves blank take their value from it, and cells that it leaves blank take
// the default. Every other row is one backend server on one host.
//
//	service,server,host,zone,address,slots,state
//	arzator,*,,,,12,
//	arzator,arzator-1,hala-a-1,hala-a,127.0.0.1:9101,,active
//
// # Reading
//
// [Parse] reports every fault with its line and column at once and returns no
// table then. A [Table] is immutable after Parse: nodes share one by pointer.
//
// # Versions
//
// A [Snapshot] is a table with the generation that it was accepted as and the
// hash of its text. Generations decide which of two snapshots is newer; the
// order of their arrival never does.
package table
