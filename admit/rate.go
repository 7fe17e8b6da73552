// SPDX-License-Identifier: MIT

package admit

import "time"

// Rate bounds the requests that a server gets, as a token bucket that holds Burst tokens and
// refills at PerSecond. In any second the server gets at most PerSecond+Burst requests. The zero
// value sets no bound.
type Rate struct {
	PerSecond float64
	Burst     float64
	// Debt bounds how far requests that are sent while the server counts as warm take the bucket
	// below zero. Some of them may have reached the server after it turned cold and before it
	// could report that.
	Debt float64
}

// ColdRate is the highest rate for a server that may get perSecond x overshoot + slack requests
// in any second. It leaves one request of the slack unused, because varying delays on the way to
// the server can move a request from one second into the next. The bucket holds at least one
// token, or no request would ever be sent.
func ColdRate(perSecond, overshoot, slack float64) Rate {
	if perSecond <= 0 {
		return Rate{}
	}
	return Rate{PerSecond: max(perSecond*overshoot, minColdRate), Burst: max(slack-1, 1), Debt: slack}
}

// minColdRate is one request in ten seconds. With a rate of zero the server would never get the
// requests by which others learn that it is there.
const minColdRate = 0.1

const (
	// reportedBurst is the time whose requests a server that has reported a rate may get at
	// once. Callers send unevenly, and a server whose slots are free bears it.
	reportedBurst = 500 * time.Millisecond
	// minReportedRate is in requests per second. It stands for a rate of zero.
	minReportedRate = 0.001
	// minTrialRate is the rate, in requests per second, at which a server gets requests if only
	// their responses can show that its limit has changed.
	minTrialRate = 0.25
)

// ReportedRate is the highest rate for a server that has reported that it accepts perSecond
// requests per second. With trials, it gets a few even if it accepts none.
func ReportedRate(perSecond float64, trials bool) Rate {
	least := minReportedRate
	if trials {
		least = minTrialRate
	}
	return Rate{PerSecond: max(perSecond, least), Burst: max(perSecond*reportedBurst.Seconds(), 1)}
}

// isSet reports whether the rate sets a bound.
func (r Rate) isSet() bool { return r.PerSecond > 0 }

// interval is the time in which one token is added.
func (r Rate) interval() time.Duration {
	return time.Duration(float64(time.Second) / r.PerSecond)
}

// tokenBucket counts the requests that a server gets against a Rate. It also counts while the
// server is warm, so that a server that turns cold is charged for what it got just before. The
// zero value is empty and refills from its first use on.
type tokenBucket struct {
	rate   Rate
	tokens float64
	// refilledAt is when tokens were last added; zero before the first use.
	refilledAt time.Time
}

// refill adds the tokens for the time that has passed until now.
func (b *tokenBucket) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
	}
	passed := now.Sub(b.refilledAt)
	if passed <= 0 {
		return // A clock that was set back adds no tokens.
	}
	b.refilledAt = now
	b.tokens = min(b.tokens+b.rate.PerSecond*passed.Seconds(), b.rate.Burst)
}

// hasToken reports whether a request may be sent now.
func (b *tokenBucket) hasToken(now time.Time) bool {
	b.refill(now)
	return b.tokens >= 1
}

// take counts a request that is sent. Requests sent without a token, to a server that is not known
// to be cold, take the bucket below zero.
func (b *tokenBucket) take(now time.Time) {
	b.refill(now)
	b.tokens = max(b.tokens-1, -b.rate.Debt)
}

// putBack returns the token of a request that was not sent after all.
func (b *tokenBucket) putBack() { b.tokens = min(b.tokens+1, b.rate.Burst) }

// timeUntilNth is how long the n-th request from now on would wait for a token. It is negative by
// one interval for each further request that would find a token at once.
func (b *tokenBucket) timeUntilNth(now time.Time, n int) time.Duration {
	b.refill(now)
	return time.Duration((float64(n) - b.tokens) * float64(b.rate.interval()))
}

// timeUntilTokens is how long it takes until the bucket holds n tokens.
func (b *tokenBucket) timeUntilTokens(now time.Time, n int) time.Duration {
	b.refill(now)
	lacking := float64(n) - b.tokens
	return time.Duration(max(lacking, 0) * float64(b.rate.interval()))
}

// rateBounds are the bounds on the rate of the requests that a server gets: one while it is cold,
// and one that it has reported itself. The zero value sets no bound.
type rateBounds struct {
	// cold also counts while the server is warm, and is enforced until coldUntil.
	cold      tokenBucket
	coldUntil time.Time
	// reported is enforced while its rate is set.
	reported tokenBucket
}

// setReported sets the rate that the server has reported; the zero Rate ends the bound. A new bound
// starts without tokens.
func (b *rateBounds) setReported(now time.Time, r Rate) {
	if !b.reported.rate.isSet() {
		b.reported = tokenBucket{}
	}
	b.reported.refill(now)
	b.reported.rate = r
	b.reported.tokens = min(b.reported.tokens, r.Burst)
}

func (b *rateBounds) isCold(now time.Time) bool {
	return b.cold.rate.isSet() && now.Before(b.coldUntil)
}

// enforced reports whether a bound is in force.
func (b *rateBounds) enforced(now time.Time) bool {
	return b.reported.rate.isSet() || b.isCold(now)
}

// allow reports whether a request may be sent now.
func (b *rateBounds) allow(now time.Time) bool {
	return (!b.isCold(now) || b.cold.hasToken(now)) && (!b.reported.rate.isSet() || b.reported.hasToken(now))
}

// take counts a request that is sent.
func (b *rateBounds) take(now time.Time) {
	b.cold.take(now)
	b.reported.take(now)
}

// putBack returns the tokens of a request that was not sent after all.
func (b *rateBounds) putBack() {
	b.cold.putBack()
	b.reported.putBack()
}

// wait is how long it takes until the server may get a number of requests.
func (b *rateBounds) wait(now time.Time, requests int) time.Duration {
	wait := time.Duration(0)
	if b.isCold(now) {
		wait = min(b.cold.timeUntilTokens(now, requests), b.coldUntil.Sub(now))
	}
	if b.reported.rate.isSet() {
		wait = max(wait, b.reported.timeUntilTokens(now, requests))
	}
	return wait
}

// timeUntilNth is tokenBucket.timeUntilNth for the bounds in force, of which there must be one.
func (b *rateBounds) timeUntilNth(now time.Time, n int) time.Duration {
	if !b.reported.rate.isSet() {
		return b.cold.timeUntilNth(now, n)
	}
	wait := b.reported.timeUntilNth(now, n)
	if b.isCold(now) {
		wait = max(wait, b.cold.timeUntilNth(now, n))
	}
	return wait
}

// interval is the longest interval of the bounds in force.
func (b *rateBounds) interval(now time.Time) time.Duration {
	interval := time.Duration(0)
	if b.isCold(now) {
		interval = b.cold.rate.interval()
	}
	if b.reported.rate.isSet() {
		interval = max(interval, b.reported.rate.interval())
	}
	return interval
}
