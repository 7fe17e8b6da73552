// SPDX-License-Identifier: MIT

package admit

import "time"

// Rate bounds what a server gets while it is cold: a bucket of Burst requests that
// fills at PerSecond. In no second the server then gets more than their sum. The zero
// value is no bound.
type Rate struct {
	PerSecond float64
	Burst     float64
	// Debt is how many requests that went to the server while it was warm count once
	// it is cold: some of them may have come after it had turned cold, before it could
	// say so.
	Debt float64
}

// ColdRate is the rate by which a server that may get perSecond x overshoot + slack
// requests in any second gets the most of them. Of the slack one request is left, for
// what the time on the way to the server moves from one second into the next. The
// result has room for one request at least, or nothing would ever go.
func ColdRate(perSecond, overshoot, slack float64) Rate {
	if perSecond <= 0 {
		return Rate{}
	}
	return Rate{PerSecond: max(perSecond*overshoot, leastRate), Burst: max(slack-1, 1), Debt: slack}
}

// leastRate is one request in ten seconds: a bound that lets nothing through would
// leave a server without the requests by which others learn that it is there.
const leastRate = 0.1

// bound reports whether there is a bound.
func (r Rate) bound() bool { return r.PerSecond > 0 }

// interval is the time in which room for one request comes.
func (r Rate) interval() time.Duration {
	return time.Duration(float64(time.Second) / r.PerSecond)
}

// pace counts what a server got against a Rate. Requests are counted while the server
// is warm too, so that what it gets once it is cold follows on what it got just before.
// The zero value is empty and fills from the first look on.
type pace struct {
	rate   Rate
	tokens float64
	// counted is when tokens were counted; zero before the first look.
	counted time.Time
}

// fill counts the tokens that came until now.
func (p *pace) fill(now time.Time) {
	if p.counted.IsZero() {
		p.counted = now
	}
	passed := now.Sub(p.counted)
	if passed <= 0 {
		return // A clock that went back brings nothing.
	}
	p.counted = now
	p.tokens = min(p.tokens+p.rate.PerSecond*passed.Seconds(), p.rate.Burst)
}

// room reports whether a request may go now.
func (p *pace) room(now time.Time) bool {
	p.fill(now)
	return p.tokens >= 1
}

// take counts a request that goes. Those that go without room, to a server that is not
// known to be cold, make a debt.
func (p *pace) take(now time.Time) {
	p.fill(now)
	p.tokens = max(p.tokens-1, -p.rate.Debt)
}

// give takes a request back that did not go after all.
func (p *pace) give() { p.tokens = min(p.tokens+1, p.rate.Burst) }

// untilNth is how long the n-th request from now on would wait for room: negative by an
// interval for each further one that finds room at once.
func (p *pace) untilNth(now time.Time, n int) time.Duration {
	p.fill(now)
	return time.Duration((float64(n) - p.tokens) * float64(p.rate.interval()))
}

// untilRoom is how long it takes until there is room for a number of requests.
func (p *pace) untilRoom(now time.Time, requests int) time.Duration {
	p.fill(now)
	lacking := float64(requests) - p.tokens
	return time.Duration(max(lacking, 0) * float64(p.rate.interval()))
}
