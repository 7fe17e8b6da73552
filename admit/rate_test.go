// SPDX-License-Identifier: MIT

package admit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// coldServer records the requests that a cold server gets across restarts of its gate, and checks
// that it never gets more in any second than it may.
type coldServer struct {
	bound float64
	rate  Rate
	now   time.Time
	// clockOffset is the difference between the gate's clock and now.
	clockOffset time.Duration
	queue       *Queue
	// dispatchedAt is when requests were sent to the server.
	dispatchedAt []time.Time
}

// gateTime is the time on the gate's clock.
func (c *coldServer) gateTime() time.Time { return c.now.Add(c.clockOffset) }

func (c *coldServer) restart() {
	c.queue = NewQueue(Settings{Slots: 1000, Queue: 1000, FixedLimit: true, NoDeadlineBound: true, Cold: c.rate})
	c.queue.StartTokenBucket(c.gateTime())
	c.queue.SetCold(start.Add(1000 * time.Hour))
}

func (c *coldServer) offer() {
	ticket := &Ticket{Deadline: start.Add(1000 * time.Hour), Patient: true}
	c.queue.Offer(c.gateTime(), ticket)
	if ticket.State() == Dispatched {
		c.dispatchedAt = append(c.dispatchedAt, c.now)
	}
}

func (c *coldServer) advance() {
	for _, ticket := range c.queue.Advance(c.gateTime()) {
		if ticket.State() == Dispatched {
			c.dispatchedAt = append(c.dispatchedAt, c.now)
		}
	}
}

func (c *coldServer) check(t *rapid.T) {
	first := 0
	for last, at := range c.dispatchedAt {
		for at.Sub(c.dispatchedAt[first]) > time.Second {
			first++
		}
		if n := last - first + 1; float64(n) > c.bound {
			t.Fatalf("%d requests within a second, %g allowed", n, c.bound)
		}
	}
}

// Whatever requests come, and however often the gate restarts or its clock is set back, a cold
// server never gets more in any second than it may.
func TestColdServerNeverGetsMoreThanItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(1, 40).Draw(t, "per second")
		overshoot := rapid.Float64Range(1, 2).Draw(t, "overshoot")
		slack := rapid.Float64Range(2, 20).Draw(t, "slack")
		c := &coldServer{bound: perSecond*overshoot + slack, rate: ColdRate(perSecond, overshoot, slack), now: start}
		c.restart()
		t.Repeat(map[string]func(*rapid.T){
			"": c.check,
			"burst": func(t *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(t, "requests") {
					c.offer()
				}
			},
			"time passes": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
				c.advance()
			},
			"the clock goes back": func(t *rapid.T) {
				c.clockOffset -= time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			},
			"restart": func(*rapid.T) { c.restart() },
		})
	})
}

// A server that turns cold is charged for all requests that it got just before, while it was
// warm.
func TestTokenBucketCountsRequestsSentWhileWarm(t *testing.T) {
	rate := ColdRate(16, 1.5, 8)
	q := NewQueue(Settings{Slots: 100, Queue: 100, FixedLimit: true, Cold: rate})
	q.StartTokenBucket(start.Add(-time.Minute))
	for range 50 {
		q.Offer(start, &Ticket{Deadline: start.Add(time.Hour)})
	}
	if q.InFlight() != 50 {
		t.Fatalf("%d of 50 were sent to a warm server", q.InFlight())
	}
	q.SetCold(start.Add(time.Second))
	ticket := &Ticket{Deadline: start.Add(time.Hour), Patient: true, MaxWait: time.Minute}
	q.Offer(start, ticket)
	if ticket.State() != Queued {
		t.Errorf("state %d at a cold server that has just got 50 requests", ticket.State())
	}
	tokenWait := time.Duration((rate.Debt + 1) * float64(rate.interval()))
	if after := q.RetryAfter(start); after < tokenWait {
		t.Errorf("retry after %v, but a token for this request is added after %v", after, tokenWait)
	}
	if left := q.Advance(start.Add(tokenWait - time.Millisecond)); len(left) != 0 {
		t.Errorf("state %d before the bucket is above zero", ticket.State())
	}
	if left := q.Advance(start.Add(tokenWait + time.Millisecond)); len(left) != 1 || ticket.State() != Dispatched {
		t.Errorf("state %d once there is a token", ticket.State())
	}
	if after := q.RetryAfter(start.Add(2 * time.Second)); after > time.Second {
		t.Errorf("retry after %v at a server that is warm again", after)
	}
}

// A request that was not sent after all returns its token.
func TestUnsentReturnsItsToken(t *testing.T) {
	q := NewQueue(Settings{Slots: 100, Queue: 100, FixedLimit: true, Cold: Rate{PerSecond: 1, Burst: 1}})
	q.StartTokenBucket(start.Add(-time.Minute))
	q.SetCold(start.Add(time.Hour))
	for range 3 {
		ticket := &Ticket{Deadline: start.Add(time.Hour)}
		q.Offer(start, ticket)
		if ticket.State() != Dispatched {
			t.Fatalf("state %d although the previous request was not sent", ticket.State())
		}
		q.Unsent(start, ticket)
	}
}
