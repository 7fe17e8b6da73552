// SPDX-License-Identifier: MIT

package retry

import (
	"math"
	"time"
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered means that the server's answer goes to the caller.
	Answered Outcome = iota
	// NotRun means that the request was not run: the gate refused it, or the
	// entry had not sent a single byte of it.
	NotRun
	// Overloaded means that the request was not run because the gate has no
	// capacity left.
	Overloaded
	// ServerError is an answer with status 500, 502, 503 or 504.
	ServerError
	// Unknown means that the request may have been run.
	Unknown
	// Unresponsive means that the node of the gate is suspected, since it is
	// unresponsive; the request may still be running.
	Unresponsive
)

var outcomeNames = [...]string{"answered", "not-run", "overloaded", "server-error", "unknown", "silent"}

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "?"
}

// MayHaveRun reports whether the server may have run the request in an attempt
// with this outcome.
func (o Outcome) MayHaveRun() bool {
	return o == ServerError || o == Unknown || o == Unresponsive
}

// Attempt describes the attempt that just ended.
type Attempt struct {
	Outcome    Outcome
	Repeatable bool
	// NoRetry says that the answer carries the no-retry flag: a hop further down
	// the chain of calls has retried this failure already.
	NoRetry bool
	// Replayable says that the entry still has the whole request body.
	Replayable bool
	// Attempts is the number of attempts so far, at least 1.
	Attempts int
	// AttemptLimit bounds Attempts; 0 means MaxAttempts.
	AttemptLimit int
	// UntriedServers is the number of servers that were not tried yet and are not
	// known to be full.
	UntriedServers int
	// Left is what remains of the request's deadline.
	Left time.Duration
}

// Limits bound, for a whole deployment, how many requests reach a second server. With
// the zero value, only the table's retry share and MaxAttempts apply.
type Limits struct {
	// Within any Window, at most Share times the number of the service's fresh
	// requests (first attempts) over all nodes, plus Extra, may reach another server.
	Share  float64
	Extra  float64
	Window time.Duration
	// MaxSends bounds how often one request is sent, including sends that were
	// refused before they reached a server; 0 means MaxAttempts.
	MaxSends int
}

// SendLimit returns how often one request may be sent.
func (l Limits) SendLimit() int { return sendLimit(l.MaxSends) }

// CountsReached reports whether the budget counts only the attempts that may have
// reached a server.
func (l Limits) CountsReached() bool { return l.Window > 0 }

// Cost returns what another attempt takes from the budget after one with outcome o;
// reached says whether that one may have reached a server. If the limits count the
// attempts that reach servers, an attempt that was refused before it reached one is
// free, and an attempt that may have reached one counts in full.
func (l Limits) Cost(o Outcome, reached bool) float64 {
	switch {
	case !l.CountsReached():
		return o.Cost()
	case reached:
		return 1
	}
	return 0
}

// usedShare is the share of the limits that the nodes use together, as a safety margin:
// nodes join and leave, each knows only its own requests, and the calls that a retried
// request makes count as retries at the services that it calls.
const usedShare = 0.5

// PerNode returns the limits of each of the nodes that share l.
func (l Limits) PerNode(nodes int) NodeLimits {
	if !l.CountsReached() {
		return NodeLimits{}
	}
	return NodeLimits{
		Share:     usedShare * l.Share,
		PerSecond: usedShare * l.Extra / l.Window.Seconds() / float64(max(nodes, 1)),
		MaxTokens: max(usedShare*l.Extra/float64(max(nodes, 1)), 1),
	}
}

// NodeLimits are one node's part of Limits, as the rates and the size of a token
// bucket. The zero value sets no limits.
type NodeLimits struct {
	// Share is the number of tokens that each fresh request adds.
	Share float64
	// PerSecond is the number of tokens added each second without any request.
	PerSecond float64
	// MaxTokens is the largest number of unused tokens that is kept.
	MaxTokens float64
}

// MaxAttempts bounds the attempts for one request.
const MaxAttempts = 4

// sendLimit returns limit, or MaxAttempts if limit is 0.
func sendLimit(limit int) int {
	if limit == 0 {
		return MaxAttempts
	}
	return limit
}

// minLeft is the shortest remaining time in which another attempt is still made.
const minLeft = time.Millisecond

// Allowed reports whether the rules allow another attempt. The budget is checked
// separately.
func Allowed(a Attempt) bool {
	if !a.Replayable || a.Attempts >= sendLimit(a.AttemptLimit) || a.Left < minLeft || a.UntriedServers <= 0 {
		return false
	}
	switch a.Outcome {
	case NotRun, Overloaded:
		return true
	case ServerError:
		return a.Repeatable && !a.NoRetry
	case Unknown, Unresponsive:
		return a.Repeatable
	}
	return false
}

// Budget limits the retries of a service by a token bucket: fresh requests and time
// add tokens, retries take them. The zero value adds only FloorPerSecond tokens a
// second. It is not safe for concurrent use.
type Budget struct {
	// Share is the number of tokens that each fresh request adds.
	Share float64
	// Limits replace Share, FloorPerSecond and MaxTokens unless they are zero.
	Limits NodeLimits

	tokens     float64
	refilledAt time.Time
	// recent is the number of recent fresh requests at recentAt; it decays
	// exponentially with the time constant recentDecay.
	recent   float64
	recentAt time.Time
}

// recentDecay is the time constant of the rate of fresh requests.
const recentDecay = 5 * time.Second

// The refill rate and the size of a budget without NodeLimits.
const (
	// FloorPerSecond is the number of tokens added each second without any
	// request.
	FloorPerSecond = 3
	// MaxTokens is the largest number of unused tokens that is kept.
	MaxTokens = 20
)

// RecordRequest records a fresh request, which adds tokens.
func (b *Budget) RecordRequest(now time.Time) {
	b.refill(now)
	share, _, maxTokens := b.rates()
	b.tokens = min(b.tokens+share, maxTokens)
	b.recent = b.recentRequests(now) + 1
	b.recentAt = now
}

// recentRequests returns the decayed number of recent fresh requests.
func (b *Budget) recentRequests(now time.Time) float64 {
	age := now.Sub(b.recentAt)
	if b.recentAt.IsZero() || age < 0 {
		return b.recent
	}
	return b.recent * math.Exp(-age.Seconds()/recentDecay.Seconds())
}

// AvailableWithin returns how many tokens can be spent within the time left, if fresh
// requests continue at their present rate.
func (b *Budget) AvailableWithin(now time.Time, left time.Duration) float64 {
	b.refill(now)
	share, perSecond, _ := b.rates()
	fresh := b.recentRequests(now) / recentDecay.Seconds()
	return b.tokens + (perSecond+share*fresh)*left.Seconds()
}

// rates returns the tokens that a fresh request and a second add, and the largest
// number of tokens that is kept.
func (b *Budget) rates() (share, perSecond, maxTokens float64) {
	if b.Limits != (NodeLimits{}) {
		return b.Limits.Share, b.Limits.PerSecond, b.Limits.MaxTokens
	}
	return b.Share, FloorPerSecond, MaxTokens
}

// Cost returns what another attempt takes from the budget after one with this
// outcome. A refused attempt did not load its server, so another one adds only a
// message: it costs little, but not nothing.
func (o Outcome) Cost() float64 {
	if o == NotRun || o == Overloaded {
		return refusedCost
	}
	return 1
}

const refusedCost = 0.1

// ScaledLimits returns the limits of a budget that gets factor times what b gets.
func (b *Budget) ScaledLimits(factor float64) NodeLimits {
	share, perSecond, maxTokens := b.rates()
	return NodeLimits{Share: factor * share, PerSecond: factor * perSecond, MaxTokens: max(factor*maxTokens, 1)}
}

// Has reports whether the budget has enough tokens for a retry of this cost.
func (b *Budget) Has(now time.Time, cost float64) bool {
	b.refill(now)
	return b.tokens >= cost
}

// Take removes the cost of one retry and reports whether there were enough tokens.
func (b *Budget) Take(now time.Time, cost float64) bool {
	if !b.Has(now, cost) {
		return false
	}
	b.tokens -= cost
	return true
}

func (b *Budget) refill(now time.Time) {
	_, perSecond, maxTokens := b.rates()
	if b.refilledAt.IsZero() {
		b.refilledAt = now
		b.tokens = min(perSecond, maxTokens)
		return
	}
	if passed := now.Sub(b.refilledAt); passed > 0 {
		b.tokens = min(b.tokens+passed.Seconds()*perSecond, maxTokens)
		b.refilledAt = now
	}
}
