// SPDX-License-Identifier: MIT

package peer

import "time"

// ageClock estimates how long a frame waited unread. Since the clocks of the two hosts
// have no common origin, it knows that age only as a range.
type ageClock struct {
	// earliestZero and latestZero are the local times between which the sender's time 0
	// lies.
	earliestZero, latestZero time.Time
	updated                  time.Time
}

// quickHandshake is the longest time from the challenge to its proof for which the arrival
// of the proof is taken as the sender's time 0. After a slower handshake, the sender's
// time 0 may be any time between the two.
const quickHandshake = 20 * time.Millisecond

// maxDriftPerSecond is how much the clocks of two hosts may differ in rate.
const maxDriftPerSecond = 200 * time.Microsecond

func (c *ageClock) start(challenged, proved time.Time) {
	c.earliestZero, c.latestZero, c.updated = proved, proved, proved
	if proved.Sub(challenged) > quickHandshake {
		c.earliestZero = challenged
	}
}

// age returns the least and the greatest time for which a frame with the sender's
// timestamp sent may have waited.
func (c *ageClock) age(now time.Time, sent time.Duration) (least, most time.Duration) {
	drift := time.Duration(now.Sub(c.updated).Seconds() * float64(maxDriftPerSecond))
	first, last := c.earliestZero.Add(drift), c.latestZero.Add(drift)
	zero := now.Add(-sent) // It cannot have arrived before it was sent.
	if zero.Before(last) {
		last = zero
		if last.Before(first) {
			first = last
		}
		c.earliestZero, c.latestZero, c.updated = first, last, now
	}
	return zero.Sub(last), zero.Sub(first)
}
