// SPDX-License-Identifier: MIT

// Package finding collects the faults of a text with their positions, so that
// an operator sees all of them at once instead of one per run.
//
// A parser appends to a [List] as it goes and returns [List.Err] at its end.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one fault and its position in the text.
type Finding struct {
	// File names the text; it may be a path or another description.
	File string `json:"file"`
	// Line and Column count from 1; 0 means that the position is not known.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Message says what is wrong and what would be accepted.
	Message string `json:"message"`
}

// String formats the finding as file:line:column: message.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// List is a collection of findings. Its zero value is empty and usable.
type List struct {
	// File is the file name of the findings that Add appends.
	File  string
	found []Finding
}

// Add appends a finding at a position in the list's file.
func (l *List) Add(line, column int, format string, args ...any) {
	l.found = append(l.found, Finding{
		File:    l.File,
		Line:    line,
		Column:  column,
		Message: fmt.Sprintf(format, args...),
	})
}

// All returns the findings sorted by position.
func (l *List) All() []Finding {
	sorted := append([]Finding(nil), l.found...)
	sort.SliceStable(sorted, func(i, j int) bool {
		if sorted[i].Line != sorted[j].Line {
			return sorted[i].Line < sorted[j].Line
		}
		return sorted[i].Column < sorted[j].Column
	})
	return sorted
}

// Err returns nil if there are no findings, else an *Error with all of them.
func (l *List) Err() error {
	if len(l.found) == 0 {
		return nil
	}
	return &Error{Findings: l.All()}
}

// Error holds all findings of one text.
type Error struct {
	Findings []Finding
}

// Error returns one line per finding.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
