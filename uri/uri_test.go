// SPDX-License-Identifier: MIT

package uri

import (
	"errors"
	"net/url"
	"path"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestParse(t *testing.T) {
	for raw, want := range map[string]Target{
		"/":                             {"", "/"},
		"*":                             {"", "*"},
		"/a%2Fb/../c//d?e=%zz&f=/../?":  {"", "/a%2Fb/../c//d?e=%zz&f=/../?"},
		"/caf\xc3\xa9|\"<>?[]":          {"", "/caf\xc3\xa9|\"<>?[]"},
		"//a/b":                         {"", "//a/b"},
		"/a:b@c;d=e":                    {"", "/a:b@c;d=e"},
		"http://h:80/a%2Fb?c":           {"h:80", "/a%2Fb?c"},
		"HTTPS://h":                     {"h", "/"},
		"http://h?c=d":                  {"h", "/?c=d"},
		"/redirect?to=http://h/a%2Fb/#": {},
		"/a#b":                          {},
		"/a%":                           {},
		"/a%2":                          {},
		"/a%2x/b":                       {},
		"/%41%zz":                       {},
		"":                              {},
		"a/b":                           {},
		"h:443":                         {},
		"http:///a":                     {},
		"ftp://h/a":                     {},
	} {
		got, err := Parse(raw)
		if got != want || (err == nil) != (want != Target{}) {
			t.Errorf("%q is parsed as %+v, %v", raw, got, err)
		}
	}
	if _, err := Parse("/a%2"); !errors.Is(err, ErrEscape) {
		t.Errorf("%v, want %v", err, ErrEscape)
	}
}

func TestPathHasNoQuery(t *testing.T) {
	if got := (Target{Origin: "/a%3Fb/?c?/d"}).Path(); got != "/a%3Fb/" {
		t.Errorf("path %q", got)
	}
}

func TestReadings(t *testing.T) {
	for _, test := range []struct {
		path string
		want []string
	}{
		{"/a/../b", []string{"/b"}},
		{"/a/%2e%2E/b", []string{"/b"}},
		{"/a/..%2Fb/c", []string{"/b/c", "/a/../b/c"}},
		{"/a/b%2F../c", []string{"/a/b/../c", "/a/c"}},
		{"/a//../b", []string{"/b", "/a/b"}},
		{"/%61/x", []string{"/a/x"}},
		{"/a%2Fb", []string{"/a/b"}},
		{"/a/%252e%252e/b", []string{"/a/%2e%2e/b"}},
		{"/../a", []string{"/a"}},
		{"/a/b/..", []string{"/a/"}},
		{"/a/.", []string{"/a/"}},
	} {
		got := Readings(test.path)
		for _, want := range test.want {
			if !slices.Contains(got, want) {
				t.Errorf("%q has no reading %q: %q", test.path, want, got)
			}
		}
	}
	for _, plain := range []string{"/", "/a/b", "/a.b/c..d", "*"} {
		if got := Readings(plain); got != nil {
			t.Errorf("%q has readings %q", plain, got)
		}
	}
}

// The path that the standard library arrives at is among the readings.
func TestReadingsContainThatOfTheStandardLibrary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SampledFrom([]string{"/", "a", ".", "..", "%2e", "%2F", "%25", "%41", "b"})
		p := "/" + strings.Join(rapid.SliceOfN(part, 0, 12).Draw(t, "parts"), "")
		parsed, err := url.ParseRequestURI(p)
		if err != nil {
			t.Skip(err)
		}
		want := path.Clean(parsed.Path)
		if readings := append(Readings(p), p); !slices.ContainsFunc(readings, func(r string) bool {
			return strings.TrimSuffix(r, "/") == strings.TrimSuffix(want, "/")
		}) {
			t.Fatalf("%q has no reading %q: %q", p, want, readings)
		}
	})
}
