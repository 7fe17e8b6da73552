// SPDX-License-Identifier: MIT

package admit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// comeback plays callers who come back to a gate after a refusal, twice at most, when they
// were told to or after a third of the time that they have left.
type comeback struct {
	*replay
	tell  func() time.Duration
	tries map[asked]int
	// due are the requests that come back, by the millisecond.
	due map[time.Duration][]asked
	// crowd is the most that came back in 50 ms after the burst.
	crowd, bin int
	after      time.Duration
	rng        *rand.Rand
}

// newComeback has requests fill three quarters of a server, and times that for a while from
// 4 s on.
func newComeback(seed uint64, times float64, length time.Duration) *comeback {
	usual := stream{perSecond: 36, work: 80 * time.Millisecond, aim: 300 * time.Millisecond, deadline: 800 * time.Millisecond, wait: 40 * time.Millisecond}
	burst := usual
	burst.perSecond *= times - 1
	burst.from, burst.to = 4*time.Second, 4*time.Second+length
	c := &comeback{
		replay: newReplay(seed, usual, burst), tries: map[asked]int{}, due: map[time.Duration][]asked{},
		after: burst.to, rng: rand.New(rand.NewPCG(seed, 2)),
	}
	c.back = c.refused
	return c
}

func (c *comeback) refused(t *Ticket) bool {
	a := t.Value.(asked)
	left := t.Deadline.Sub(c.at(c.now))
	wait := min(c.tell(), left/3) + time.Duration(c.rng.IntN(4))*time.Millisecond
	at := (c.now + max(wait, time.Millisecond)).Truncate(time.Millisecond)
	if c.tries[a]++; c.tries[a] > 2 || !c.at(at).Before(t.Deadline) {
		return false
	}
	c.due[at] = append(c.due[at], a)
	return true
}

// run plays for 10 s.
func (c *comeback) run() {
	for end := time.Millisecond; end <= 10*time.Second; end += time.Millisecond {
		back := c.due[c.now]
		delete(c.due, c.now)
		if c.now%(50*time.Millisecond) == 0 {
			c.bin = 0
		}
		if c.bin += len(back); c.now >= c.after {
			c.crowd = max(c.crowd, c.bin)
		}
		for _, a := range back {
			c.offer(a, false)
		}
		c.play(end)
	}
}

// A burst is refused and comes back. Who comes back when told is in time more often than who
// comes back at once.
func TestRefusedCrowdIsBetterOffWhenItHeeds(t *testing.T) {
	for _, burst := range []struct {
		times  float64
		length time.Duration
	}{{2, 2 * time.Second}, {6, 300 * time.Millisecond}, {1.4, 4 * time.Second}} {
		var share [2]float64
		var p99 [2]time.Duration
		var crowd [2]int
		for rule := range share {
			inTime, sent := 0, 0
			var took []time.Duration
			for seed := range uint64(30) {
				c := newComeback(seed, burst.times, burst.length)
				c.tell = func() time.Duration {
					if rule == 0 {
						return 0
					}
					return c.queue.RetryAfter(c.at(c.now))
				}
				c.run()
				for _, got := range c.got {
					inTime += got.inTime
					sent += got.sent
				}
				took = append(took, c.took...)
				crowd[rule] += c.crowd
			}
			slices.Sort(took)
			share[rule], p99[rule] = float64(inTime)/float64(sent), took[len(took)*99/100]
		}
		t.Logf("%.1f times for %v: in time %.3f, at once %.3f; p99 %v, at once %v; most in 50 ms %d, at once %d",
			burst.times, burst.length, share[1], share[0], p99[1], p99[0], crowd[1], crowd[0])
		if share[1] <= share[0] {
			t.Errorf("%.1f times for %v: %.3f in time, %.3f who come back at once", burst.times, burst.length, share[1], share[0])
		}
	}
}
