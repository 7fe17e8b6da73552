// SPDX-License-Identifier: MIT

package soak

import (
	"math/rand/v2"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// shapedShare is the share of callers' requests that are given a drawn shape.
const shapedShare = 0.5

// What a shaped request consists of. Nodes must forward all of it unchanged.
var (
	// drawnTargets follow the path of a request and stay within its route.
	drawnTargets = []string{
		"%2Fa", "/./b", "/a/../c", "//d///e", "/%2e%2E/f", "%20%41%7e", "/%25%32%46", ";v=1,2",
		"?", "?q=%2f&r=%zz&&s", "?to=http://h/../x", "/[:]@!$'()*\"<>", "/caf\xc3\xa9",
	}
	drawnFields = [][]string{
		{`Cookie: a="b"; c;d=e`}, {"Cookie: a=1", "Cookie: b=\"2\""}, {"X-Repeated: 1", "x-repeated: 2", "X-Repeated: 1"},
		{"X-Empty:", "User-Agent:"}, {"If-None-Match: \"a\", W/\"b\"", "Range: bytes=0-1"}, {"Accept-Encoding: gzip;q=0, br"},
	}
	drawnTypes = []string{
		"multipart/form-data; boundary=frontier", "multipart/form-data", "multipart/mixed; boundary=frontier",
		"application/x-www-form-urlencoded", "application/json", "text/plain; charset=\"utf-8\"", "",
	}
	drawnBodies = []string{
		"--frontier\r\nContent-Disposition: form-data; name=\"f\"; filename=\"x\"\r\n\r\nabc\r\n--frontier--\r\n",
		"a=b&c=%2F+%zz&&d", "\x00\xff\r\n\r\n0\r\n\r\n", strings.Repeat("line of a file\r\n", 250), strings.Repeat("line of a large file\r\n", 2000),
	}
)

// answerFields are header fields that servers send with all answers, for nodes to forward.
var answerFields = []string{`Set-Cookie: a="b"; Path=/;;x`, "Set-Cookie: c", "X-Empty:", "Date: Thu, 01 Jan 1970 00:00:00 GMT"}

// shape gives some requests targets, fields, bodies and framings that a node could misread.
func (r request) shape(rng *rand.Rand) request {
	if rng.Float64() >= shapedShare {
		return r
	}
	if rng.IntN(2) == 0 {
		r.uri, _, _ = strings.Cut(r.uri, "?")
		r.uri += drawnTargets[rng.IntN(len(drawnTargets))]
	}
	if rng.IntN(2) == 0 {
		r.fields = append(r.fields, drawnFields[rng.IntN(len(drawnFields))]...)
	}
	if r.body == "" {
		return r
	}
	r.body = drawnBodies[rng.IntN(len(drawnBodies))]
	r.chunked = rng.IntN(2) == 0
	if contentType := drawnTypes[rng.IntN(len(drawnTypes))]; contentType != "" {
		r.fields = append(r.fields, "Content-Type: "+contentType)
	}
	return r
}

// differingField returns the name of a sent field whose values are not those that were received,
// or "".
func differingField(sent []string, received http.Header) string {
	want := http.Header{}
	for _, line := range sent {
		name, value, _ := strings.Cut(line, ":")
		want.Add(name, textproto.TrimString(value))
	}
	for name, values := range want {
		if !slices.Equal(values, received[name]) {
			return name
		}
	}
	return ""
}
