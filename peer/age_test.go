// SPDX-License-Identifier: MIT

package peer

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ryehaven/ryehaven/wire"
)

// slowConn is the dialing side of a connection that stands still at one moment of the
// handshake.
type slowConn struct {
	net.Conn
	// beforeRead and afterWrites are where it stands still: before its first read, and
	// after so many writes, 0 for none.
	beforeRead  bool
	afterWrites int
	still       time.Duration
}

func (c *slowConn) Read(p []byte) (int, error) {
	if c.beforeRead {
		c.beforeRead = false
		time.Sleep(c.still)
	}
	return c.Conn.Read(p)
}

func (c *slowConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if c.afterWrites--; c.afterWrites == 0 {
		time.Sleep(c.still)
	}
	return n, err
}

// Runs were ended before their time because a request was taken for older than it was.
// Wherever the dialing side stands still while the connection opens, its time ends neither
// before the expiry nor after the deadline but for a quick handshake.
func TestTimeOfARequestLiesBetweenItsBounds(t *testing.T) {
	const budget, still = time.Second, 300 * time.Millisecond
	for name, slow := range map[string]slowConn{
		"nowhere":              {},
		"after the hello":      {afterWrites: 1},
		"before the challenge": {beforeRead: true},
		"after the proof":      {afterWrites: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				arrived := make(chan *Stream, 1)
				server := &Server{
					Self: Identity{Host: "gate", Key: testKey}, Counters: new(Counters), HandshakeLimit: time.Second, MaxConns: 1,
					Handler: &handler{request: func(s *Stream) { arrived <- s }},
				}
				near, far := net.Pipe()
				go server.serveConn(far)
				slow.Conn, slow.still = near, still
				c, err := openConn(&slow, "gate", Identity{Host: "entry", Key: testKey}, new(Counters), time.Second, connHooks{})
				if err != nil {
					t.Fatal(err)
				}
				defer server.Close()
				defer c.Close()
				for range 2 {
					due := time.Now().Add(budget)
					if _, err := c.Start(&wire.Request{BudgetMicros: budget.Microseconds(), Last: true}); err != nil {
						t.Fatal(err)
					}
					s := <-arrived
					if s.Expiry.Before(due) || s.Deadline.After(due.Add(quickHandshake)) {
						t.Errorf("deadline %v and expiry %v from when the time is up", s.Deadline.Sub(due), s.Expiry.Sub(due))
					}
					time.Sleep(time.Minute)
				}
			})
		})
	}
}
