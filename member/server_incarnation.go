// SPDX-License-Identifier: MIT

package member

import (
	"strconv"
	"strings"
)

// ServerIncarnation is one run of a backend server's process. A server may restart under
// the same ID; it then has none of its former state, and nothing that nodes have learned
// of its former incarnation applies.
type ServerIncarnation struct {
	// ID is the server's ID, which it may keep across restarts.
	ID string
	// StartMillis is when the incarnation started, in Unix milliseconds; 0 if the server
	// does not report it.
	StartMillis int64
}

// startSeparator separates the ID from the start time in an incarnation's name. No valid
// ID contains it.
const startSeparator = "#"

// Name returns the name by which nodes know the incarnation. Two incarnations of one ID
// have different names, so that whatever is stored under a name ends with the incarnation.
func (i ServerIncarnation) Name() string {
	if i.StartMillis == 0 {
		return i.ID
	}
	return i.ID + startSeparator + strconv.FormatInt(i.StartMillis, 10)
}

// ServerIncarnationOf returns the incarnation with a name, as Name writes it.
func ServerIncarnationOf(name string) ServerIncarnation {
	id, start, _ := strings.Cut(name, startSeparator)
	millis, _ := strconv.ParseInt(start, 10, 64) // 0 if the name has no start time.
	return ServerIncarnation{ID: id, StartMillis: millis}
}

// ValidID reports whether a server's ID can be part of an incarnation's name.
func ValidID(id string) bool { return id != "" && !strings.Contains(id, startSeparator) }
