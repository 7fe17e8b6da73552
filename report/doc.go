// SPDX-License-Identifier: MIT

// Package report puts what an experiment measured on one HTML page that needs
// nothing from outside: its charts are SVG within the page.
//
// The caller owns the figures. A [Page] is filled with sections of charts and
// tables and written once.
//
//	chart, err := report.Lines("Latency", "s", "ms", series...)
//	page := report.Page{Title: "...", Sections: []report.Section{{Heading: "...", Charts: []report.Chart{chart}}}}
//	err = page.Write(file)
package report
