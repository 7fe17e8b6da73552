// SPDX-License-Identifier: MIT

package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ryehaven/ryehaven/platform/emulator"
)

// request is a request that a caller is about to send.
type request struct {
	uri          string
	body         string
	repeatable   bool
	sinceVersion int
	// key is the caller's key, empty for the steady tenant's. keyVersion is the only version
	// that has it, 0 if all have it. mayBeRejected is set if the request may be rejected because
	// of it.
	key           string
	keyVersion    int
	mayBeRejected bool
	// fields are additional header fields in the form "Name: value". chunked is set if the body
	// is sent in chunks.
	fields  []string
	chunked bool
}

// deadlineMs is the time that callers usually wait for an answer.
const deadlineMs = 1500

// timedConn records when the last byte was written.
type timedConn struct {
	net.Conn
	written atomic.Int64
}

func (c *timedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err == nil {
		c.written.Store(time.Now().UnixNano())
	}
	return n, err
}

// caller is one caller on a host. It keeps its connection until an answer closes it or the
// connection ends.
type caller struct {
	site *site
	host *host
	rng  *rand.Rand
	// shapes draws the shapes of requests, so that the other draws of a seed stay the same.
	shapes *rand.Rand
	conn   *timedConn
	reader *bufio.Reader
}

// runLoad has callers on every host send requests until ctx ends.
func (s *site) runLoad(ctx context.Context) {
	var wait sync.WaitGroup
	for _, h := range s.hosts {
		for n := range s.options.Callers {
			c := &caller{site: s, host: h, rng: rand.New(rand.NewPCG(s.options.Seed, uint64(1000*h.number+n))), shapes: shapesOf(s.options.Seed, h.number, n)}
			wait.Go(func() { c.run(ctx) })
		}
		wait.Go(func() { s.runProbes(ctx, h) })
		wait.Go(func() { s.runConstantRate(ctx, h) })
		if s.options.Pipelining {
			wait.Go(func() { s.runPipelining(ctx, h) })
		}
		if s.options.Tenants {
			wait.Go(func() { s.runHot(ctx, h) })
			wait.Go(func() { s.runGuest(ctx, h) })
		}
	}
	if s.options.LoadBursts {
		wait.Go(func() { s.runBursts(ctx) })
	}
	wait.Wait()
}

// The behaviour of callers. maxThinkTime is the maximum time between two requests.
const (
	maxThinkTime = 40 * time.Millisecond
	// abandonShare is the share of requests whose caller closes the connection early, and
	// closeConnShare the share after which the connection is not reused.
	abandonShare   = 0.02
	closeConnShare = 0.2
	dialTimeout    = time.Second
	// unavailableDelay is the time that a caller waits when the node is not ready or refuses
	// the connection.
	unavailableDelay = 100 * time.Millisecond
)

func (c *caller) run(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		pause(ctx, time.Duration(c.rng.Int64N(int64(maxThinkTime))))
		if !c.host.ready.Load() {
			c.closeConn()
			pause(ctx, unavailableDelay)
			continue
		}
		if !c.connect() {
			pause(ctx, unavailableDelay)
			continue
		}
		c.exchange(c.next())
		if c.rng.Float64() < closeConnShare {
			c.closeConn()
		}
	}
}

// shapesOf returns the generator that draws the shapes of a caller's requests.
func shapesOf(seed uint64, host, caller int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(1_000_000+1000*host+caller)))
}

// next draws a request.
func (c *caller) next() request { return c.nextKind().shape(c.shapes) }

// nextKind draws the route of a request.
func (c *caller) nextKind() request {
	switch c.rng.IntN(5) {
	case 0:
		return request{uri: fmt.Sprint("/write/", c.rng.IntN(100)), body: "an order that runs once"}
	case 1:
		return request{uri: fmt.Sprint("/order/", c.rng.IntN(100)), body: "another"}
	case 2:
		return request{uri: fmt.Sprint(movingPrefix, c.rng.IntN(100)), repeatable: true}
	}
	return request{uri: fmt.Sprint("/read/", c.rng.IntN(100), "?page=2"), repeatable: true}
}

func (c *caller) connect() bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp", c.host.address(callerPort), dialTimeout)
	if err != nil {
		return false
	}
	c.conn = &timedConn{Conn: conn}
	c.reader = bufio.NewReader(c.conn)
	return true
}

func (c *caller) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// exchange sends a request and records its result.
func (c *caller) exchange(r request) {
	call := c.site.newCall(c.host, r)
	if c.rng.Float64() < abandonShare {
		conn := c.conn
		call.Abandoned = true
		abandon := time.AfterFunc(time.Duration(1+c.rng.IntN(8))*time.Millisecond, func() { conn.Close() })
		defer abandon.Stop()
	}
	c.site.transact(&call, c.conn, c.reader)
	if call.Reply.Err != nil || call.Reply.Closing || call.Abandoned {
		c.closeConn()
	}
	c.site.addCall(call)
}

func (s *site) newCall(h *host, r request) Call {
	call := Call{
		ID:            fmt.Sprintf("%08x", s.nextID.Add(1)),
		Host:          h.number,
		Method:        "GET",
		URI:           r.uri,
		Body:          r.body,
		Repeatable:    r.repeatable,
		SinceVersion:  r.sinceVersion,
		Key:           r.key,
		KeyVersion:    r.keyVersion,
		MayBeRejected: r.mayBeRejected,
		Fields:        r.fields,
		Chunked:       r.chunked,
		DeadlineMs:    deadlineMs,
	}
	if r.body != "" {
		call.Method = "POST"
	}
	return call
}

// transact sends a call on a connection and waits for its result.
func (s *site) transact(call *Call, conn *timedConn, reader *bufio.Reader) {
	conn.written.Store(0)
	call.Began = time.Now()
	call.Reply = s.emulatorCall(call).SendOn(conn, reader)
	call.Done = time.Now()
	if written := conn.written.Load(); written != 0 {
		call.Sent = time.Unix(0, written)
	}
}

// emulatorCall returns the call in the emulator's form.
func (s *site) emulatorCall(call *Call) emulator.Call {
	return emulator.Call{
		Method: call.Method, Path: call.URI, ID: call.ID, Body: call.Body, Chunked: call.Chunked, DeadlineMs: call.DeadlineMs,
		Fields: append(s.credentials(call.Key), call.Fields...),
	}
}

// send sends a request on a new connection.
func (s *site) send(h *host, r request) Call {
	return s.sendUntil(h, r, time.Now().Add(deadlineMs*time.Millisecond))
}

// sendUntil is like send, for a caller that waits until a deadline.
func (s *site) sendUntil(h *host, r request, deadline time.Time) Call {
	call := s.newCall(h, r)
	call.DeadlineMs = max(int(time.Until(deadline).Milliseconds()), 1)
	conn, err := net.DialTimeout("tcp", h.address(callerPort), dialTimeout)
	if err != nil {
		call.Reply.Err, call.Done = err, time.Now()
		return call
	}
	defer conn.Close()
	timed := &timedConn{Conn: conn}
	s.transact(&call, timed, bufio.NewReader(timed))
	s.addCall(call)
	return call
}

// constantRateInterval is the time between two requests of runConstantRate.
const constantRateInterval = 50 * time.Millisecond

// runConstantRate sends requests to a host at a constant rate, each on a new connection, so
// that requests which wait for an answer don't delay others.
func (s *site) runConstantRate(ctx context.Context, h *host) {
	s.sendOpenLoop(ctx, h, constantRateInterval, func(n int) request {
		return request{uri: fmt.Sprint("/read/", n%100), repeatable: true}
	})
}

// sendOpenLoop sends a request per interval while the host is ready, whether earlier ones
// were answered or not.
func (s *site) sendOpenLoop(ctx context.Context, h *host, interval time.Duration, next func(n int) request) {
	var wait sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		if h.ready.Load() {
			r := next(n)
			wait.Go(func() { s.send(h, r) })
		}
		pause(ctx, interval)
	}
	wait.Wait()
}

// probeInterval is the time between two requests that show which configuration a node has
// in force.
const probeInterval = 100 * time.Millisecond

// runProbes sends requests to the route that the newest version introduced.
func (s *site) runProbes(ctx context.Context, h *host) {
	for ctx.Err() == nil {
		serial := s.newestVersion()
		s.send(h, request{uri: versionPrefix(serial) + "probe", repeatable: true, sinceVersion: serial})
		pause(ctx, probeInterval)
	}
}
