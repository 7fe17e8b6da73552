// SPDX-License-Identifier: MIT

package backend

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"
)

// A connection is not used again so late that the server may be closing it, as it says in
// Keep-Alive: a request that crosses the close has an unknown result.
func TestKeptConnectionsEndBeforeTheServerClosesThem(t *testing.T) {
	for _, test := range []struct {
		field string
		// kept and expired are ages at which the connection is still used, and is not.
		kept, expired time.Duration
	}{
		{"", 900 * time.Millisecond, 1100 * time.Millisecond},
		{"Keep-Alive: timeout=9\r\n", 900 * time.Millisecond, 1100 * time.Millisecond},
		{"Keep-Alive: timeout=1, max=40\r\n", 700 * time.Millisecond, 850 * time.Millisecond},
		{"Keep-Alive: max=3, Timeout = \"1\"\r\n", 700 * time.Millisecond, 850 * time.Millisecond},
		{"Keep-Alive: timeout=0\r\n", -1, time.Millisecond},
		{"Keep-Alive: timeout=soon\r\n", 900 * time.Millisecond, 1100 * time.Millisecond},
		{"Keep-Alive: timeout=-4\r\n", 900 * time.Millisecond, 1100 * time.Millisecond},
	} {
		address, _ := newScriptedServer(t, func(c net.Conn, _ int) {
			for r := bufio.NewReader(c); readRequest(r); {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", test.field)
			}
		})
		for _, expired := range []bool{false, true} {
			p := newPool(address)
			e, err := send(t, p, true)
			if err != nil {
				t.Fatal(err)
			}
			e.Finish(true)
			age := test.kept
			if expired {
				age = test.expired
			}
			if age < 0 {
				continue
			}
			now := time.Now().Add(age)
			if c := p.takeOldest(now); (c == nil) != expired {
				t.Errorf("%q: taken after %v: %v", test.field, age, c != nil)
			}
			p.Close()
		}
		p := newPool(address)
		e, err := send(t, p, true)
		if err != nil {
			t.Fatal(err)
		}
		e.Finish(true)
		if p.CloseExpired(time.Now().Add(test.expired)); len(p.idle) != 0 {
			t.Errorf("%q: still open after %v", test.field, test.expired)
		}
	}
}
