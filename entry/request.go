// SPDX-License-Identifier: MIT

package entry

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/balance"
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
	began    time.Time
	deadline time.Time
	body     *body
	// message is what is sent to gates; each attempt sends a copy.
	message wire.Request

	attempts int
	tried    balance.Tried
	hedged   bool
	// mayHaveRun says that some attempt may have run the request.
	mayHaveRun bool
}

// note remembers whether an attempt that ended may have run the request.
func (r *request) note(a *attempt) {
	r.mayHaveRun = r.mayHaveRun || a.outcome.MayHaveRun()
}

// serviceName returns the service that a Host field names: its first label.
func serviceName(host string) string {
	name, _, _ := strings.Cut(host, ":")
	name, _, _ = strings.Cut(name, ".")
	return name
}

// newRequest reads what the caller wants. The string is a fault to tell the
// caller, or blank.
func (e *Entry) newRequest(ctx *fasthttp.RequestCtx, s *service) (*request, string) {
	s.mu.Lock()
	policy := s.policy
	s.mu.Unlock()
	h := &ctx.Request.Header
	budget, fault := budgetOf(h, policy, e.settings.MaxDeadline)
	if fault != "" {
		return nil, fault
	}
	priority, fault := priorityOf(h, policy)
	if fault != "" {
		return nil, fault
	}
	repeatable, fault := repeatableOf(h, policy)
	if fault != "" {
		return nil, fault
	}
	began := ctx.Time()
	r := &request{
		ctx:      ctx,
		caller:   ctx.Conn(),
		gone:     make(chan struct{}),
		service:  s,
		began:    began,
		deadline: began.Add(budget),
		message: wire.Request{
			Service:    s.name,
			Method:     string(h.Method()),
			URI:        string(ctx.Request.RequestURI()),
			Header:     header.FromRequest(h),
			Repeatable: repeatable,
			Priority:   uint8(priority),
		},
	}
	return r, ""
}

func budgetOf(h *fasthttp.RequestHeader, policy table.Policy, most time.Duration) (time.Duration, string) {
	text := string(h.Peek(header.Deadline))
	if text == "" {
		return policy.Deadline, ""
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms > 0 && ms <= float64(most.Milliseconds())) {
		return 0, header.Deadline + " must be a number of milliseconds above 0 and at most " +
			strconv.FormatInt(most.Milliseconds(), 10)
	}
	return time.Duration(ms * float64(time.Millisecond)), ""
}

func priorityOf(h *fasthttp.RequestHeader, policy table.Policy) (table.Priority, string) {
	text := string(h.Peek(header.Priority))
	if text == "" {
		return policy.Priority, ""
	}
	priority, ok := table.ParsePriority(text)
	if !ok {
		return 0, header.Priority + " must be urgent, normal or bulk"
	}
	return priority, ""
}

func repeatableOf(h *fasthttp.RequestHeader, policy table.Policy) (bool, string) {
	switch string(h.Peek(header.Repeatable)) {
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
