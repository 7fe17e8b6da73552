// SPDX-License-Identifier: MIT

package store_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/store"
)

// Bytes of the platform that are no response acknowledge nothing. A write was taken for done whose
// response had the status 000.
func TestBytesThatAreNoResponseAcknowledgeNothing(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 000 OK\r\nETag: \"1\"\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nE Tag: \"1\"\r\nContent-Length: 0\r\n\r\n",
		"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				http.ReadRequest(bufio.NewReader(c))
				io.WriteString(c, response)
				c.Close()
			}
		}()
		c := store.NewHTTP(listener.Addr().String(), time.Second)
		if _, err := c.Put(ctx, "k", "", nil); !errors.Is(err, store.ErrUnknown) {
			t.Errorf("%q: error %v of a write", response, err)
		}
		if _, err := c.Get(ctx, "k"); !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("%q: error %v of a read", response, err)
		}
	}
}
