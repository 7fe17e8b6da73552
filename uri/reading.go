// SPDX-License-Identifier: MIT

package uri

import "strings"

// Readings returns the other paths for which a backend server may take a valid path: with the
// escapes of unreserved characters decoded (RFC 3986 section 6.2.2.2) or with all escapes
// decoded, and each of these, as well as the path itself, without dot segments (section
// 5.2.4), with or without repeated slashes merged before.
func Readings(path string) []string {
	if !strings.Contains(path, "%") && !strings.Contains(path, "/.") && !strings.Contains(path, "//") {
		return nil
	}
	var readings []string
	for _, decoded := range []string{path, decode(path, isUnreserved), decode(path, isAny)} {
		readings = append(readings, decoded, removeDotSegments(decoded), removeDotSegments(mergeSlashes(decoded)))
	}
	return readings
}

func isAny(byte) bool { return true }

// isUnreserved reports whether c is unreserved by RFC 3986 section 2.3.
func isUnreserved(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return strings.IndexByte("-._~", c) >= 0
}

// decode decodes the escapes of those characters for which selected is true, once.
func decode(path string, selected func(byte) bool) string {
	var b strings.Builder
	for i := 0; i < len(path); i++ {
		if path[i] == '%' {
			if c, ok := unescape(path[i:]); ok && selected(c) {
				b.WriteByte(c)
				i += 2
				continue
			}
		}
		b.WriteByte(path[i])
	}
	return b.String()
}

func mergeSlashes(path string) string {
	for strings.Contains(path, "//") {
		path = strings.ReplaceAll(path, "//", "/")
	}
	return path
}

// removeDotSegments removes the segments "." and ".." from a path that begins with a slash.
func removeDotSegments(path string) string {
	segments := strings.Split(path, "/")
	kept := segments[:1] // The empty string before the first slash.
	for i, s := range segments[1:] {
		last := i == len(segments)-2
		switch s {
		case ".":
		case "..":
			kept = kept[:max(len(kept)-1, 1)]
		default:
			kept = append(kept, s)
			continue
		}
		if last {
			kept = append(kept, "")
		}
	}
	return strings.Join(kept, "/")
}
