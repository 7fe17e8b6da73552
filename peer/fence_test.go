// SPDX-License-Identifier: MIT

package peer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ryehaven/ryehaven/internal/faultproxy"
	"github.com/ryehaven/ryehaven/wire"
)

// All connections between nodes went silent at once while new ones worked. A connection
// was replaced only a second after its node was suspected, and everything under way on
// it ended as unknown, though nothing of what was sent after the silence had ever
// arrived: of 96 repeatable requests in three silences none was answered, since all
// servers were silent and the budget for repeats was used up. Now the node is asked on
// another connection what has arrived on the old one, and takes nothing there any more.
// So each request is known to have run or not, and the answers of those that arrived
// come on the new one.

// gate counts what runs, and answers a request when it is told to.
type gate struct {
	mu       sync.Mutex
	streams  map[string]*Stream
	ran      map[string]int
	canceled map[string]int
	// request is called beside, if set.
	request func(s *Stream)
}

func newGate() *gate {
	return &gate{streams: map[string]*Stream{}, ran: map[string]int{}, canceled: map[string]int{}}
}

func (g *gate) Request(s *Stream) {
	g.mu.Lock()
	g.streams[s.Request.URI] = s
	g.ran[s.Request.URI]++
	g.mu.Unlock()
	if g.request != nil {
		g.request(s)
	}
}

func (g *gate) Canceled(s *Stream, _ bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.canceled[s.Request.URI]++
}

func (g *gate) Ask(Identity, wire.Topic, []byte) ([]byte, error) { return nil, nil }

func (g *gate) stream(uri string) *Stream {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.streams[uri]
}

func (g *gate) times(counts map[string]int, uri string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return counts[uri]
}

// silentPair is a connection by way of a proxy, looked after by its dialer.
type silentPair struct {
	t     *testing.T
	gate  *gate
	proxy *faultproxy.Proxy
	d     *Dialer
	conn  *Conn
}

func startPair(t *testing.T) *silentPair {
	t.Helper()
	p := &silentPair{t: t, gate: newGate()}
	address, counters := start(t, p.gate)
	p.proxy = through(t, address)
	p.d = watched(t)
	p.conn = connect(t, p.d, p.proxy.Address())
	eventually(t, "the end of the handshake", func() bool { return counters.Accepted.Load() == 1 })
	return p
}

// arrived starts a request and waits until the gate has it.
func (p *silentPair) arrived(uri string) *Call {
	p.t.Helper()
	call := startCall(p.t, p.conn, uri)
	eventually(p.t, uri+" at the gate", func() bool { return p.gate.stream(uri) != nil })
	return call
}

// wantAnswer expects the answer with this body.
func wantAnswer(t *testing.T, what string, call *Call, body string) {
	t.Helper()
	head := wait(t, call)
	if head.Response == nil || !head.Moved {
		t.Errorf("%s: head %+v, want an answer that was moved", what, head)
		return
	}
	if got, err := io.ReadAll(call.Body(time.Second)); err != nil || string(got) != body {
		t.Errorf("%s: body %q, error %v, want %q", what, got, err, body)
	}
}

// What had not arrived on a silent connection is known not to have run, and what had is
// answered on another: answers given before the silence was found, and after it.
func TestSilentConnectionLosesNothing(t *testing.T) {
	p := startPair(t)
	early, late, refused := p.arrived("/early"), p.arrived("/late"), p.arrived("/refused")
	p.proxy.Silence()
	never := startCall(t, p.conn, "/never")
	_ = p.gate.stream("/early").Respond(&wire.Response{Status: 200, Body: []byte("early"), Last: true})
	p.gate.stream("/refused").Refuse(wire.ReasonShed, 0, wire.Load{})

	if head := wait(t, never); !errors.Is(head.Err, ErrNotArrived) {
		t.Errorf("a request that never arrived: %+v", head)
	}
	wantAnswer(t, "answered into the silence", early, "early")
	if head := wait(t, refused); head.Refusal == nil || head.Refusal.Reason != wire.ReasonShed {
		t.Errorf("a request refused into the silence: %+v", head)
	}
	_ = p.gate.stream("/late").Respond(&wire.Response{Status: 200, Body: []byte("late"), Last: true})
	wantAnswer(t, "answered after", late, "late")

	// A caller that still holds the old connection begins on the new one.
	next := startCall(t, p.conn, "/next")
	eventually(t, "the next request at the gate", func() bool { return p.gate.stream("/next") != nil })
	_ = p.gate.stream("/next").Respond(&wire.Response{Status: 200, Last: true})
	if head := wait(t, next); head.Response == nil || head.Moved {
		t.Errorf("a request of later: %+v", head)
	}
	// Once the way speaks again nothing that was sent into the silence is taken.
	p.proxy.Resume()
	if c := p.d.Counters; c.Moved.Load() != 4 || c.NotArrived.Load() != 1 || c.MovedLost.Load() != 0 || c.SilentRequests.Load() != 4 {
		t.Errorf("moved %d, not arrived %d, lost %d, under way %d", c.Moved.Load(), c.NotArrived.Load(), c.MovedLost.Load(), c.SilentRequests.Load())
	}
	eventually(t, "the end of the old connection", p.conn.closed)
	if n := p.gate.times(p.gate.ran, "/never"); n != 0 {
		t.Errorf("what was told as not run ran %d times", n)
	}
}

// A caller that leaves ends its work at the gate, whenever it leaves.
func TestCancelsPassASilence(t *testing.T) {
	p := startPair(t)
	before, word, after, other := p.arrived("/before"), p.arrived("/word"), p.arrived("/after"), p.arrived("/other")
	stream := p.arrived("/stream")
	_ = p.gate.stream("/stream").Respond(&wire.Response{Status: 200, Length: -1, Body: []byte("a")})
	wait(t, stream) // Its body stays on the old connection.
	p.proxy.Silence()
	before.Abandon()
	word.Cancel() // It still waits for the gate's word.
	eventually(t, "another connection", func() bool { return p.d.Counters.Replaced.Load() == 1 })
	after.Abandon()
	stream.Abandon()
	for _, uri := range []string{"/before", "/word", "/after", "/stream"} {
		eventually(t, uri+" canceled", func() bool { return p.gate.times(p.gate.canceled, uri) == 1 })
	}
	p.gate.stream("/word").Reset("canceled", wire.Load{})
	if head := wait(t, word); head.Reset == nil {
		t.Errorf("the gate's word is %+v", head)
	}
	_ = p.gate.stream("/other").Respond(&wire.Response{Status: 200, Last: true})
	wantAnswer(t, "a caller that stays", other, "")
	if n := p.gate.times(p.gate.canceled, "/other"); n != 0 {
		t.Errorf("a caller that stays was canceled %d times", n)
	}
}

// Bodies under way stay on a connection that may only be slow, and pass whole if it
// speaks again; if it does not, they are cut and their work ends.
func TestBodiesStayOnTheirConnection(t *testing.T) {
	for _, resumes := range []bool{true, false} {
		t.Run(fmt.Sprint("speaks again ", resumes), func(t *testing.T) {
			p := startPair(t)
			down := p.arrived("/down")
			if err := p.gate.stream("/down").Respond(&wire.Response{Status: 200, Length: -1, Body: []byte("a")}); err != nil {
				t.Fatal(err)
			}
			wait(t, down)
			up, err := p.conn.Start(&wire.Request{URI: "/up", BudgetMicros: time.Minute.Microseconds(), Length: 2, Body: []byte("1")})
			if err != nil {
				t.Fatal(err)
			}
			eventually(t, "the upload at the gate", func() bool { return p.gate.stream("/up") != nil })
			p.proxy.Silence()
			work := startCall(t, p.conn, "/work")
			if err := up.Send([]byte("2"), true, time.Second); err != nil {
				t.Fatal(err)
			}
			if err := p.gate.stream("/down").Send([]byte("b"), true, time.Second); err != nil {
				t.Fatal(err)
			}
			if head := wait(t, work); !errors.Is(head.Err, ErrNotArrived) {
				t.Fatalf("head %+v", head)
			}
			if resumes {
				p.proxy.Resume()
			}
			got, err := io.ReadAll(down.Body(10 * time.Second))
			if resumes != (err == nil && string(got) == "ab") {
				t.Errorf("answer %q, error %v", got, err)
			}
			if !resumes {
				if head := wait(t, up); !errors.Is(head.Err, ErrSilent) {
					t.Errorf("upload: %+v", head)
				}
				eventually(t, "the upload's end at the gate", func() bool { return p.gate.times(p.gate.canceled, "/up") == 1 })
				return
			}
			body, err := io.ReadAll(p.gate.stream("/up").Body(5 * time.Second))
			if err != nil || string(body) != "12" {
				t.Errorf("upload %q, error %v", body, err)
			}
			_ = p.gate.stream("/up").Respond(&wire.Response{Status: 200, Last: true})
			if head := wait(t, up); head.Response == nil {
				t.Errorf("upload: %+v", head)
			}
			eventually(t, "the end of the old connection", p.conn.closed)
		})
	}
}

// An upload of which nothing has arrived is known not to have run.
func TestUploadThatNeverArrived(t *testing.T) {
	p := startPair(t)
	p.proxy.Silence()
	up, err := p.conn.Start(&wire.Request{URI: "/up", BudgetMicros: time.Minute.Microseconds(), Length: 2, Body: []byte("1")})
	if err != nil {
		t.Fatal(err)
	}
	if head := wait(t, up); !errors.Is(head.Err, ErrNotArrived) {
		t.Errorf("head %+v", head)
	}
}

// A node that was started again does not know what its predecessor has run.
func TestRestartedNodeLeavesItUnknown(t *testing.T) {
	p := startPair(t)
	call := p.arrived("/x")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	next := &Server{
		Self: Identity{Host: "gate", Incarnation: 8, Key: testKey}, Counters: new(Counters), Handler: newGate(),
		HandshakeLimit: time.Second, MaxConns: 10,
	}
	go next.Serve(listener)
	t.Cleanup(func() {
		listener.Close()
		next.Close()
	})
	p.proxy.Silence()
	p.proxy.SetTarget(listener.Addr().String())
	never := startCall(t, p.conn, "/never")
	for _, c := range []*Call{call, never} {
		if head := wait(t, c); !errors.Is(head.Err, ErrSilent) {
			t.Errorf("head %+v, want ErrSilent", head)
		}
	}
}

// olderPeer is the accepting side of a build that has no wire.Fence: it ends a
// connection with a kind of frame that it does not know.
func olderPeer(t *testing.T, strange chan<- wire.Message) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	serve := func(nc net.Conn) {
		defer nc.Close()
		r := wire.NewReader(nc)
		hello, err := expect[*wire.Hello](r)
		if err != nil || hello.Version != 1 {
			return
		}
		challenge := &wire.Challenge{Version: 1, Host: "older", Incarnation: 7, Nonce: nonce()}
		challenge.MAC = proof(testKey, roleAcceptor, hello, challenge)
		writeFrame(nc, challenge)
		if _, err := expect[*wire.Proof](r); err != nil {
			return
		}
		for {
			m, err := r.Next(wire.MaxFrame)
			if err != nil {
				return
			}
			switch m := m.(type) {
			case *wire.Ping:
				writeFrame(nc, &wire.Pong{Seq: m.Seq})
			case *wire.Request:
			default:
				strange <- m
				return
			}
		}
	}
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(nc)
		}
	}()
	return listener.Addr().String()
}

// A build that has no fences is sent none: its connection is replaced as before.
func TestOlderPeerIsSentNoFence(t *testing.T) {
	strange := make(chan wire.Message, 10)
	proxy := through(t, olderPeer(t, strange))
	d := watched(t)
	c := connect(t, d, proxy.Address())
	proxy.Silence()
	call := startCall(t, c, "/")
	if head := wait(t, call); !errors.Is(head.Err, ErrSilent) {
		t.Errorf("head %+v, want ErrSilent", head)
	}
	if d.Counters.Replaced.Load() != 1 || len(strange) > 0 {
		t.Errorf("%d connections replaced, %d strange frames", d.Counters.Replaced.Load(), len(strange))
	}
}

// Connections without work are looked at once one was found silent.
func TestIdleSilentConnectionsAreFound(t *testing.T) {
	p := startPair(t)
	address, counters := start(t, newGate())
	idle := through(t, address)
	connect(t, p.d, idle.Address())
	eventually(t, "the end of the handshake", func() bool { return counters.Accepted.Load() == 1 })
	found := make(chan struct{}, 10)
	p.d.OnSilent = func() { found <- struct{}{} }
	p.proxy.Silence()
	idle.Silence()
	startCall(t, p.conn, "/")
	eventually(t, "both connections replaced", func() bool { return p.d.Counters.Replaced.Load() == 2 })
	<-found
	<-found
	eventually(t, "the end of the silent connection at its accepting side", func() bool { return counters.Accepted.Load() == 1 })
}

// However often it is asked for, all connections are looked at once in a second, and
// less and less often while none proves silent.
func TestRecheckIsBounded(t *testing.T) {
	address, _ := start(t, newGate())
	d := newDialer(t, testKey)
	d.IdleLimit = time.Hour
	c := connect(t, d, address)
	pings := func() uint64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.pings
	}
	now := time.Now()
	look := func(span time.Duration) {
		for end := now.Add(span); now.Before(end); now = now.Add(PingAfter / 4) {
			d.Recheck()
			d.Check(now)
			if c.lastReceived.Load(); pings() > 0 {
				eventually(t, "a pong", func() bool { return c.opened.Add(time.Duration(c.lastReceived.Load())).After(c.opened) })
			}
			c.heard() // The pong, in the time of this test.
			c.lastReceived.Store(int64(now.Sub(c.opened)))
		}
	}
	look(recheckEvery / 2)
	if n := pings(); n != 1 {
		t.Errorf("%d pings in half a second, want 1", n)
	}
	look(3 * recheckEvery)
	if n := pings(); n != 3 {
		t.Errorf("%d pings in three seconds and a half, want 3", n)
	}
	look(4*recheckMost - 3*recheckEvery)
	if n := pings(); n < 8 || n > 9 {
		t.Errorf("%d pings in two minutes, want about 8", n)
	}
	d.mu.Lock()
	d.provedSilent()
	d.mu.Unlock()
	before := pings()
	look(recheckEvery)
	if n := pings() - before; n != 1 {
		t.Errorf("%d pings in the second after a silence, want 1", n)
	}
}

// lateLook is a connection without work that is looked at and seems silent, with another
// beside that answers. Its time is the test's own.
type lateLook struct {
	*silentPair
	other *Conn
	now   time.Time
	found chan struct{}
}

func startLateLook(t *testing.T) *lateLook {
	t.Helper()
	p := &silentPair{t: t, gate: newGate(), d: newDialer(t, testKey)}
	address, counters := start(t, p.gate)
	p.proxy = through(t, address)
	p.conn = connect(t, p.d, p.proxy.Address())
	eventually(t, "the end of the handshake", func() bool { return counters.Accepted.Load() == 1 })
	second, _ := start(t, newGate())
	l := &lateLook{silentPair: p, other: connect(t, p.d, second), now: time.Now(), found: make(chan struct{}, 100)}
	p.d.OnSilent = func() { l.found <- struct{}{} }
	p.proxy.Silence()
	p.d.Recheck()
	l.look(PingAfter + SuspectAfter)
	eventually(t, "another connection", func() bool { return p.d.Counters.Replaced.Load() == 1 })
	return l
}

func (l *lateLook) look(span time.Duration) {
	for end := l.now.Add(span); l.now.Before(end); l.now = l.now.Add(PingAfter / 4) {
		l.d.Check(l.now)
		l.other.lastReceived.Store(int64(l.now.Sub(l.other.opened))) // The pong, in the time of this test.
	}
}

// On a day when 3% of what is sent came 210 ms late, one look at 60 connections without
// work led to 38 second connections in ten seconds: each made all others be looked at
// again. A connection that was only late tells nothing of others.
func TestLateConnectionIsNoSilence(t *testing.T) {
	l := startLateLook(t)
	l.proxy.Resume()
	eventually(t, "that it speaks", func() bool { return l.conn.closed() || l.conn.silentSince.Load() == 0 })
	l.look(3 * recheckEvery)
	if len(l.found) > 0 || l.other.pings != 1 || len(l.d.yielded) != 0 {
		t.Errorf("%d silences told, %d pings to another, %d connections left, want 0, 1 and 0", len(l.found), l.other.pings, len(l.d.yielded))
	}
}

// One that stays silent for a second tells that others may be silent too.
func TestConnectionThatStaysSilentIsOne(t *testing.T) {
	l := startLateLook(t)
	l.look(replaceAfter / 2)
	if len(l.found) > 0 || l.other.pings != 1 {
		t.Errorf("%d silences told early, %d pings to another", len(l.found), l.other.pings)
	}
	l.look(replaceAfter)
	<-l.found
	if l.other.pings != 2 || len(l.d.yielded) != 0 || !l.conn.closed() {
		t.Errorf("%d pings to another, %d connections left, want 2 and 0", l.other.pings, len(l.d.yielded))
	}
}

// The accepting side takes a silence for one only if requests had not arrived.
func TestFenceTellsOfASilence(t *testing.T) {
	found := make(chan struct{}, 10)
	server := &Server{
		Self: Identity{Host: "gate", Incarnation: 7, Key: testKey}, Counters: new(Counters), Handler: newGate(),
		HandshakeLimit: time.Second, MaxConns: 10, OnSilent: func() { found <- struct{}{} },
	}
	address := serve(t, server)
	var conns []*fenceConn
	for range 3 {
		c := dialFence(t, address, "e")
		c.request(1)
		c.sync(t)
		conns = append(conns, c)
	}
	conns[2].fence(t, &wire.Fence{Conn: []byte(conns[0].id), Move: wire.Numbers{1}})
	conns[2].fence(t, &wire.Fence{Conn: []byte(conns[1].id), Move: wire.Numbers{1, 2}})
	<-found
	if len(found) > 0 {
		t.Error("a fence that found all requests arrived was taken for a silence")
	}
}

// fenceConn is a connection whose frames a test writes itself.
type fenceConn struct {
	nc net.Conn
	r  *wire.Reader
	id string
}

func dialFence(t *testing.T, address, host string) *fenceConn {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	c := &fenceConn{nc: nc, r: wire.NewReader(nc)}
	met, err := dialHandshake(nc, c.r, Identity{Host: host, Incarnation: 3, Key: testKey}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	c.id = met.id
	nc.SetReadDeadline(time.Now().Add(10 * time.Second))
	c.sync(t) // The node has taken it, so that the next one is newer there too.
	return c
}

func (c *fenceConn) request(ids ...uint64) {
	for _, id := range ids {
		writeFrame(c.nc, &wire.Request{ID: id, URI: fmt.Sprint("/", id), BudgetMicros: 1e9, Last: true})
	}
}

// fence sends a fence and returns what the accepting side says.
func (c *fenceConn) fence(t *testing.T, m *wire.Fence) *wire.Fenced {
	t.Helper()
	writeFrame(c.nc, m)
	for {
		got, err := c.r.Next(wire.MaxFrame)
		if err != nil {
			t.Fatal(err)
		}
		if fenced, ok := got.(*wire.Fenced); ok {
			return fenced
		}
	}
}

// sync returns once everything that was sent before has been taken.
func (c *fenceConn) sync(t *testing.T) {
	t.Helper()
	writeFrame(c.nc, &wire.Ping{Seq: 1})
	for {
		m, err := c.r.Next(wire.MaxFrame)
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := m.(*wire.Pong); ok {
			return
		}
	}
}

// What the accepting side says of requests, frame by frame.
func TestFenceFrameByFrame(t *testing.T) {
	for _, test := range []struct {
		name string
		play func(t *testing.T, g *gate, address string)
	}{
		{"a request behind the fence is not taken", func(t *testing.T, g *gate, address string) {
			old, next := dialFence(t, address, "e"), dialFence(t, address, "e")
			old.request(1, 2)
			old.sync(t)
			got := next.fence(t, &wire.Fence{Conn: []byte(old.id), Move: wire.Numbers{1, 2}, Stay: wire.Numbers{3}})
			if !slices.Equal(got.NotArrived, wire.Numbers{3}) || len(got.Lost) > 0 {
				t.Errorf("fenced %+v", got)
			}
			old.request(3)
			next.request(4)
			next.sync(t)
			for {
				if _, err := old.r.Next(wire.MaxFrame); err != nil {
					break // All has ended there, so that it was closed.
				}
			}
			if g.times(g.ran, "/3") != 0 || g.times(g.ran, "/4") != 1 {
				t.Errorf("ran %v", g.ran)
			}
		}},
		{"a request behind the fence while a body stays", func(t *testing.T, g *gate, address string) {
			old, next := dialFence(t, address, "e"), dialFence(t, address, "e")
			old.request(1)
			old.sync(t)
			got := next.fence(t, &wire.Fence{Conn: []byte(old.id), Move: wire.Numbers{2}, Stay: wire.Numbers{1}})
			if !slices.Equal(got.NotArrived, wire.Numbers{2}) {
				t.Errorf("fenced %+v", got)
			}
			old.request(2)
			old.sync(t)
			if g.times(g.ran, "/2") != 0 || g.times(g.canceled, "/1") != 0 {
				t.Errorf("ran %v, canceled %v", g.ran, g.canceled)
			}
			next.fence(t, &wire.Fence{Conn: []byte(old.id)}) // It is given up.
			eventually(t, "the end of what stayed", func() bool { return g.times(g.canceled, "/1") == 1 })
		}},
		{"a second silence", func(t *testing.T, g *gate, address string) {
			first, second, third := dialFence(t, address, "e"), dialFence(t, address, "e"), dialFence(t, address, "e")
			first.request(1, 2, 3)
			first.sync(t)
			second.fence(t, &wire.Fence{Conn: []byte(first.id), Move: wire.Numbers{1, 2, 3}})
			second.request(5)
			second.sync(t)
			_ = g.stream("/1").Respond(&wire.Response{Status: 200, Last: true})
			got := third.fence(t, &wire.Fence{Conn: []byte(second.id), Move: wire.Numbers{1, 2, 3, 5, 6}})
			if !slices.Equal(got.NotArrived, wire.Numbers{6}) || len(got.Lost) > 0 {
				t.Errorf("fenced %+v", got)
			}
		}},
		{"an answer that is not kept any more", func(t *testing.T, g *gate, address string) {
			first, second, third := dialFence(t, address, "e"), dialFence(t, address, "e"), dialFence(t, address, "e")
			first.request(1)
			first.sync(t)
			second.fence(t, &wire.Fence{Conn: []byte(first.id), Move: wire.Numbers{1}})
			s := g.stream("/1")
			_ = s.Respond(&wire.Response{Status: 200, Last: true})
			sent := &s.conn.Load().server.sent
			sent.add(sentAnswer{at: time.Now().Add(2 * sentFor), m: &wire.Reset{}})
			// Nothing was ever sent on the second one, and yet it has run.
			got := third.fence(t, &wire.Fence{Conn: []byte(second.id), Move: wire.Numbers{1}})
			if !slices.Equal(got.Lost, wire.Numbers{1}) || len(got.NotArrived) > 0 {
				t.Errorf("fenced %+v", got)
			}
		}},
		{"a connection that has ended", func(t *testing.T, g *gate, address string) {
			old, next := dialFence(t, address, "e"), dialFence(t, address, "e")
			old.request(1)
			old.sync(t)
			old.nc.Close()
			eventually(t, "its end", func() bool { return g.times(g.canceled, "/1") == 1 })
			got := next.fence(t, &wire.Fence{Conn: []byte(old.id), Move: wire.Numbers{1, 2}})
			if !slices.Equal(got.Lost, wire.Numbers{1, 2}) || len(got.NotArrived) > 0 {
				t.Errorf("fenced %+v", got)
			}
		}},
		{"another node's connection, its own and a newer one", func(t *testing.T, g *gate, address string) {
			other, mine, newer := dialFence(t, address, "other"), dialFence(t, address, "e"), dialFence(t, address, "e")
			for i, c := range []*fenceConn{other, mine, newer} {
				c.request(uint64(i + 1))
				c.sync(t)
				got := mine.fence(t, &wire.Fence{Conn: []byte(c.id), Move: wire.Numbers{uint64(i + 1)}})
				if len(got.Lost) != 1 || len(got.NotArrived) > 0 || g.times(g.canceled, fmt.Sprint("/", i+1)) > 0 {
					t.Errorf("fence %d: %+v, canceled %v", i, got, g.canceled)
				}
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := newGate()
			address, _ := start(t, g)
			test.play(t, g, address)
		})
	}
}

// Whatever falls silent and speaks again at whatever moment: no request runs twice, what
// is told as not run never runs, what is answered has run, and every call ends.
func TestAtMostOnceWhateverFallsSilent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := newGate()
		delays := rapid.SliceOfN(rapid.IntRange(0, 30), 1, 12).Draw(rt, "delays")
		var running sync.WaitGroup
		g.request = func(s *Stream) {
			delay := delays[int(s.Request.ID)%len(delays)]
			running.Go(func() {
				time.Sleep(time.Duration(delay) * time.Millisecond)
				answerSomehow(s, delay)
			})
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			rt.Fatal(err)
		}
		server := &Server{
			Self: Identity{Host: "gate", Incarnation: 7, Key: testKey}, Counters: new(Counters), Handler: g,
			HandshakeLimit: time.Second, MaxConns: 100,
		}
		go server.Serve(listener)
		proxy, err := faultproxy.New()
		if err != nil {
			rt.Fatal(err)
		}
		proxy.SetTarget(listener.Addr().String())
		d := &Dialer{
			Self: Identity{Host: "entry", Incarnation: 9, Key: testKey}, Counters: new(Counters),
			Limit: 200 * time.Millisecond, IdleLimit: time.Minute,
			PingAfter: 4 * time.Millisecond, SuspectAfter: 8 * time.Millisecond,
		}
		stop := make(chan struct{})
		var watch sync.WaitGroup
		watch.Go(func() {
			for ticker := time.NewTicker(time.Millisecond); ; {
				select {
				case <-stop:
					ticker.Stop()
					return
				case now := <-ticker.C:
					d.Check(now)
				}
			}
		})
		calls := map[string]*Call{}
		for i, step := range rapid.SliceOfN(rapid.SampledFrom([]string{"send", "send", "upload", "silence", "resume", "wait", "abandon"}), 5, 25).Draw(rt, "steps") {
			uri := fmt.Sprint("/", i)
			switch step {
			case "send", "upload":
				conn, err := d.Get(proxy.Address(), time.Second)
				if err != nil {
					rt.Fatal(err)
				}
				request := &wire.Request{URI: uri, BudgetMicros: 1e8, Last: step == "send"}
				call, err := conn.Start(request)
				if err != nil {
					continue // Nothing of it has left.
				}
				calls[uri] = call
				if step == "upload" {
					_ = call.Send([]byte("x"), true, time.Second)
				}
			case "silence":
				proxy.Silence()
			case "resume":
				proxy.Resume()
			case "wait":
				time.Sleep(time.Duration(8+i) * time.Millisecond)
			case "abandon":
				for uri, call := range calls {
					call.Abandon()
					delete(calls, uri)
					break
				}
			}
		}
		heads := map[string]Head{}
		for uri, call := range calls {
			select {
			case heads[uri] = <-call.Head():
			case <-time.After(20 * time.Second):
				rt.Fatalf("%s does not end", uri)
			}
		}
		proxy.Resume()
		time.Sleep(5 * time.Millisecond) // For what was held to be read, if it were.
		close(stop)
		watch.Wait()
		d.Close()
		proxy.Close()
		listener.Close()
		server.Close()
		running.Wait()
		for uri, head := range heads {
			ran := g.times(g.ran, uri)
			switch {
			case ran > 1:
				rt.Errorf("%s ran %d times", uri, ran)
			case ran > 0 && errors.Is(head.Err, ErrNotArrived):
				rt.Errorf("%s ran although it was told that it had not arrived", uri)
			case ran == 0 && (head.Response != nil || head.Refusal != nil || head.Reset != nil):
				rt.Errorf("%s has an answer %+v and did not run", uri, head)
			}
		}
	})
}

// answerSomehow ends a request in one of the ways in which a gate does.
func answerSomehow(s *Stream, way int) {
	switch way % 4 {
	case 0:
		s.Refuse(wire.ReasonShed, 0, wire.Load{})
	case 1:
		_ = s.Respond(&wire.Response{Status: 200, Length: -1, Body: []byte("a")})
		_ = s.Send([]byte("b"), true, time.Second)
	case 2:
		s.Reset("as asked", wire.Load{})
	default:
		_ = s.Respond(&wire.Response{Status: 200, Body: []byte("whole"), Last: true})
	}
}
