// SPDX-License-Identifier: MIT

package table

import (
	"fmt"
	"sort"

	"github.com/ryehaven/ryehaven/internal/finding"
)

// Change is one difference between the servers' sections of two tables: a row that was
// added or removed, or a cell that changed.
type Change struct {
	Service string `json:"service"`
	Server  string `json:"server"`
	// Column is blank if the row was added or removed.
	Column string `json:"column,omitempty"`
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
	Kind   Kind   `json:"kind"`
}

// Kind says how a row or cell changed.
type Kind string

// The kinds of change.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// String describes the change in one line.
func (c Change) String() string {
	if c.Kind != Changed {
		return fmt.Sprintf("%s %s: row %s", c.Service, c.Server, c.Kind)
	}
	return fmt.Sprintf("%s %s: %s %q -> %q", c.Service, c.Server, c.Column, c.Old, c.New)
}

type rowKey struct {
	service string
	server  string
}

// cellsByRow returns the cells of each row of a text's servers, without inherited or
// default values.
func cellsByRow(text []byte) map[rowKey]map[string]string {
	p := &parser{
		findings:  finding.List{},
		services:  map[string]*Service{},
		firstLine: map[[2]string]int{},
	}
	servers := split(text).servers
	p.readRecords(servers.text)
	rows := make(map[rowKey]map[string]string, len(p.rows))
	for _, r := range p.rows {
		cells := make(map[string]string, len(r.cells))
		for name, c := range r.cells {
			cells[name] = c.text
		}
		rows[rowKey{r.text(colService), r.text(colServer)}] = cells
	}
	return rows
}

// Diff compares the rows of servers and services of two texts that Parse accepts. It
// doesn't compare the other sections.
func Diff(before, after []byte) []Change {
	oldRows, newRows := cellsByRow(before), cellsByRow(after)
	var changes []Change
	for key, cells := range oldRows {
		newCells, ok := newRows[key]
		if !ok {
			changes = append(changes, Change{Service: key.service, Server: key.server, Kind: Removed})
			continue
		}
		changes = append(changes, diffCells(key, cells, newCells)...)
	}
	for key := range newRows {
		if _, ok := oldRows[key]; !ok {
			changes = append(changes, Change{Service: key.service, Server: key.server, Kind: Added})
		}
	}
	sort.Slice(changes, func(i, j int) bool {
		a, b := changes[i], changes[j]
		if a.Service != b.Service {
			return a.Service < b.Service
		}
		if a.Server != b.Server {
			return a.Server < b.Server
		}
		return a.Column < b.Column
	})
	return changes
}

func diffCells(key rowKey, oldCells, newCells map[string]string) []Change {
	columns := map[string]bool{}
	for name := range oldCells {
		columns[name] = true
	}
	for name := range newCells {
		columns[name] = true
	}
	var changes []Change
	for name := range columns {
		if oldCells[name] != newCells[name] {
			changes = append(changes, Change{
				Service: key.service,
				Server:  key.server,
				Column:  name,
				Old:     oldCells[name],
				New:     newCells[name],
				Kind:    Changed,
			})
		}
	}
	return changes
}
