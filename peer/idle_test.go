// SPDX-License-Identifier: MIT

package peer

import (
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/wire"
)

// Of 560 connections that stalled in a row, the dialers of three gave them up and their
// close never arrived, and the accepting side kept them for good. It must close idle
// connections, and keep those that have work or are used.
func TestIdleAcceptedConnectionsAreClosed(t *testing.T) {
	g := newRecordingHandler()
	server := &Server{
		Self: Identity{Host: "gate", Incarnation: 7, Key: testKey}, Counters: new(Counters), Handler: g,
		HandshakeLimit: time.Second, MaxConns: 10, IdleLimit: time.Minute,
	}
	address := serve(t, server)
	idle, used, busy := dialRawConn(t, address, "a"), dialRawConn(t, address, "b"), dialRawConn(t, address, "c")
	idle.sync(t)
	busy.request(1)
	busy.sync(t)
	now := time.Now()
	checkFor := func(span time.Duration) {
		for end := now.Add(span); now.Before(end); now = now.Add(time.Second) {
			used.sync(t)
			server.Check(now)
		}
	}
	wantOpen := func(want int64) {
		t.Helper()
		eventually(t, "the open connections", func() bool { return server.Counters.Accepted.Load() == want })
	}

	checkFor(50 * time.Second)
	wantOpen(3)
	now = now.Add(time.Hour) // This node was paused, and data sent to it is still unread.
	checkFor(time.Second)
	wantOpen(3)
	idle.sync(t)
	checkFor(50 * time.Second)
	wantOpen(3)
	writeFrame(idle.nc, &wire.Supports{Version: wire.VersionSupported}) // It is no use of the connection.
	time.Sleep(50 * time.Millisecond)
	checkFor(30 * time.Second)
	wantOpen(2)
	if _, err := idle.r.Next(wire.MaxFrame); err == nil {
		t.Error("a connection other than the idle one was closed")
	}
	_ = g.stream("/1").Respond(&wire.Response{Status: 200, Last: true})
	checkFor(50 * time.Second)
	wantOpen(2)
	checkFor(30 * time.Second)
	wantOpen(1)
	used.sync(t)
}
