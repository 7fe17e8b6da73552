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

// In a load burst many requests reach all hosts at the same time, more than the servers can
// serve, and without waiting for the answers to earlier requests. Rejected callers send
// their requests again: some after the Retry-After time, as far as they accept it, others
// at once. In some bursts all servers are cold. The oracle's checks are the same as at other
// times.
const (
	minBurstLength = 500 * time.Millisecond
	maxBurstLength = 2 * time.Second
	// maxBurstPause is the maximum time between two bursts.
	maxBurstPause = 4 * time.Second
	// burstRequestInterval is the time between two requests of a burst at a host.
	burstRequestInterval = 4 * time.Millisecond
	// coldBurstShare is the share of bursts in which all servers are cold, for coldLength.
	coldBurstShare = 0.3
	coldLength     = 1500 * time.Millisecond
	// coldNoticeTime is the time in which a gate probes an idle server, and so learns that the
	// server is cold before the burst starts.
	coldNoticeTime = 200 * time.Millisecond
	// ignoreRetryAfterShare is the share of rejected callers that retry at once. maxRetries is
	// the maximum number of retries of a request.
	ignoreRetryAfterShare = 0.3
	maxRetries            = 2
	// Callers accept a Retry-After time of at most the time left divided by
	// retryAfterDivisor.
	retryAfterDivisor = 3
)

// loadBurst is a period with many requests, which starts after a pause.
type loadBurst struct {
	after, length time.Duration
	cold          bool
}

// drawBurst draws the next burst of a seed.
func drawBurst(rng *rand.Rand) loadBurst {
	return loadBurst{
		after:  time.Duration(rng.Int64N(int64(maxBurstPause))),
		length: minBurstLength + time.Duration(rng.Int64N(int64(maxBurstLength-minBurstLength))),
		cold:   rng.Float64() < coldBurstShare,
	}
}

// runBursts sends bursts until ctx ends.
func (s *site) runBursts(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.options.Seed, 9000))
	for ctx.Err() == nil {
		burst := drawBurst(rng)
		pause(ctx, burst.after)
		if burst.cold {
			s.recordDuring(AllHosts, Step{Kind: ServerCold, For: coldLength}, func() { s.makeServersCold() })
			pause(ctx, coldNoticeTime)
		}
		burstCtx, end := context.WithTimeout(ctx, burst.length)
		var wait sync.WaitGroup
		for _, h := range s.hosts {
			draw := rand.New(rand.NewPCG(s.options.Seed, rng.Uint64()))
			wait.Go(func() { s.sendBurst(burstCtx, h, draw) })
		}
		wait.Wait()
		end()
	}
}

// makeServersCold makes all servers cold.
func (s *site) makeServersCold() {
	for _, h := range s.hosts {
		h.currentServer().SetCold(coldLength)
	}
}

// sendBurst sends the requests of a burst to a host until ctx ends, and waits for their
// results.
func (s *site) sendBurst(ctx context.Context, h *host, rng *rand.Rand) {
	var wait sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		if h.ready.Load() {
			own := rand.New(rand.NewPCG(rng.Uint64(), uint64(n)))
			wait.Go(func() { s.sendWithRetries(h, own) })
		}
		pause(ctx, burstRequestInterval)
	}
	wait.Wait()
}

// sendWithRetries sends a request, and sends it again while it is rejected and its caller
// still waits.
func (s *site) sendWithRetries(h *host, rng *rand.Rand) {
	r := request{uri: fmt.Sprint("/read/", rng.IntN(100)), repeatable: true}
	if rng.IntN(4) == 0 {
		r = request{uri: fmt.Sprint("/order/", rng.IntN(100)), body: "an order of a crowd"}
	}
	deadline := time.Now().Add(deadlineMs * time.Millisecond)
	for range 1 + maxRetries {
		call := s.sendUntil(h, r, deadline)
		wait, retry := retryDelay(call.Reply.Status, call.Reply.RetryAfter, time.Until(deadline), rng.Float64() < ignoreRetryAfterShare)
		if !retry {
			return
		}
		time.Sleep(wait)
	}
}

// retryDelay returns how long a caller waits before it retries after an answer, and whether
// it retries at all.
func retryDelay(status int, retryAfter string, left time.Duration, ignoreRetryAfter bool) (wait time.Duration, retry bool) {
	refused := status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests
	if !refused || left <= 0 {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(retryAfter, 64)
	wait = time.Duration(seconds * float64(time.Second))
	if err != nil || ignoreRetryAfter {
		wait = 0
	}
	return wait, wait <= left/retryAfterDivisor
}
