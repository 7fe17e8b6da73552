// SPDX-License-Identifier: MIT

package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/standin"
)

// untilClose marks an answer after which the server closes the connection.
const untilClose = "until close"

// startScriptedServer starts a backend server that answers a request for /N with the Nth of
// some texts. It returns the server's address.
func startScriptedServer(t *testing.T, answers []string) string {
	t.Helper()
	return startRawServer(t, func(path string, c net.Conn) {
		var n int
		if _, err := fmt.Sscanf(path, "/%d", &n); err != nil {
			c.Close()
			return
		}
		io.WriteString(c, answers[n])
		if strings.HasSuffix(answers[n], untilClose) {
			c.Close()
		}
	})
}

// Status, header fields and body of an answer reach the caller unchanged, whatever they say and
// however the body is framed. The HTTP library had replaced the Date.
func TestAnswersAreForwardedUnchanged(t *testing.T) {
	tests := []struct {
		name, method, head, framed string
		status                     int
		fields                     map[string][]string
		body                       string
	}{
		{name: "plain", head: "200 OK", framed: "Content-Length: 2\r\n\r\nab", status: 200, body: "ab",
			fields: map[string][]string{"Content-Type": nil, "Server": nil, "Set-Cookie": nil}},
		{name: "cookies", head: "200 OK\r\nSet-Cookie: a=\"b\"; Path=/;;X\r\nSet-Cookie: c\r\nSet-Cookie: =d ,\r\nset-cookie: a=2", framed: "Content-Length: 0\r\n\r\n", status: 200,
			fields: map[string][]string{"Set-Cookie": {"a=\"b\"; Path=/;;X", "c", "=d ,", "a=2"}}},
		{name: "repeated and empty fields", head: "200 OK\r\nX-A: 1\r\nX-B:\r\nx-a: 2\r\nX-A: 1\r\nVary:", framed: "Content-Length: 0\r\n\r\n", status: 200,
			fields: map[string][]string{"X-A": {"1", "2", "1"}, "X-B": {""}, "Vary": {""}}},
		{name: "bytes", head: "200 OK\r\nX-A: caf\xc3\xa9 \xff\t\"\\,;:=\r\nContent-Type: a/b; c=\"d;e\"", framed: "Content-Length: 0\r\n\r\n", status: 200,
			fields: map[string][]string{"X-A": {"caf\xc3\xa9 \xff\t\"\\,;:="}, "Content-Type": {"a/b; c=\"d;e\""}}},
		{name: "date and server", head: "200 OK\r\nDate: Thu, 01 Jan 1970 00:00:00 GMT\r\nServer: a/1 (b)\r\nAge: 5", framed: "Content-Length: 0\r\n\r\n", status: 200,
			fields: map[string][]string{"Date": {"Thu, 01 Jan 1970 00:00:00 GMT"}, "Server": {"a/1 (b)"}, "Age": {"5"}}},
		{name: "fields that end at the hop", head: "200 OK\r\nConnection: x-a, close\r\nConnection: X-B\r\nX-A: 1\r\nX-B: 2\r\nX-C: 3\r\nUpgrade: a", framed: "Content-Length: 0\r\n\r\n", status: 200,
			fields: map[string][]string{"X-A": nil, "X-B": nil, "X-C": {"3"}, "Upgrade": nil}},
		{name: "chunks with trailers", head: "200 OK\r\nTrailer: X-T", framed: "Transfer-Encoding: chunked\r\n\r\n1;x=y\r\na\r\n2\r\nbc\r\n0\r\nX-T: 1\r\n\r\n", status: 200, body: "abc",
			fields: map[string][]string{"X-T": nil, "Trailer": nil}},
		{name: "body until the connection closes", head: "200 OK", framed: "\r\n" + untilClose, status: 200, body: untilClose},
		{name: "encoded body", head: "200 OK\r\nContent-Encoding: gzip\r\nContent-Type: multipart/form-data; boundary=x", framed: "Content-Length: 3\r\n\r\nabc", status: 200, body: "abc",
			fields: map[string][]string{"Content-Encoding": {"gzip"}, "Content-Type": {"multipart/form-data; boundary=x"}}},
		{name: "interim answers", head: "100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK", framed: "Content-Length: 1\r\n\r\na", status: 200, body: "a",
			fields: map[string][]string{"Link": nil}},
		{name: "redirect", head: "301 Gone\r\nLocation: //h/a%2Fb/../c?%zz#d", framed: "Content-Length: 0\r\n\r\n", status: 301,
			fields: map[string][]string{"Location": {"//h/a%2Fb/../c?%zz#d"}}},
		{name: "no content", head: "204 None\r\nETag: \"a\"", framed: "\r\n", status: 204, fields: map[string][]string{"Etag": {"\"a\""}, "Content-Type": nil}},
		{name: "not modified", head: "304 Same\r\nETag: W/\"a\"\r\nContent-Type: a/b", framed: "\r\n", status: 304, fields: map[string][]string{"Etag": {"W/\"a\""}, "Content-Type": {"a/b"}}},
		{name: "part", head: "206 Part\r\nContent-Range: bytes 0-1/9\r\nDate: Thu, 01 Jan 1970 00:00:00 GMT", framed: "Content-Length: 2\r\n\r\nab", status: 206, body: "ab", fields: map[string][]string{"Content-Range": {"bytes 0-1/9"}, "Date": {"Thu, 01 Jan 1970 00:00:00 GMT"}}},
		{name: "foreign status", head: "599 Odd reason", framed: "Content-Length: 1\r\n\r\na", status: 599, body: "a"},
		{name: "challenge", head: "401 No\r\nWWW-Authenticate: Basic realm=\"a\"\r\nWWW-Authenticate: Bearer", framed: "Content-Length: 0\r\n\r\n", status: 401,
			fields: map[string][]string{"Www-Authenticate": {"Basic realm=\"a\"", "Bearer"}}},
		{name: "head", method: "HEAD", head: "200 OK\r\nContent-Type: a/b", framed: "Content-Length: 9\r\n\r\n", status: 200, fields: map[string][]string{"Content-Length": {"9"}, "Content-Type": {"a/b"}}},
	}
	var answers []string
	for _, test := range tests {
		answers = append(answers, "HTTP/1.1 "+test.head+"\r\n"+test.framed)
	}
	s := startSite(t, 1, nil, standin.Behaviour{Slots: 4})
	server := s.Servers[0]
	apply(t, s, strings.ReplaceAll(s.Table(), server.Address, startScriptedServer(t, answers)))
	for n, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if test.method == "" {
				test.method = "GET"
			}
			conn, err := net.Dial("tcp", server.Node.CallerAddress())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprintf(conn, "%s /%d HTTP/1.1\r\nHost: archive\r\n\r\n", test.method, n)
			response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: test.method})
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != test.status || string(body) != test.body {
				t.Errorf("status %d, body %q, error %v", response.StatusCode, body, err)
			}
			for name, want := range test.fields {
				if got := response.Header[name]; !slices.Equal(got, want) {
					t.Errorf("%s arrived as %q, want %q", name, got, want)
				}
			}
			if text := http.StatusText(test.status); !strings.HasSuffix(response.Status, text) {
				t.Errorf("status line %q", response.Status)
			}
			if len(response.Header["Date"]) != 1 {
				t.Errorf("Date: %q", response.Header["Date"])
			}
		})
	}
}

// The node's own answers name it, and have a type and a Date.
func TestOwnAnswersAreComplete(t *testing.T) {
	s := startSite(t, 1, nil, standin.Behaviour{Slots: 4})
	for name, request := range map[string]string{
		"unknown service": "GET / HTTP/1.1\r\nHost: none\r\n\r\n",
		"unreadable head": "GET / HTTP/1.1\r\nHost: archive\r\nHost: archive\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", s.Servers[0].Node.CallerAddress())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, request)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		h := response.Header
		if h.Get("Server") != header.ServerSoftware || h.Get("Content-Type") != "text/plain; charset=utf-8" || len(h["Date"]) != 1 || h.Get(header.Outcome) != header.NotRun {
			t.Errorf("%s: status %d with %v", name, response.StatusCode, h)
		}
	}
}
