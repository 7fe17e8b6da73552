// SPDX-License-Identifier: MIT

package entry

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/internal/faultproxy"
	"github.com/ryehaven/ryehaven/peer"
	"github.com/ryehaven/ryehaven/wire"
)

// Half of a site's hosts were cut off for nine seconds. After three the system ended the
// connections to them, the suspicion of their nodes ended with these ("regained, its
// node speaks again", 65 lines in one moment, none true), and requests went to them in
// turn, each waiting up to 250 ms for a connection: 124 to 352 a second, where 0 to 2
// did before connections were ended so. A node that was silent stays suspected until it
// speaks, and is asked for that beside the requests.
func TestNodeStaysSuspectedWhenItsConnectionEnds(t *testing.T) {
	proxy, err := faultproxy.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	answer := func(s *peer.Stream) { _ = s.Respond(&wire.Response{Status: fasthttp.StatusOK, Last: true}) }
	proxy.SetTarget(startGate(t, answer))
	core, logs := observer.New(zap.InfoLevel)
	e, dialer := newEntry(t, proxy.Address(), startGate(t, answer))
	dialer.Limit = 50 * time.Millisecond
	e.settings.Recorder = event.NewRecorder(zap.New(core), 0, 1000)
	address := serve(t, e, dialer)

	until := func(what string, holds func() bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("never came: %s", what)
			}
			if status := get(t, address); status != fasthttp.StatusOK {
				t.Fatalf("status %d", status)
			}
		}
	}
	beliefs := func(now string) (n int) {
		for _, line := range logs.All() {
			if line.ContextMap()["now"] == now {
				n++
			}
		}
		return n
	}

	until("a connection to the near node", func() bool { return dialer.Peek(proxy.Address()) != nil })
	proxy.Set(faultproxy.Fault{HoldForward: true, HoldBackward: true})
	until("the suspicion", func() bool { return beliefs(string(event.Suspected)) == 1 })
	dialer.Peek(proxy.Address()).Close() // As keep-alive does in the end.
	failed := dialer.Counters.DialFailures.Load()
	until("two tries to reach the node again", func() bool { return dialer.Counters.DialFailures.Load() >= failed+2 })
	if n := beliefs(string(event.Regained)); n != 0 {
		t.Errorf("the node was taken for regained %d times while it was silent", n)
	}
	proxy.Set(faultproxy.Fault{})
	until("the node's return", func() bool { return beliefs(string(event.Regained)) == 1 })
}

// get sends a request that may take five seconds and returns the status of the answer.
func get(t *testing.T, address string) int {
	t.Helper()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + "/x")
	request.Header.SetHost("s")
	request.UseHostHeader = true
	request.Header.Set(header.Deadline, "5000")
	client := &fasthttp.HostClient{Addr: address}
	if err := client.Do(request, response); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode()
}
