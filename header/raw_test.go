// SPDX-License-Identifier: MIT

package header

import (
	"bufio"
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/wire"
)

func TestParseFields(t *testing.T) {
	for raw, want := range map[string][]wire.Field{
		"":                                    {},
		"\r\n":                                {},
		"A: 1\r\nb:2 \r\nA:\r\n\r\n":          {{Name: "A", Value: "1"}, {Name: "b", Value: "2"}, {Name: "A"}},
		"Cookie: a=\"b\"; c;d=e\n\n":          {{Name: "Cookie", Value: "a=\"b\"; c;d=e"}},
		"A: 1\r\n\t 2 \r\n 3\r\nB: 4\r\n\r\n": {{Name: "A", Value: "1 2 3"}, {Name: "B", Value: "4"}},
		"A:\r\n 1\r\n\r\n":                    {{Name: "A", Value: "1"}},
		"A:::b: c\r\n\r\n":                    {{Name: "A", Value: "::b: c"}},
	} {
		if got, err := ParseFields([]byte(raw)); err != nil || !slices.Equal(got, want) {
			t.Errorf("%q is parsed as %q, %v", raw, got, err)
		}
	}
	for _, raw := range []string{"A B: 1\r\n", "A : 1\r\n", "A\r\n", ": 1\r\n", "A(b): 1\r\n", " A: 1\r\n"} {
		if _, err := ParseFields([]byte(raw)); !errors.Is(err, ErrFieldName) {
			t.Errorf("%q: %v, want %v", raw, err, ErrFieldName)
		}
	}
}

// The lines that the HTTP library keeps of a head that it accepts are complete.
func FuzzParseFields(f *testing.F) {
	f.Add("A: 1\r\nCookie: a=\"b\"\r\n\r\n")
	f.Add("A: 1\r\n 2\r\n\t3\r\nB: 4\r\nA:\r\n\r\n")
	f.Add("A: 1\nB:\n 2\n\r\n\r\n")
	f.Fuzz(func(t *testing.T, lines string) {
		var h fasthttp.RequestHeader
		head := "GET / HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n\r\n"
		if err := h.Read(bufio.NewReaderSize(strings.NewReader(head), len(head)+16)); err != nil {
			t.Skip()
		}
		fields, err := ParseFields(h.RawHeaders())
		if err != nil {
			t.Skip()
		}
		for _, field := range fields {
			special := strings.EqualFold(field.Name, "Cookie") || strings.EqualFold(field.Name, "Connection") || strings.EqualFold(field.Name, "Trailer") ||
				strings.EqualFold(field.Name, "Transfer-Encoding") || strings.EqualFold(field.Name, "User-Agent") || strings.EqualFold(field.Name, "Content-Length")
			if values := h.PeekAll(field.Name); !special && !slices.ContainsFunc(values, func(v []byte) bool { return strings.Trim(string(v), " \t") == field.Value }) {
				t.Errorf("%s: %q, the library has %q", field.Name, field.Value, values)
			}
		}
	})
}
