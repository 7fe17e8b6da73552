// SPDX-License-Identifier: MIT

package backend

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// slowUpload is a body that never ends.
type slowUpload struct{ ended chan struct{} }

func (u slowUpload) Read(p []byte) (int, error) {
	select {
	case <-u.ended:
		return 0, io.ErrUnexpectedEOF
	case <-time.After(time.Millisecond):
		return copy(p, strings.Repeat("u", 1<<10)), nil
	}
}

// upload sends a request whose body is still being written when the response arrives, and reads
// the response.
func upload(t *testing.T, address string) (body string, err error) {
	t.Helper()
	e, err := newPool(address).Open(false)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	defer e.Finish(false)
	defer close(ended)
	var r fasthttp.Request
	r.SetRequestURI("/x")
	r.Header.SetHost("s")
	r.Header.SetMethod("POST")
	r.SetBodyStream(slowUpload{ended}, 1<<30)
	if err := e.Send(&r, time.Now().Add(5*time.Second)); err != nil {
		return "", err
	}
	all, err := io.ReadAll(e.Body())
	return string(all), err
}

// Guards against a part of a response that is taken for a whole one: a response without a length
// was reset while the request was being written, and the writer took the error, so that the reader
// saw the end of the connection.
func TestResponseCutOffDuringAnUploadIsNotWhole(t *testing.T) {
	const plays = 60
	address, _ := newScriptedServer(t, func(c net.Conn, number int) {
		reader := bufio.NewReader(c)
		readRequest(reader)
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		if number > plays {
			c.(*net.TCPConn).CloseWrite()
			io.Copy(io.Discard, reader)
			return
		}
		time.Sleep(time.Duration(number%20) * time.Millisecond)
		c.(*net.TCPConn).SetLinger(0) // The close resets the connection.
	})
	for play := range plays + 1 {
		if body, err := upload(t, address); err == nil {
			t.Errorf("play %d: %q is a whole response", play, body)
		}
	}
}

// A response without a length is whole if the request was written and the connection ends in order,
// however late the response is.
func TestResponseThatAClosedConnectionEndsIsWhole(t *testing.T) {
	address, _ := newScriptedServer(t, func(c net.Conn, _ int) {
		readRequest(bufio.NewReader(c))
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwh")
		time.Sleep(20 * time.Millisecond)
		io.WriteString(c, "ole")
	})
	e, err := send(t, newPool(address), false)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(e.Body()); err != nil || string(body) != "whole" {
		t.Errorf("body %q, error %v", body, err)
	}
}
