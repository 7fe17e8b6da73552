// SPDX-License-Identifier: MIT

package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/standin"
)

// A request and an answer of more than 1,024 short fields pass, and break off no other request of
// the same node. Every request at work ended with 502 before.
func TestManyHeaderFieldsBreakOffNothing(t *testing.T) {
	const fields = 1100
	many := strings.Repeat("a:\r\n", fields)
	s := startSite(t, 1, nil, standin.Behaviour{Slots: 4})
	server := s.Servers[0]
	answers := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nreq",
		"HTTP/1.1 200 OK\r\n" + many + "Content-Length: 3\r\n\r\nans",
	}
	received := make(chan struct{})
	finish := make(chan struct{})
	address := startRawServer(t, func(path string, c net.Conn) {
		var n int
		fmt.Sscanf(path, "/%d", &n)
		if n == 0 {
			received <- struct{}{}
			<-finish
		}
		io.WriteString(c, answers[n])
	})
	apply(t, s, strings.ReplaceAll(s.Table(), server.Address, address))
	order := make(chan string, 1)
	go func() {
		order <- exchange(t, server.Node.CallerAddress(), "POST /0 HTTP/1.1\r\nHost: archive\r\nContent-Length: 0\r\n\r\n")
	}()
	<-received
	if got := exchange(t, server.Node.CallerAddress(), "GET /1 HTTP/1.1\r\nHost: archive\r\n"+many+"\r\n"); got != "200 req" {
		t.Errorf("the request with many fields got %q", got)
	}
	if got := exchange(t, server.Node.CallerAddress(), "GET /2 HTTP/1.1\r\nHost: archive\r\n\r\n"); got != "200 ans" {
		t.Errorf("the request whose answer has many fields got %q", got)
	}
	close(finish)
	if got := <-order; got != "200 late" {
		t.Errorf("the order that was at work got %q", got)
	}
}

// exchange sends a request as it stands and returns the status and the body of the answer.
func exchange(t *testing.T, address, request string) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(conn, request)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %s", response.StatusCode, body)
}

// startRawServer starts a backend server that answers each request with a function, which gets
// the request's path. It returns the server's address.
func startRawServer(t *testing.T, answer func(path string, c net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					answer(r.URL.Path, c)
				}
			}()
		}
	}()
	return listener.Addr().String()
}
