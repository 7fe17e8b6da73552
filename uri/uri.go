// SPDX-License-Identifier: MIT

package uri

import (
	"strings"

	"github.com/rotisserie/eris"
)

// Errors for targets that are refused.
var (
	// ErrForm: the target has none of the forms of RFC 9112 section 3.2 that a node supports.
	ErrForm = eris.New("the request's target must begin with a slash, or be an absolute http or https URI")
	// ErrFragment: RFC 9112 section 3.2 has no fragment in a target.
	ErrFragment = eris.New("the request's target must have no fragment")
	// ErrEscape: RFC 3986 section 2.1 requires two hexadecimal digits.
	ErrEscape = eris.New("the request's path has a percent sign without two hexadecimal digits")
)

// Target is the target of a request.
type Target struct {
	// Authority is the authority of an absolute URI, which replaces the Host field by RFC 9112
	// section 3.2.2. It is blank if the target has none.
	Authority string
	// Origin is the path with the query as received, or "*".
	Origin string
}

// Parse reads a request's target.
func Parse(raw string) (Target, error) {
	t := Target{Origin: raw}
	if raw != "*" && !strings.HasPrefix(raw, "/") {
		var ok bool
		if t.Authority, t.Origin, ok = cutAuthority(raw); !ok {
			return Target{}, ErrForm
		}
	}
	if strings.Contains(t.Origin, "#") {
		return Target{}, ErrFragment
	}
	if !validEscapes(t.Path()) {
		return Target{}, ErrEscape
	}
	return t, nil
}

// cutAuthority splits an absolute URI. A missing path becomes a slash, by RFC 9112 section
// 3.2.1.
func cutAuthority(raw string) (authority, origin string, ok bool) {
	scheme, rest, _ := strings.Cut(raw, "://")
	if !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
		return "", "", false
	}
	end := strings.IndexAny(rest, "/?#")
	if end < 0 {
		end = len(rest)
	}
	authority, origin = rest[:end], rest[end:]
	if !strings.HasPrefix(origin, "/") {
		origin = "/" + origin
	}
	return authority, origin, authority != ""
}

// Path returns the path without the query.
func (t Target) Path() string {
	path, _, _ := strings.Cut(t.Origin, "?")
	return path
}

func validEscapes(path string) bool {
	for i := strings.IndexByte(path, '%'); i >= 0; {
		if _, ok := unescape(path[i:]); !ok {
			return false
		}
		next := strings.IndexByte(path[i+1:], '%')
		if next < 0 {
			return true
		}
		i += 1 + next
	}
	return true
}

// unescape returns the byte that an escape at the beginning of s stands for.
func unescape(s string) (byte, bool) {
	if len(s) < 3 {
		return 0, false
	}
	high, ok := hexValue(s[1])
	low, ok2 := hexValue(s[2])
	return high<<4 | low, ok && ok2
}

func hexValue(c byte) (byte, bool) {
	switch {
	case c >= '0' && c <= '9':
		return c - '0', true
	case c >= 'a' && c <= 'f':
		return c - 'a' + 10, true
	case c >= 'A' && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}
