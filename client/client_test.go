// SPDX-License-Identifier: MIT

package client

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
)

// received is a request as a node receives it.
type received struct {
	target, host, body string
	fields             http.Header
}

// startNode starts a stand-in of a node and returns its address and what it receives.
func startNode(t *testing.T) (address string, requests <-chan received) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	got := make(chan received, 1)
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got <- received{r.RequestURI, r.Host, string(body), r.Header}
		w.Header()["Content-Type"] = nil // The server adds none.
	}))
	return listener.Addr().String(), got
}

// The target, the fields and the body reach the node as the caller states them, and nothing is
// added to the answer. The HTTP library had decoded and normalized the path and parsed cookies.
func TestRequestsAreSentUnchanged(t *testing.T) {
	address, requests := startNode(t)
	c := New([]string{address})
	for _, path := range []string{"/a%2Fb/./c/../d//e?f=%2f&&g=/../h", "/%41%20?x", "/"} {
		answer, err := c.Do(Request{
			Service: "s", Method: "POST", Path: path, Body: []byte("a=b&c"),
			Header: map[string]string{"Cookie": `a="b"; c;d=e`, "X-Empty": "", "User-Agent": "me"},
		})
		if err != nil {
			t.Fatal(err)
		}
		got := <-requests
		if got.target != path || got.host != "s" || got.body != "a=b&c" {
			t.Errorf("%s was received as %s for host %s with body %q", path, got.target, got.host, got.body)
		}
		for name, want := range map[string][]string{"Cookie": {`a="b"; c;d=e`}, "X-Empty": {""}, "User-Agent": {"me"}, "Content-Type": nil} {
			if values := got.fields[name]; !slices.Equal(values, want) {
				t.Errorf("%s was received as %q, want %q", name, values, want)
			}
		}
		if value, ok := answer.Header["Content-Type"]; ok {
			t.Errorf("the answer has Content-Type %q", value)
		}
	}
}

// Bytes of a node that are no answer, and answers that are cut off, are not returned as answers.
// Status 000 was returned as 200.
func TestBytesThatAreNoAnswerAreErrors(t *testing.T) {
	for _, bytes := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			http.ReadRequest(bufio.NewReader(c))
			io.WriteString(c, bytes)
		}()
		answer, err := New([]string{listener.Addr().String()}).Do(Request{Service: "s", Method: "GET", Path: "/"})
		if !errors.Is(err, ErrUnknown) {
			t.Errorf("%q: answer %+v, error %v", bytes, answer, err)
		}
	}
}
