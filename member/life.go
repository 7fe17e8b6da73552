// SPDX-License-Identifier: MIT

package member

import (
	"strconv"
	"strings"
)

// Life is one life of a backend server. A server may start again under its ID; it then
// knows nothing of before, and nothing that was learned of its former life holds.
type Life struct {
	// ID is the server's own.
	ID string
	// Born is when it started, in Unix milliseconds; 0 if it does not tell.
	Born int64
}

// lifeMark stands between an ID and the start in a life's name; no ID has it.
const lifeMark = "#"

// Name returns the name by which nodes know the life: of two lives of one ID it is not
// the same, so that whatever is kept by name ends with a life.
func (l Life) Name() string {
	if l.Born == 0 {
		return l.ID
	}
	return l.ID + lifeMark + strconv.FormatInt(l.Born, 10)
}

// LifeOf returns the life with a name.
func LifeOf(name string) Life {
	id, born, _ := strings.Cut(name, lifeMark)
	start, _ := strconv.ParseInt(born, 10, 64) // Without a start it is 0, as in the name.
	return Life{ID: id, Born: start}
}

// ValidID reports whether a server's ID can stand in a life's name.
func ValidID(id string) bool { return id != "" && !strings.Contains(id, lifeMark) }
