// SPDX-License-Identifier: MIT

package header

import (
	"strings"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/wire"
)

// ErrFieldName is returned for a header field whose name is not a token (RFC 9110 section
// 5.6.2).
var ErrFieldName = eris.New("a header field's name is not a token")

// ParseFields returns the fields of a request's head, in order and with their values as
// received. raw holds the lines after the request line, which the HTTP library has found to be
// well formed. The library's own fields don't serve: it parses and rewrites some values, such
// as those of Cookie, and drops others. Continuation lines are joined as RFC 9112 section 5.2
// requires.
func ParseFields(raw []byte) ([]wire.Field, error) {
	lines := strings.Split(string(raw), "\n")
	fields := make([]wire.Field, 0, len(lines))
	for _, line := range lines {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue
		}
		if continues := line[0] == ' ' || line[0] == '\t'; continues && len(fields) > 0 {
			fields[len(fields)-1].Value += " " + trim(line)
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return nil, eris.Wrapf(ErrFieldName, "%q", name)
		}
		fields = append(fields, wire.Field{Name: name, Value: trim(value)})
	}
	for i := range fields {
		fields[i].Value = trim(fields[i].Value) // The last continuation line may be blank.
	}
	return fields, nil
}

func trim(s string) string { return strings.Trim(s, " \t") }

func isToken[T ~string | ~[]byte](name T) bool {
	for i := range len(name) {
		c := name[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(name) > 0
}
