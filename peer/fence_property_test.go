// SPDX-License-Identifier: MIT

package peer

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ryehaven/ryehaven/internal/faultproxy"
	"github.com/ryehaven/ryehaven/wire"
)

// openWithin returns a connection to an address. It tries for a time: a dial is given up after the
// dialer's limit, which a busy machine may exceed.
func openWithin(d *Dialer, address string, limit time.Duration) (conn *Conn, err error) {
	for until := time.Now().Add(limit); time.Now().Before(until); {
		if conn, err = d.Get(address, time.Second); err == nil {
			return conn, nil
		}
	}
	return nil, err
}

// Whatever connections stall and recover, and whenever: no request runs twice, requests
// reported as not run never run, answered requests have run, and every call ends.
func TestAtMostOnceWithStallsAtAnyTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := newRecordingHandler()
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
				conn, err := openWithin(d, proxy.Address(), 20*time.Second)
				if err != nil {
					rt.Fatal(err)
				}
				request := &wire.Request{URI: uri, BudgetMicros: 1e8, Last: step == "send"}
				call, err := conn.Start(request)
				if err != nil {
					continue // Nothing of it was sent.
				}
				calls[uri] = call
				if step == "upload" {
					_ = call.Send([]byte("x"), true, time.Second)
				}
			case "silence":
				proxy.Stall()
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
		time.Sleep(5 * time.Millisecond) // Time to read the frames that were held back, if they are still read.
		close(stop)
		watch.Wait()
		d.Close()
		proxy.Close()
		listener.Close()
		server.Close()
		running.Wait()
		for uri, head := range heads {
			ran := g.count(g.ran, uri)
			switch {
			case ran > 1:
				rt.Errorf("%s ran %d times", uri, ran)
			case ran > 0 && errors.Is(head.Err, ErrNotArrived):
				rt.Errorf("%s ran although it was reported as not arrived", uri)
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
