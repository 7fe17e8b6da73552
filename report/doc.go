// SPDX-License-Identifier: MIT

// Package report writes the results of an experiment as one self-contained HTML
// page. Charts are inline SVG, and the page loads nothing from elsewhere.
//
// The caller fills a [Page] with sections of charts and tables and writes it
// once.
//
//	chart, err := report.Lines("Latency", "s", "ms", series...)
//	page := report.Page{Title: "...", Sections: []report.Section{{Heading: "...", Charts: []report.Chart{chart}}}}
//	err = page.Write(file)
package report
