// SPDX-License-Identifier: MIT

package table

import (
	"fmt"
	"sort"

	"github.com/ryehaven/ryehaven/internal/finding"
)

// Change is one difference between two tables, by row and column.
type Change struct {
	Service string `json:"service"`
	Server  string `json:"server"`
	// Column is blank when the whole row was added or removed.
	Column string `json:"column,omitempty"`
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
	Kind   Kind   `json:"kind"`
}

// Kind says what happened to a row or cell.
type Kind string

// The kinds of change.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// String returns a line for the operator.
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

// cellsOf returns the cells of each row as they stand in a text.
func cellsOf(text []byte) map[rowKey]map[string]string {
	p := &parser{
		findings: finding.List{},
		services: map[string]*Service{},
		seen:     map[[2]string]int{},
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

// Diff compares two texts that Parse accepts.
func Diff(before, after []byte) []Change {
	old, now := cellsOf(before), cellsOf(after)
	var changes []Change
	for key, cells := range old {
		other, ok := now[key]
		if !ok {
			changes = append(changes, Change{Service: key.service, Server: key.server, Kind: Removed})
			continue
		}
		changes = append(changes, diffCells(key, cells, other)...)
	}
	for key := range now {
		if _, ok := old[key]; !ok {
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

func diffCells(key rowKey, old, now map[string]string) []Change {
	columns := map[string]bool{}
	for name := range old {
		columns[name] = true
	}
	for name := range now {
		columns[name] = true
	}
	var changes []Change
	for name := range columns {
		if old[name] != now[name] {
			changes = append(changes, Change{
				Service: key.service,
				Server:  key.server,
				Column:  name,
				Old:     old[name],
				New:     now[name],
				Kind:    Changed,
			})
		}
	}
	return changes
}
