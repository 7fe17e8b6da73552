// SPDX-License-Identifier: MIT

package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// A server that sends bytes without end does not hold up or fill the node.
func TestEndlessResponsesEnd(t *testing.T) {
	for name, test := range map[string]struct{ start, endless string }{
		"blank lines":       {"", "\r\n"},
		"status line":       {"HTTP/1.1 200 ", "x"},
		"name":              {"HTTP/1.1 200 OK\r\n", "x"},
		"value":             {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"fields":            {"HTTP/1.1 200 OK\r\n", "X: a\r\n"},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"chunk size":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailers":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: a\r\n"},
		"trailer":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := newScriptedServer(t, func(c net.Conn, _ int) {
				readRequest(bufio.NewReader(c))
				io.WriteString(c, test.start)
				block := strings.Repeat(test.endless, 1<<10)
				for {
					if _, err := io.WriteString(c, block); err != nil {
						return
					}
				}
			})
			began := time.Now()
			e, err := send(t, newPool(address), false)
			if err == nil {
				_, err = io.Copy(io.Discard, e.Body())
			}
			e.Finish(false)
			var network net.Error
			if err == nil || errors.As(err, &network) && network.Timeout() {
				t.Errorf("ended after %v with error %v", time.Since(began), err)
			}
		})
	}
}
