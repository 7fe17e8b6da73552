// SPDX-License-Identifier: MIT

package peer

import (
	"bytes"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/wire"
)

// tooManyFields returns packed header fields of which a message must not have that many.
func tooManyFields() []byte {
	const methodGet = 0x82 // Index 2 of the static table of RFC 7541.
	return bytes.Repeat([]byte{methodGet}, wire.MaxHeaderBytes)
}

// A request that a gate cannot decode is refused, and the others of its connection continue. They
// ended with it before.
func TestUndecodableRequestIsRefusedAlone(t *testing.T) {
	release := make(chan struct{})
	address, counters := startServer(t, &handler{request: func(s *Stream) {
		<-release
		s.Respond(&wire.Response{Status: 200, Last: true})
	}})
	c := dialRawConn(t, address, "entry")
	c.request(1)
	writeFrame(c.nc, &wire.Request{ID: 2, BudgetMicros: 1e6, Packed: tooManyFields(), Last: true})
	m, err := c.r.Next(wire.MaxFrame)
	if refusal, ok := m.(*wire.Refusal); !ok || refusal.ID != 2 || refusal.Reason != wire.ReasonUndecodable {
		t.Errorf("got %+v, error %v", m, err)
	}
	close(release)
	m, err = c.r.Next(wire.MaxFrame)
	if response, ok := m.(*wire.Response); !ok || response.ID != 1 {
		t.Errorf("the other request got %+v, error %v", m, err)
	}
	if n := counters.Undecodable.Load(); n != 1 {
		t.Errorf("%d messages were counted", n)
	}
}

// An answer that an entry cannot decode ends its own call. It ended all calls of the connection
// before.
func TestUndecodableAnswerEndsItsCallAlone(t *testing.T) {
	address := rawPeer(t, func(nc net.Conn, r *wire.Reader) {
		first, second := nextRequest(r), nextRequest(r)
		writeFrame(nc, &wire.Response{ID: first.ID, Status: 200, Packed: tooManyFields(), Last: true})
		writeFrame(nc, &wire.Response{ID: second.ID, Status: 200, Last: true})
		nextRequest(r)
	})
	c := connect(t, newDialer(t, testKey), address)
	first, second := startCall(t, c, "/1"), startCall(t, c, "/2")
	if h := wait(t, first); h.Reset == nil {
		t.Errorf("the call with the undecodable answer got %+v", h)
	}
	if h := wait(t, second); h.Response == nil || h.Response.Status != 200 {
		t.Errorf("the other call got %+v", h)
	}
}

// A node of an older build gets no message that it cannot decode.
func TestOlderPeersGetFewFields(t *testing.T) {
	many := make(wire.Fields, wire.MaxLegacyFields+1)
	for i := range many {
		many[i] = wire.Field{Name: "a"}
	}
	address, _ := startServer(t, &handler{request: func(s *Stream) {
		s.Respond(&wire.Response{Status: 200, Header: many, Last: true})
	}})
	older := dialRawConn(t, address, "entry") // It sends no Supports.
	older.request(1)
	if m, err := older.r.Next(wire.MaxFrame); err != nil {
		t.Error(err)
	} else if reset, ok := m.(*wire.Reset); !ok || reset.ID != 1 {
		t.Errorf("got %+v", m)
	}
	c := connect(t, newDialer(t, testKey), address)
	if h := wait(t, startCall(t, c, "/")); h.Response == nil || len(h.Response.Header) != len(many) {
		t.Errorf("a node of this build got %+v", h)
	}
	c.version = wire.VersionRequirements
	if _, err := c.Start(&wire.Request{Header: many, BudgetMicros: time.Second.Microseconds(), Last: true}); !errors.Is(err, wire.ErrHeaderTooLarge) {
		t.Errorf("a request with many fields: error %v", err)
	}
}
