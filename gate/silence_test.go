// SPDX-License-Identifier: MIT

package gate_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/gate"
	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/internal/faultproxy"
	"github.com/ryehaven/ryehaven/peer"
	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/wire"
)

// silenceable is a bench whose server stands behind a proxy and tells at its health
// path how many requests it works on.
type silenceable struct {
	*bench
	proxy *faultproxy.Proxy
	asked atomic.Int64
	// long is closed to end the work on /long.
	long chan struct{}
	// denies has the server say that it works on nothing.
	denies atomic.Bool
	// full has the server treat questions like requests that it has no room for: one that
	// came on a kept connection waits until full is closed, one on a new connection is
	// turned away. It is nil otherwise.
	full atomic.Pointer[chan struct{}]
}

const healthPath = "/health"

func newSilenceable(t *testing.T, slots int, change ...func(s *gate.Settings)) *silenceable {
	t.Helper()
	s := &silenceable{bench: &bench{t: t, started: make(chan string, 100), release: make(chan int, 100)}, long: make(chan struct{})}
	server := listen(t)
	var atWork atomic.Int64
	http := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		says := atWork.Load()
		if s.denies.Load() {
			says = 0
		}
		ctx.Response.Header.Set(loadField, fmt.Sprintf("%d,0,%d,100", says, slots))
		if string(ctx.Path()) == healthPath {
			s.asked.Add(1)
			s.waitForRoom(ctx)
			return
		}
		atWork.Add(1)
		s.started <- string(ctx.Path())
		if string(ctx.Path()) == "/long" {
			<-s.long
		} else {
			ctx.SetStatusCode(<-s.release)
		}
		atWork.Add(-1)
	}}
	go http.Serve(server)
	proxy, err := faultproxy.New()
	if err != nil {
		t.Fatal(err)
	}
	proxy.SetTarget(server.Addr().String())
	s.proxy, s.address, s.dialect = proxy, proxy.Address(), header.Own()
	s.dialect.Load = loadField
	s.dialect.Prepare()
	row := s.row(func(row *table.Server) {
		row.Slots, row.Queue, row.MeasureRate, row.HealthPath = slots, 10, 1000, healthPath
	})
	settings := gate.Settings{
		IdleLimit: time.Minute, DialLimit: time.Second, BodyIdleLimit: time.Minute, AbandonedLimit: time.Minute,
		FixedLimit: true, Dialect: s.dialect, ChecksPerSecond: 1000, MeasureAfter: time.Millisecond,
	}
	for _, f := range change {
		f(&settings)
	}
	s.gate = gate.New(row, settings)
	stop := make(chan struct{})
	go s.tick(stop)
	t.Cleanup(func() {
		close(stop)
		proxy.Close()
		server.Close()
		close(s.release)
	})
	s.conn = connect(t, s.gate)
	return s
}

// waitForRoom holds or turns away a question while the server is full.
func (s *silenceable) waitForRoom(ctx *fasthttp.RequestCtx) {
	full := s.full.Load()
	if full == nil {
		return
	}
	if ctx.ConnRequestNum() == 1 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	<-*full
}

// tick does what a node does for its gate.
func (s *silenceable) tick(stop <-chan struct{}) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			s.gate.Tick(now)
			s.gate.Measure(now, time.Second)
		}
	}
}

// warm has the gate keep so many connections.
func (s *silenceable) warm(n int) {
	s.t.Helper()
	var calls []interface{ Cancel() }
	for range n {
		call := s.start("/warm", nil)
		defer s.head(call)
		calls = append(calls, call)
	}
	for range calls {
		s.running()
	}
	for range calls {
		s.release <- 200
	}
}

// free waits until no slot is taken.
func (s *silenceable) free() {
	s.t.Helper()
	for until := time.Now().Add(patience); s.gate.Load().InFlight > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			s.t.Fatalf("%d slots are still taken", s.gate.Load().InFlight)
		}
	}
}

// serves checks that the next request reaches the server and is answered.
func (s *silenceable) serves() {
	s.t.Helper()
	call := s.start("/next", nil)
	if path := s.running(); path != "/next" {
		s.t.Fatalf("the server works on %s", path)
	}
	s.release <- 200
	if head := s.head(call); head.Response == nil || head.Response.Status != 200 {
		s.t.Errorf("head %+v, want an answer", head)
	}
}

// areWaitedFor checks that calls to /long are answered although the gate has asked so
// often that it has had the time and the reports to sever what it takes for lost.
func (s *silenceable) areWaitedFor(calls ...*peer.Call) {
	s.t.Helper()
	const enough = 100 // Questions; at least 5 ms lie between two.
	asked := s.asked.Load()
	for until := time.Now().Add(patience); s.asked.Load() < asked+enough; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			s.t.Fatalf("asked %d times", s.asked.Load()-asked)
		}
		s.serves() // There is demand, so that the gate asks.
	}
	close(s.long)
	for _, call := range calls {
		if head := s.head(call); head.Response == nil {
			s.t.Errorf("head %+v, want an answer", head)
		}
	}
	if n := s.gate.Counters.Severed.Load(); n != 0 {
		s.t.Errorf("%d requests were taken for lost", n)
	}
}

// Kept connections went silent while new ones worked: each cost a request its whole
// deadline, of a minute here, and held a slot for as long. 64 of 96 requests waited
// out 15 s so after three silences of a site. The entry is told at once that it was the
// connection's fault, so that another server is asked and this one not left out.
func TestRequestsOnSilentConnectionsEndSoon(t *testing.T) {
	s := newSilenceable(t, 3)
	s.warm(3)
	s.proxy.Silence()
	for range 3 {
		call := s.start("/lost", nil)
		select {
		case <-s.started: // On a new connection, since the silence is known.
			s.release <- 200
			continue
		case head := <-call.Head():
			if head.Reset == nil || !head.Reset.Mute || head.Reset.Expired {
				t.Fatalf("head %+v, want a reset for the connection's silence", head)
			}
		case <-time.After(patience):
			t.Fatal("the request is still waited for")
		}
	}
	s.free()
	s.serves()
}

// A request that must run at most once was at work when its connection went silent.
// Its answer is lost; its slot is given back, and it is waited for until its deadline.
func TestSlotOfARequestOnASilentConnectionIsGivenBack(t *testing.T) {
	s := newSilenceable(t, 1)
	s.warm(1)
	call := s.start("/once", func(r *wire.Request) { r.Repeatable = false })
	s.running()
	s.proxy.Silence()
	s.release <- 200
	s.free()
	s.serves()
	select {
	case head := <-call.Head():
		t.Errorf("head %+v before the deadline", head)
	default:
	}
}

// A request that takes much longer than usual is waited for while its server says that
// it works on it, also when other connections of the host have gone silent.
func TestLongWorkIsNotTakenForSilence(t *testing.T) {
	s := newSilenceable(t, 2)
	s.warm(2)
	call := s.start("/long", nil)
	s.running()
	s.gate.Renew()
	s.areWaitedFor(call)
}

// What other connections of the host have shown holds for those to the server too.
func TestRenewedGateDoesNotUseOldConnections(t *testing.T) {
	s := newSilenceable(t, 2)
	s.warm(2)
	s.proxy.Silence()
	s.gate.Renew()
	s.serves()
	if n := s.gate.Counters.Severed.Load(); n != 0 {
		t.Errorf("%d requests were lost", n)
	}
}

// A server whose report says too little lost every repeatable request that took four
// times the usual: 24 of 24 were reset while it worked on them, and twice as many as
// its slots were at work. What its report denies is not enough by itself.
func TestServersReportAloneEndsNothing(t *testing.T) {
	s := newSilenceable(t, 2)
	s.denies.Store(true)
	s.warm(2)
	call := s.start("/long", nil)
	s.running()
	s.areWaitedFor(call)
}

// A connection that was suspected once while it had work stayed suspected for life: of
// two later requests that took long one was cut. Hearing it ends the suspicion, whatever
// the server's report says.
func TestConnectionThatIsHeardIsNoLongerSuspected(t *testing.T) {
	s := newSilenceable(t, 3)
	s.denies.Store(true)
	s.warm(2)
	first := s.start("/first", nil)
	s.running()
	s.gate.Renew()
	s.release <- 200
	if head := s.head(first); head.Response == nil {
		t.Fatalf("head %+v, want an answer", head)
	}
	one, two := s.start("/long", nil), s.start("/long", nil)
	s.running()
	s.running()
	s.areWaitedFor(one, two)
}

// A server of 4 slots that answered nothing on its connections had 102 requests at once,
// since each severed one gave its slot back. Until their deadlines no more are severed
// than the server has slots.
func TestNoMoreRequestsAreSeveredThanTheServerHasSlots(t *testing.T) {
	s := newSilenceable(t, 1)
	s.warm(1)
	once := func(r *wire.Request) { r.Repeatable = false }
	s.start("/once", once)
	s.running()
	s.proxy.Silence()
	s.release <- 200
	s.free()
	s.start("/again", once)
	s.running()
	s.proxy.Silence()
	s.release <- 200
	for until := time.Now().Add(patience); s.gate.Counters.Mute.Load() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the second silence is not found")
		}
	}
	const enough = 60 // Questions after the second silence was found; 5 ms lie between two.
	for asked := s.asked.Load(); s.asked.Load() < asked+enough; time.Sleep(time.Millisecond) {
		if n := s.gate.Counters.Severed.Load(); n != 1 {
			t.Fatalf("%d requests are severed at a server with one slot", n)
		}
	}
}

// With steady traffic each answer counts as the server's word, so that no question was
// put: a request on a connection that had gone silent waited out its deadline. What is
// late has the server asked on the connection that has rested longest.
func TestLateRequestHasTheServerAsked(t *testing.T) {
	s := newSilenceable(t, 3, func(settings *gate.Settings) { settings.MeasureAfter = time.Hour })
	s.warm(3)
	call := s.start("/lost", nil)
	s.running()
	s.proxy.Silence()
	s.release <- 200
	if head := s.head(call); head.Reset == nil || !head.Reset.Mute {
		t.Errorf("head %+v, want a reset for the connection's silence", head)
	}
}
