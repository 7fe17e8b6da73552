// SPDX-License-Identifier: MIT

package tenant

import "time"

// Timing says when a request comes. It decides which requests get tokens first while their
// tenant sends more than its quota allows.
type Timing uint8

// The timings, in order of precedence.
const (
	// OnTime requests get tokens first. They are first attempts, and retries that come at
	// their retry time or later and can still be answered in time.
	OnTime Timing = iota
	// TooLate requests can't be answered in time any more. They yield to those on time.
	TooLate
	// TooEarly requests are retries that come before their retry time. They yield to those
	// on time and keep the retry time that they have.
	TooEarly
)

// reserveTime defines the reserve of tokens that yielding requests must leave to those on
// time: what the bucket refills in this time.
const reserveTime = 100 * time.Millisecond

// TakeWithReserve takes tokens for up to want requests and returns how many it took. The
// last ones of them, yielding in number, get tokens only from what exceeds a reserve for
// requests on time. The reserve is at least one token below the bucket's capacity, so that a
// full bucket always admits a yielding request: these never starve while the tenant stays
// below its quota.
func (b *Bucket) TakeWithReserve(now time.Time, want, yielding int) int {
	yielding = min(yielding, want)
	onTime := want - yielding
	taken := b.Take(now, onTime)
	if taken < onTime {
		return taken
	}
	reserve := max(min(b.rate*reserveTime.Seconds(), b.capacity-1), 0)
	if b.tokens-reserve < 1 {
		return taken
	}
	return taken + b.Take(now, min(yielding, int(b.tokens-reserve)))
}
