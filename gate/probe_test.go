// SPDX-License-Identifier: MIT

package gate

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/header"
)

// A health check is no answer if its bytes are none, and ends if they have no end.
func TestQueryServerReadsOnlyValidAnswers(t *testing.T) {
	dialect := header.Dialect{RequestID: "Id", ServerID: "Server-Id", Load: "Load"}
	dialect.Prepare()
	const fields = "Server-Id: a\r\nLoad: 0,0,4\r\n"
	for name, test := range map[string]struct {
		answer, endless string
		ok              bool
	}{
		"valid":           {"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n", "", true},
		"endless body":    {"HTTP/1.1 200 OK\r\n" + fields + "\r\n", "x", true},
		"endless field":   {"HTTP/1.1 200 OK\r\n" + fields + "X: ", "x", false},
		"status 000":      {"HTTP/1.1 000 OK\r\n" + fields + "Content-Length: 0\r\n\r\n", "", false},
		"blank in a name": {"HTTP/1.1 200 OK\r\n" + fields + "X A: 1\r\nContent-Length: 0\r\n\r\n", "", false},
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
			io.WriteString(c, test.answer)
			for test.endless != "" {
				if _, err := io.WriteString(c, strings.Repeat(test.endless, 1<<10)); err != nil {
					return
				}
			}
		}()
		if found, ok := QueryServer(listener.Addr().String(), "/health", "s", &dialect, 2*time.Second); ok != test.ok || found.Accepting != ok {
			t.Errorf("%s: found %+v, %v", name, found, ok)
		}
	}
}
