// SPDX-License-Identifier: MIT

package peer

import (
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/wire"
)

// Of 560 connections that fell silent in a row, three were given up by their dialers
// without a word that arrived, and their accepting side kept them for good. It closes
// what carries nothing, and leaves what has work or is used.
func TestAcceptedConnectionsThatCarryNothingAreClosed(t *testing.T) {
	g := newGate()
	server := &Server{
		Self: Identity{Host: "gate", Incarnation: 7, Key: testKey}, Counters: new(Counters), Handler: g,
		HandshakeLimit: time.Second, MaxConns: 10, IdleLimit: time.Minute,
	}
	address := serve(t, server)
	idle, used, works := dialFence(t, address, "a"), dialFence(t, address, "b"), dialFence(t, address, "c")
	idle.sync(t)
	works.request(1)
	works.sync(t)
	now := time.Now()
	look := func(span time.Duration) {
		for end := now.Add(span); now.Before(end); now = now.Add(time.Second) {
			used.sync(t)
			server.Check(now)
		}
	}
	open := func(want int64) {
		t.Helper()
		eventually(t, "the open connections", func() bool { return server.Counters.Accepted.Load() == want })
	}

	look(50 * time.Second)
	open(3)
	now = now.Add(time.Hour) // This node stood still, and what was sent to it is unread.
	look(time.Second)
	open(3)
	idle.sync(t)
	look(50 * time.Second)
	open(3)
	look(30 * time.Second)
	open(2)
	if _, err := idle.r.Next(wire.MaxFrame); err == nil {
		t.Error("another connection than the idle one was closed")
	}
	_ = g.stream("/1").Respond(&wire.Response{Status: 200, Last: true})
	look(50 * time.Second)
	open(2)
	look(30 * time.Second)
	open(1)
	used.sync(t)
}
