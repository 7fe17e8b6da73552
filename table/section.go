// SPDX-License-Identifier: MIT

package table

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ryehaven/ryehaven/internal/finding"
)

// The lines that begin the sections of a table after its servers. Each section has its
// own line of column names, like a sheet of a spreadsheet.
const (
	RoutesHeading = "[routes]"
	BoundsHeading = "[bounds]"
)

// section is a section of the file and the number of lines before it.
type section struct {
	text        []byte
	linesBefore int
}

// sections are the sections of a table's text.
type sections struct {
	servers, routes, bounds, tenants section
	// hasTenants says that there is a section of tenants, which may be empty.
	hasTenants bool
}

// split returns the sections of a table's text.
func split(text []byte) sections {
	var parts sections
	current := &parts.servers
	sectionStart, line := 0, 0
	for at := 0; at < len(text); {
		end := bytes.IndexByte(text[at:], '\n')
		next := len(text)
		if end >= 0 {
			next = at + end + 1
		}
		line++
		var begun *section
		switch strings.TrimRight(string(bytes.TrimSpace(text[at:next])), ",") {
		case RoutesHeading:
			begun = &parts.routes
		case BoundsHeading:
			begun = &parts.bounds
		case TenantsHeading:
			begun = &parts.tenants
			parts.hasTenants = true
		}
		if begun != nil {
			current.text = text[sectionStart:at]
			begun.linesBefore = line
			current, sectionStart = begun, next
		}
		at = next
	}
	current.text = text[sectionStart:]
	return parts
}

// sheet is a parsed section: its columns, and its rows with their line numbers in the
// file.
type sheet struct {
	columns []string
	rows    []row
}

// readSheet parses a section. It must have all of columns, in any order, may have those
// of optional, and no others.
func readSheet(findings *finding.List, s section, columns []string, optional ...string) sheet {
	reader := csv.NewReader(bytes.NewReader(s.text))
	reader.FieldsPerRecord = -1
	reader.Comment = '#'
	var result sheet
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			addCSVError(findings, s.linesBefore, err)
			return sheet{}
		}
		line, _ := reader.FieldPos(0)
		line += s.linesBefore
		if result.columns == nil {
			result.columns = append([]string{}, record...)
			checkColumns(findings, line, result.columns, columns, optional)
			continue
		}
		if len(record) != len(result.columns) {
			findings.Add(line, 1, "the row has %d cells; the line of column names has %d", len(record), len(result.columns))
			continue
		}
		r := row{line: line, cells: make(map[string]cell, len(record))}
		for i, text := range record {
			_, column := reader.FieldPos(i)
			r.cells[result.columns[i]] = cell{text: text, column: column}
		}
		result.rows = append(result.rows, r)
	}
	return result
}

func addCSVError(findings *finding.List, linesBefore int, err error) {
	var parse *csv.ParseError
	if errors.As(err, &parse) {
		findings.Add(parse.Line+linesBefore, parse.Column, "%v", parse.Err)
		return
	}
	findings.Add(0, 0, "%v", err)
}

func checkColumns(findings *finding.List, line int, present, wanted, optional []string) {
	known := map[string]bool{}
	for _, name := range slices.Concat(wanted, optional) {
		known[name] = true
	}
	seen := map[string]bool{}
	for _, name := range present {
		if !known[name] {
			findings.Add(line, 1, "%q is not a column of this section", name)
		}
		if seen[name] {
			findings.Add(line, 1, "column %q appears twice", name)
		}
		seen[name] = true
	}
	for _, name := range wanted {
		if !seen[name] {
			findings.Add(line, 1, "column %q is missing", name)
		}
	}
}

// The columns of the sections of routes and bounds.
const (
	colPrefix     = "prefix"
	colServices   = "services"
	colRepeatable = "repeatable"
	colTimeout    = "timeout_ms"
	colAim        = "aim_ms"
	colPriority   = "priority"
	colAttempts   = "attempts"
	colPublic     = "public"

	colBound = "bound"
	colValue = "value"
)

var routeColumns = []string{colHost, colPrefix, colServices, colRepeatable, colTimeout, colAim, colPriority, colAttempts}

var boundColumns = []string{colBound, colValue}

// readRoutes parses the section of routes.
func (p *parser) readRoutes(s section) []Route {
	seen := map[[2]string]int{}
	var routes []Route
	for _, r := range readSheet(&p.findings, s, routeColumns, colPublic).rows {
		route := p.readRoute(r)
		key := [2]string{route.Host, route.Prefix}
		if first, ok := seen[key]; ok {
			p.findings.Add(r.line, 1, "host %q with prefix %q is already in line %d", route.Host, route.Prefix, first)
		}
		seen[key] = r.line
		routes = append(routes, route)
	}
	return routes
}

func (p *parser) readRoute(r row) Route {
	var policy Policy
	var route Route
	addFault := func(column string, err error) {
		if err != nil {
			p.findings.Add(r.line, r.cells[column].column, "%s: %v", column, err)
		}
	}
	route.Host = r.text(colHost)
	if route.Host == "" {
		p.findings.Add(r.line, r.cells[colHost].column, "host is blank")
	}
	route.Prefix = r.text(colPrefix)
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		p.findings.Add(r.line, r.cells[colPrefix].column, "prefix: %q does not begin and end with a slash", route.Prefix)
	}
	route.Shares = p.readShares(r)
	addFault(colRepeatable, setYesNo(&route.Repeatable, r.text(colRepeatable)))
	if r.text(colPublic) != "" {
		addFault(colPublic, setYesNo(&route.Public, r.text(colPublic)))
	}
	addFault(colTimeout, setMillis(&route.Timeout, r.text(colTimeout), 1, 3_600_000))
	if r.text(colAim) != "" {
		addFault(colAim, setMillis(&route.Aim, r.text(colAim), 1, 3_600_000))
		if route.Aim > route.Timeout {
			p.findings.Add(r.line, r.cells[colAim].column, "aim_ms is above timeout_ms")
		}
	} else {
		route.Aim = route.Timeout / 2
	}
	addFault(colPriority, setPriority(&policy, r.text(colPriority)))
	route.Priority = policy.Priority
	addFault(colAttempts, setInt(&route.Attempts, r.text(colAttempts), 1, 100))
	return route
}

// readShares parses the services of a route: names separated by spaces, each with an
// optional weight, such as "a" or "a:90 b:10".
func (p *parser) readShares(r row) []Share {
	var shares []Share
	at := r.cells[colServices].column
	for part := range strings.FieldsSeq(r.text(colServices)) {
		name, weight, given := strings.Cut(part, ":")
		share := Share{Service: name, Weight: 1}
		if given {
			if err := setInt(&share.Weight, weight, 0, 1_000_000); err != nil {
				p.findings.Add(r.line, at, "services: weight of %q: %v", name, err)
			}
		}
		if p.services[name] == nil {
			p.findings.Add(r.line, at, "services: %q is not a service of the table", name)
		}
		shares = append(shares, share)
	}
	route := Route{Shares: shares}
	if route.TotalWeight() == 0 {
		p.findings.Add(r.line, at, "services: no service has a weight above 0")
	}
	return shares
}

// readBounds parses the section of bounds.
func (p *parser) readBounds(s section) Bounds {
	var b Bounds
	setters := map[string]func(cell string) error{
		"header_bytes":   func(c string) error { return setInt(&b.HeaderBytes, c, 256, 16<<20) },
		"body_bytes":     func(c string) error { return setInt(&b.BodyBytes, c, 0, 1<<40) },
		"header_time_ms": func(c string) error { return setMillis(&b.HeaderTime, c, 1, 3_600_000) },
		"idle_ms":        func(c string) error { return setMillis(&b.Idle, c, 1, 86_400_000) },
	}
	for _, r := range readSheet(&p.findings, s, boundColumns).rows {
		name := r.text(colBound)
		set := setters[name]
		if set == nil {
			p.findings.Add(r.line, r.cells[colBound].column, "%q is not a bound", name)
			continue
		}
		if err := set(r.text(colValue)); err != nil {
			p.findings.Add(r.line, r.cells[colValue].column, "%s: %v", name, err)
		}
	}
	return b
}

// Draft is a table to be written as text, for programs that generate tables from other
// declarations. The zero value is an empty table.
type Draft struct {
	Services []DraftService
	Routes   []Route
	Bounds   Bounds
	// RequiresKeys says that the table gets a section of tenants, so that routes that
	// are not public require keys.
	RequiresKeys bool
	Tenants      []Tenant
}

// DraftService is a service whose servers announce themselves.
type DraftService struct {
	Name string
	// Connections is the maximum number of connections to each server; 0 means the
	// default.
	Connections int
	// HealthPath is the path of the gates' probes; blank means the default.
	HealthPath string
	// ColdTime and ColdPerSecond are as in Policy; 0 means the default.
	ColdTime      time.Duration
	ColdPerSecond float64
}

// Text returns the table in the format that [Parse] reads.
func (d Draft) Text() []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	write := func(cells ...string) { _ = w.Write(cells) } // Writes to a bytes.Buffer don't fail.
	write(colService, colServer, colHost, colZone, colAddress, colState, colConnections, colDiscovery, colHealthPath,
		colColdTime, colColdRate)
	for _, s := range d.Services {
		write(s.Name, ServiceRow, "", "", "", "", blankIfZero(s.Connections), string(Announced), s.HealthPath,
			millisText(s.ColdTime), numberText(s.ColdPerSecond))
	}
	w.Flush()
	fmt.Fprintln(&b, RoutesHeading)
	columns := routeColumns
	if d.RequiresKeys {
		columns = append(slices.Clone(columns), colPublic)
	}
	write(columns...)
	for _, r := range d.Routes {
		cells := []string{r.Host, r.Prefix, sharesText(r.Shares), yesNo(r.Repeatable), millisText(r.Timeout), millisText(r.Aim),
			r.Priority.String(), strconv.Itoa(r.Attempts)}
		if d.RequiresKeys {
			cells = append(cells, yesNo(r.Public))
		}
		write(cells...)
	}
	w.Flush()
	fmt.Fprintln(&b, BoundsHeading)
	write(boundColumns...)
	write("header_bytes", strconv.Itoa(d.Bounds.HeaderBytes))
	write("body_bytes", strconv.Itoa(d.Bounds.BodyBytes))
	write("header_time_ms", millisText(d.Bounds.HeaderTime))
	write("idle_ms", millisText(d.Bounds.Idle))
	w.Flush()
	d.writeTenants(&b, w)
	return b.Bytes()
}

func sharesText(shares []Share) string {
	parts := make([]string, len(shares))
	for i, s := range shares {
		parts[i] = s.Service + ":" + strconv.Itoa(s.Weight)
	}
	return strings.Join(parts, " ")
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func blankIfZero(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

func millisText(d time.Duration) string { return numberText(float64(d) / float64(time.Millisecond)) }

func numberText(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }
