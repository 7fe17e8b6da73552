// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// A crowd comes to each host at the same time, for more than the servers can do, whether or
// not what it sent before was answered. Who is refused comes back when it was told to, as
// far as callers heed that, and others come back at once. At times all servers are cold.
// What the oracle holds at other times holds in a crowd too.
const (
	crowdLeast = 500 * time.Millisecond
	crowdMost  = 2 * time.Second
	// crowdPause is the longest time between two crowds.
	crowdPause = 4 * time.Second
	// crowdEvery is the time between two requests of a crowd at a host.
	crowdEvery = 4 * time.Millisecond
	// crowdCold is the share of crowds that find all servers cold, for coldTime.
	crowdCold = 0.3
	coldTime  = 1500 * time.Millisecond
	// coldTold is the time in which a gate measures a server that has nothing to do, and so
	// hears that it is cold before the crowd comes.
	coldTold = 200 * time.Millisecond
	// impatientShare is the part of those who were refused that come back at once, and
	// mostReturns how often one comes back.
	impatientShare = 0.3
	mostReturns    = 2
	// heededShare is the share of the time left up to which callers wait to come back.
	heededShare = 3
)

// crowd is a time in which many requests come.
type crowd struct {
	after, length time.Duration
	cold          bool
}

// drawCrowd draws the next crowd of a seed.
func drawCrowd(rng *rand.Rand) crowd {
	return crowd{
		after:  time.Duration(rng.Int64N(int64(crowdPause))),
		length: crowdLeast + time.Duration(rng.Int64N(int64(crowdMost-crowdLeast))),
		cold:   rng.Float64() < crowdCold,
	}
}

// runCrowds has crowds come until ctx ends.
func (s *site) runCrowds(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.options.Seed, 9000))
	for ctx.Err() == nil {
		c := drawCrowd(rng)
		pause(ctx, c.after)
		if c.cold {
			s.during(Everywhere, Step{Kind: ServerCold, For: coldTime}, func() { s.coolAll() })
			pause(ctx, coldTold)
		}
		crowded, end := context.WithTimeout(ctx, c.length)
		var wait sync.WaitGroup
		for _, h := range s.hosts {
			draw := rand.New(rand.NewPCG(s.options.Seed, rng.Uint64()))
			wait.Go(func() { s.crowdAt(crowded, h, draw) })
		}
		wait.Wait()
		end()
	}
}

// coolAll makes all servers cold.
func (s *site) coolAll() {
	for _, h := range s.hosts {
		h.current().SetCold(coldTime)
	}
}

// crowdAt sends a crowd's requests at a host until ctx ends, and waits for their ends.
func (s *site) crowdAt(ctx context.Context, h *host, rng *rand.Rand) {
	var wait sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		if h.ready.Load() {
			own := rand.New(rand.NewPCG(rng.Uint64(), uint64(n)))
			wait.Go(func() { s.comeAndReturn(h, own) })
		}
		pause(ctx, crowdEvery)
	}
	wait.Wait()
}

// comeAndReturn sends a request and sends it again while it is refused and its caller still
// waits.
func (s *site) comeAndReturn(h *host, rng *rand.Rand) {
	r := request{uri: fmt.Sprint("/read/", rng.IntN(100)), repeatable: true}
	if rng.IntN(4) == 0 {
		r = request{uri: fmt.Sprint("/order/", rng.IntN(100)), body: "an order of a crowd"}
	}
	ends := time.Now().Add(deadlineMs * time.Millisecond)
	for range 1 + mostReturns {
		call := s.sendUntil(h, r, ends)
		wait, back := returnsAfter(call.Reply.Status, call.Reply.RetryAfter, time.Until(ends), rng.Float64() < impatientShare)
		if !back {
			return
		}
		time.Sleep(wait)
	}
}

// returnsAfter is after which time a caller that got a status comes back; back is false if
// it does not.
func returnsAfter(status int, retryAfter string, left time.Duration, impatient bool) (wait time.Duration, back bool) {
	refused := status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests
	if !refused || left <= 0 {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(retryAfter, 64)
	wait = time.Duration(seconds * float64(time.Second))
	if err != nil || impatient {
		wait = 0
	}
	return wait, wait <= left/heededShare
}
