// SPDX-License-Identifier: MIT

package report

import (
	"html/template"
	"io"

	"github.com/rotisserie/eris"
)

// Page is a report.
type Page struct {
	Title string
	// Text is the introduction: what was measured, how, and with which command.
	Text     string
	Sections []Section
}

// Section is a section of a page. Text, Table and Charts are optional.
type Section struct {
	Heading string
	Text    string
	Table   Table
	Charts  []Chart
}

// Table is a table of texts. A table without columns is not written.
type Table struct {
	Columns []string
	Rows    [][]string
}

// SVG returns the chart as an SVG element, for the page's template.
func (c Chart) SVG() template.HTML { return c.svg }

var layout = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>{{.Title}}</title>
<style>
body { font: 15px/1.45 sans-serif; max-width: 60em; margin: 2em auto; padding: 0 1em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { padding: .25em .8em; border-bottom: 1px solid #ccc; text-align: right; }
th:first-child, td:first-child { text-align: left; }
svg { max-width: 100%; height: auto; margin: .5em 0; }
</style>
</head>
<body>
<h1>{{.Title}}</h1>
<p>{{.Text}}</p>
{{range .Sections}}<h2>{{.Heading}}</h2>
{{with .Text}}<p>{{.}}</p>
{{end}}{{if .Table.Columns}}<table>
<tr>{{range .Table.Columns}}<th>{{.}}</th>{{end}}</tr>
{{range .Table.Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{end}}{{range .Charts}}{{.SVG}}
{{end}}{{end}}</body>
</html>
`))

// Write writes the page as HTML.
func (p Page) Write(w io.Writer) error {
	return eris.Wrap(layout.Execute(w, p), "write page")
}
