// SPDX-License-Identifier: MIT

package table

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"

	"github.com/ryehaven/ryehaven/internal/finding"
)

// MaxBytes is the maximum size of a table's text. The platform stores values of up to a
// megabyte, and the table is stored in an object that is a little larger.
const MaxBytes = 900 << 10

// row is one record of the file with the positions of its cells.
type row struct {
	line  int
	cells map[string]cell
}

type cell struct {
	text   string
	column int
}

func (r row) text(column string) string { return r.cells[column].text }

// parser is the state of a Parse.
type parser struct {
	findings finding.List
	columns  []string
	rows     []row
	services map[string]*Service
	// firstLine is the line of the first row with a service and server.
	firstLine map[[2]string]int
}

// Parse parses a table. The error, if any, is a *finding.Error that holds all faults
// with file, line and column.
func Parse(file string, text []byte) (*Table, error) {
	p := &parser{
		findings:  finding.List{File: file},
		services:  map[string]*Service{},
		firstLine: map[[2]string]int{},
	}
	if len(text) > MaxBytes {
		p.findings.Add(1, 1, "the table has %d bytes; at most %d are accepted", len(text), MaxBytes)
		return nil, p.findings.Err()
	}
	parts := split(text)
	p.readRecords(parts.servers.text)
	p.readServiceRows()
	p.readServerRows()
	p.checkServices()
	routes := p.readRoutes(parts.routes)
	bounds := p.readBounds(parts.bounds)
	tenants := p.readTenants(parts.tenants)
	if err := p.findings.Err(); err != nil {
		return nil, err
	}
	t := newTable(p.services)
	t.setRoutes(routes)
	t.bounds = bounds
	t.setTenants(parts.hasTenants, tenants)
	return t, nil
}

func (p *parser) readRecords(text []byte) {
	reader := csv.NewReader(bytes.NewReader(text))
	reader.FieldsPerRecord = -1
	reader.Comment = '#'
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			addCSVError(&p.findings, 0, err)
			return
		}
		line, _ := reader.FieldPos(0)
		if p.columns == nil {
			p.readHeader(reader, record, line)
			continue
		}
		p.readRecord(reader, record, line)
	}
	if p.columns == nil {
		p.findings.Add(1, 1, "the table is empty; its first line must name the columns")
	}
}

func (p *parser) readHeader(reader *csv.Reader, record []string, line int) {
	known := map[string]bool{}
	for _, name := range identityColumns {
		known[name] = true
	}
	for _, c := range policyColumns {
		known[c.name] = true
	}
	present := map[string]bool{}
	for i, name := range record {
		_, column := reader.FieldPos(i)
		switch {
		case !known[name]:
			p.findings.Add(line, column, "%q is not a column", name)
		case present[name]:
			p.findings.Add(line, column, "column %q appears twice", name)
		}
		present[name] = true
	}
	for _, name := range identityColumns {
		if !present[name] {
			p.findings.Add(line, 1, "column %q is missing", name)
		}
	}
	p.columns = append([]string{}, record...)
}

var identityColumns = []string{colService, colServer, colHost, colZone, colAddress, colState}

func (p *parser) readRecord(reader *csv.Reader, record []string, line int) {
	if len(record) != len(p.columns) {
		p.findings.Add(line, 1, "the row has %d cells; the line of column names has %d", len(record), len(p.columns))
		return
	}
	r := row{line: line, cells: make(map[string]cell, len(record))}
	for i, text := range record {
		_, column := reader.FieldPos(i)
		r.cells[p.columns[i]] = cell{text: text, column: column}
	}
	p.rows = append(p.rows, r)
	p.checkIdentity(r)
}

func (p *parser) checkIdentity(r row) {
	for _, name := range []string{colService, colServer} {
		if r.text(name) == "" {
			p.findings.Add(r.line, r.cells[name].column, "%s is blank", name)
		}
	}
	key := [2]string{r.text(colService), r.text(colServer)}
	if first, ok := p.firstLine[key]; ok {
		p.findings.Add(r.line, r.cells[colServer].column, "service %q already has server %q in line %d", key[0], key[1], first)
		return
	}
	p.firstLine[key] = r.line
}

func (p *parser) readServiceRows() {
	for _, r := range p.rows {
		if r.text(colServer) != ServiceRow {
			continue
		}
		for _, name := range []string{colHost, colZone, colAddress, colState} {
			if c := r.cells[name]; c.text != "" {
				p.findings.Add(r.line, c.column, "%s must be blank in a service's row", name)
			}
		}
		service := &Service{Name: r.text(colService), Policy: DefaultPolicy()}
		p.readPolicy(&service.Policy, r)
		p.services[service.Name] = service
	}
}

func (p *parser) readServerRows() {
	for _, r := range p.rows {
		if r.text(colServer) == ServiceRow {
			continue
		}
		name := r.text(colService)
		service := p.services[name]
		if service == nil {
			service = &Service{Name: name, Policy: DefaultPolicy()}
			p.services[name] = service
		}
		service.Servers = append(service.Servers, p.readServer(service, r))
	}
}

func (p *parser) readServer(service *Service, r row) Server {
	server := Server{
		Policy:  service.Policy,
		Service: service.Name,
		Name:    r.text(colServer),
		Host:    r.text(colHost),
		Zone:    r.text(colZone),
		Address: r.text(colAddress),
		State:   State(r.text(colState)),
	}
	for _, name := range []string{colHost, colZone} {
		if r.text(name) == "" {
			p.findings.Add(r.line, r.cells[name].column, "%s is blank", name)
		}
	}
	if err := checkAddress(server.Address); err != nil {
		p.findings.Add(r.line, r.cells[colAddress].column, "address: %v", err)
	}
	switch server.State {
	case "":
		server.State = Active
	case Active, Leaving:
	default:
		p.findings.Add(r.line, r.cells[colState].column, "state: %q is neither %s nor %s", server.State, Active, Leaving)
	}
	p.readPolicy(&server.Policy, r)
	return server
}

func (p *parser) readPolicy(policy *Policy, r row) {
	for _, column := range policyColumns {
		c, ok := r.cells[column.name]
		if !ok || c.text == "" {
			continue
		}
		if err := column.set(policy, c.text); err != nil {
			p.findings.Add(r.line, c.column, "%s: %v", column.name, err)
		}
	}
}

func (p *parser) checkServices() {
	for _, r := range p.rows {
		service := p.services[r.text(colService)]
		if service != nil && len(service.Servers) == 0 && service.Discovery == Listed {
			p.findings.Add(r.line, 1, "service %q has no server", service.Name)
		}
	}
}
