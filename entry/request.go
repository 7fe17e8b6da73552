// SPDX-License-Identifier: MIT

package entry

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/blame"
	"github.com/ryehaven/ryehaven/calls"
	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/wire"
)

// request is one caller's request at the entry.
type request struct {
	ctx      *fasthttp.RequestCtx
	caller   net.Conn
	gone     chan struct{}
	service  *service
	who      identity
	began    time.Time
	deadline time.Time
	// route is nil when the table has no routes.
	route *table.Route
	// attemptLog holds the attempts so far, and candidates what was known of the servers
	// at the first attempt; both are for the log.
	attemptLog event.Attempts
	candidates event.Candidates
	// nextPaid says that the budget has already been charged for the next attempt.
	nextPaid bool
	// budgetDenied says that the budget did not cover another attempt.
	budgetDenied bool
	// stats is what was learned about requests of this route, and aim is when the answer
	// is due by the route's latency objective (aim); nil and zero if no route says so.
	stats *routeStats
	aim   time.Time
	// age is how long before this request the caller first sent it, as far as is known.
	age time.Duration
	// requestHash identifies the content of the request, and callerDeadline is when its
	// caller stops waiting; together they identify a request that the caller retries.
	// callerDeadline is zero if the caller states no timeout.
	requestHash    uint64
	callerDeadline time.Time
	// callRoute is the request's route if the request is a call made by the server on
	// this host; otherwise it is 0.
	callRoute calls.Route
	// onlyFromClients says that no request for the route is a call made by a server.
	onlyFromClients bool
	// retryAt is from when on the request takes precedence over new ones: the retry
	// time that its caller got; zero if its caller got none.
	retryAt time.Time
	// refuseBy is until when the request may wait for headroom; if zero, the gates
	// decide.
	refuseBy time.Time
	// fullServers are the servers that refused the request for lack of headroom.
	fullServers []*balance.Server
	// slowRefusals counts the servers that had become too slow before the request began
	// there.
	slowRefusals int
	// mayQueue says that the request may be queued at a server without headroom, because
	// no server has any or because waiting there is better than going to another server.
	mayQueue bool
	body     *body
	// message is what is sent to gates; each attempt sends a copy.
	message wire.Request

	attempts int
	tried    balance.Tried
	hedged   bool
	// serversReached counts the servers that the request has reached. maxReached is the
	// limit for that; 0 leaves it to the retry rules.
	serversReached, maxReached int
	// mayHaveRun says that some attempt may have run the request.
	mayHaveRun bool

	// fingerprint is what all tries of the same request have in common; it is valid if
	// hasFingerprint is true.
	fingerprint    blame.Fingerprint
	hasFingerprint bool
	// suspect says that servers have crashed while running the request, and blamedFor for
	// how long it is therefore not run.
	suspect   bool
	blamedFor time.Duration
}

// demand is what the request needs from a server.
func (r *request) demand(now time.Time) balance.Demand {
	if r.stats == nil {
		return balance.Demand{}
	}
	demand := r.stats.demand(now, r.aim)
	demand.Priority = table.Priority(r.message.Priority)
	return demand
}

// size is the approximate number of bytes that the request takes on its way to a gate.
func (r *request) size() int {
	return frameSize(r.message.Header, len(r.message.URI)+int(max(r.message.Length, 0)))
}

// frameSize is the size of a message's header fields plus the rest of the message.
func frameSize(header wire.Fields, rest int) int {
	for _, f := range header {
		rest += len(f.Name) + len(f.Value)
	}
	return rest
}

// removeTried removes a server from those that were tried.
func (r *request) removeTried(s *balance.Server) {
	for i, other := range r.tried {
		if other == s {
			r.tried = append(r.tried[:i], r.tried[i+1:]...)
			return
		}
	}
}

// noteOutcome records whether an attempt that ended may have run the request.
func (r *request) noteOutcome(a *attempt) {
	r.mayHaveRun = r.mayHaveRun || a.outcome.MayHaveRun()
}

// serviceName returns the service that a Host field names: its first label.
func serviceName(host string) string {
	name, _, _ := strings.Cut(host, ":")
	name, _, _ = strings.Cut(name, ".")
	return name
}

// newRequest reads what the caller wants. The string describes what is wrong with the
// request, or is blank.
func (e *Entry) newRequest(ctx *fasthttp.RequestCtx, head *received, d destination, who identity) (*request, string) {
	s, route := d.service, d.route
	s.mu.Lock()
	policy := s.policy
	s.mu.Unlock()
	h := &ctx.Request.Header
	dialect := &e.settings.Dialect
	if route != nil {
		policy.Deadline = route.Timeout
	}
	timeLimit, fault := timeLimitOf(h, dialect, policy, e.settings.MaxDeadline)
	if fault != "" {
		return nil, fault
	}
	priority, fault := priorityOf(h, dialect, policy)
	if fault != "" {
		return nil, fault
	}
	repeatable, fault := repeatableOf(h, dialect, policy)
	if fault != "" {
		return nil, fault
	}
	callerTimeout := timeLimit
	if len(h.Peek(dialect.Deadline)) == 0 {
		callerTimeout = 0
	}
	if route != nil {
		priority, repeatable = route.Priority, route.Repeatable
		timeLimit = min(timeLimit, route.Timeout)
	}
	if who.tenant != nil && who.tenant.Priority != nil {
		priority = *who.tenant.Priority
	}
	began := ctx.Time()
	r := &request{
		ctx:      ctx,
		caller:   ctx.Conn(),
		gone:     make(chan struct{}),
		service:  s,
		who:      who,
		began:    began,
		deadline: began.Add(timeLimit),
		message: wire.Request{
			Service:    s.name,
			Method:     head.method,
			URI:        head.target.Origin,
			Header:     head.forwardedFields(dialect, d.table.RequiresKeys()),
			Repeatable: repeatable,
			Priority:   uint8(priority),
			Caller:     e.settings.LocalService,
		},
	}
	if who.tenant != nil {
		r.message.Tenant = who.tenant.Name
	}
	if dialect.Strict() {
		r.message.CallerRequestID = string(h.Peek(dialect.RequestID))
	}
	if route != nil {
		r.route = route
		r.maxReached = route.Attempts
		r.stats = e.routeStatsOf(route)
		r.aim = began.Add(route.Aim)
		r.refuseBy = began.Add(route.Aim / refuseAimDivisor)
		e.detectCallerRetry(r, callerTimeout)
	}
	return r, ""
}

// refuseAimDivisor sets the time within which a request that finds no headroom is
// refused: the route's aim divided by it. A refusal is early enough for the caller to
// retry within the aim if it arrives within a quarter of the aim, counted from when the
// caller sent the request. That is some milliseconds before the entry reads the request,
// and a seventh leaves time for it.
const refuseAimDivisor = 7

// MayRepeat reports whether a request is for a route whose requests may run more than
// once.
func (e *Entry) MayRepeat(ctx *fasthttp.RequestCtx) bool {
	head, bad := readHead(ctx)
	if bad != nil {
		return false
	}
	e.mu.RLock()
	defer e.mu.RUnlock()
	route := e.table.Match(head.hostName(), head.target.Path())
	return route != nil && route.Repeatable
}

func timeLimitOf(h *fasthttp.RequestHeader, dialect *header.Dialect, policy table.Policy, limit time.Duration) (time.Duration, string) {
	text := string(h.Peek(dialect.Deadline))
	if text == "" {
		return policy.Deadline, ""
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err == nil && dialect.Exact && ms > 0 {
		ms = min(ms, float64(limit.Milliseconds()))
	}
	if err != nil || !(ms > 0 && ms <= float64(limit.Milliseconds())) {
		return 0, dialect.Deadline + " must be a number of milliseconds above 0 and at most " +
			strconv.FormatInt(limit.Milliseconds(), 10)
	}
	return time.Duration(ms * float64(time.Millisecond)), ""
}

func priorityOf(h *fasthttp.RequestHeader, dialect *header.Dialect, policy table.Policy) (table.Priority, string) {
	text := ""
	if dialect.Priority != "" {
		text = string(h.Peek(dialect.Priority))
	}
	if text == "" {
		return policy.Priority, ""
	}
	priority, ok := table.ParsePriority(text)
	if !ok {
		return 0, header.Priority + " must be urgent, normal or bulk"
	}
	return priority, ""
}

func repeatableOf(h *fasthttp.RequestHeader, dialect *header.Dialect, policy table.Policy) (bool, string) {
	text := ""
	if dialect.Repeatable != "" {
		text = string(h.Peek(dialect.Repeatable))
	}
	switch text {
	case header.Yes:
		return true, ""
	case header.No:
		return false, ""
	case "":
		return repeatableByRule(policy.Repeatable, string(h.Method())), ""
	}
	return false, header.Repeatable + " must be yes or no"
}

func repeatableByRule(rule table.RepeatableRule, method string) bool {
	switch method {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions, fasthttp.MethodTrace:
		return rule == table.ByMethod || rule == table.SafeOnly
	case fasthttp.MethodPut, fasthttp.MethodDelete:
		return rule == table.ByMethod
	}
	return false
}
