// SPDX-License-Identifier: MIT

package entry

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/retry"
	"github.com/ryehaven/ryehaven/wire"
)

// proxyName is the name of this system in Proxy-Status.
const proxyName = "ryehaven"

// The error types of RFC 9209 section 2.3 that a node reports.
const (
	statusUnavailable = "destination_unavailable"
	statusLimited     = "connection_limit_reached"
	statusTimeout     = "connection_read_timeout"
	statusLost        = "connection_terminated"
	statusNotFound    = "destination_not_found"
	statusBadRequest  = "http_request_error"
	statusDenied      = "http_request_denied"
)

// noServerRetryAfter is the retry delay for a service without any server.
const noServerRetryAfter = 200 * time.Millisecond

// failure is an answer that the node itself gives.
type failure struct {
	status     int
	outcome    string
	proxyError string
	detail     string
	retryAfter time.Duration
	// noRetry asks the caller and the proxies before this node not to retry at once.
	noRetry bool
}

// reply sends the caller its only answer.
func (e *Entry) reply(r *request, res result) {
	now := time.Now()
	failed := true
	if res.last != nil && res.last.response != nil {
		failed = res.last.outcome == retry.ServerError
		e.Counters.Answered.Add(1)
		e.recordRequest(r, now, event.Answered, failure{status: res.last.response.Status})
		e.forwardAnswer(r, res.last)
	} else {
		f := failureOf(res)
		e.recordRequest(r, now, eventOutcome(f), f)
		e.answerFailure(r.ctx, f)
	}
	if failed {
		e.lastFailure.Store(now.UnixNano())
	}
	if r.attempts > 1 {
		r.ctx.Response.Header.Set(header.Attempts, strconv.Itoa(r.attempts))
	}
	r.service.countResult(now, now.Sub(r.began), failed)
}

// forwardAnswer gives the caller the server's answer.
func (e *Entry) forwardAnswer(r *request, a *attempt) {
	idle := e.settings.BodyIdleTimeout
	m := a.response
	response := &r.ctx.Response
	header.ResetResponse(&response.Header, fieldValue(m.Header, fasthttp.HeaderDate))
	response.SetStatusCode(m.Status)
	response.Header.SetNoDefaultContentType(true)
	for _, f := range m.Header {
		response.Header.Add(f.Name, f.Value)
	}
	response.Header.Set(header.Server, a.name)
	if field := e.settings.Dialect.RequestID; field != "" {
		response.Header.Set(field, r.message.CallerRequestID)
	}
	if m.NoRetry {
		response.Header.Set(header.Retry, header.No)
	}
	switch {
	case r.ctx.IsHead():
		response.SkipBody = true
		response.Header.SetContentLength(int(m.Length))
	case m.Last:
		response.SetBodyRaw(m.Body)
	default:
		response.SetBodyStream(a.call.Body(idle), int(m.Length))
	}
}

// fieldValue returns the value of the first field with a name, or "".
func fieldValue(fields wire.Fields, name string) string {
	for _, f := range fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// failureOf returns the failure for a request that got no answer.
func failureOf(res result) failure {
	if res.blamedFor > 0 && !res.mayHaveRun {
		return blamedFailure(res.blamedFor)
	}
	if res.deferral.retryAfter > 0 {
		return res.deferral.failure()
	}
	if res.last == nil {
		return failure{
			status:     fasthttp.StatusServiceUnavailable,
			outcome:    header.NotRun,
			proxyError: statusUnavailable,
			detail:     "no backend server of the service takes new work",
			retryAfter: noServerRetryAfter,
		}
	}
	if res.mayHaveRun {
		return failureUnknown(res.last)
	}
	return failureNotRun(res.last)
}

func failureUnknown(a *attempt) failure {
	f := failure{
		status:     fasthttp.StatusBadGateway,
		outcome:    header.Unknown,
		proxyError: statusLost,
		detail:     "the request was handed over and its answer did not arrive",
		noRetry:    true,
	}
	if a.final {
		f.status = fasthttp.StatusGatewayTimeout
		f.proxyError = statusTimeout
		f.detail = "the deadline passed while the request was with a backend server"
	}
	return f
}

func failureNotRun(a *attempt) failure {
	f := failure{
		status:     fasthttp.StatusServiceUnavailable,
		outcome:    header.NotRun,
		proxyError: statusUnavailable,
		detail:     "refused: " + a.reason.String(),
		retryAfter: max(a.retryAfter, time.Millisecond),
	}
	switch {
	case a.reason == wire.ReasonBlamed:
		return blamedFailure(a.retryAfter)
	case a.reason.Full():
		f.proxyError = statusLimited
		f.noRetry = true
	case a.reason == wire.ReasonDeadline:
		f.status = fasthttp.StatusGatewayTimeout
		f.proxyError = statusTimeout
	}
	return f
}

// answerFailure answers with a failure and counts it.
func (e *Entry) answerFailure(ctx *fasthttp.RequestCtx, f failure) {
	switch f.outcome {
	case header.NotRun:
		e.Counters.NotRun.Add(1)
	default:
		e.Counters.Unknown.Add(1)
	}
	f.write(ctx, e.settings.Dialect.Exact)
}

// write fills in the answer; exact gives Retry-After in fractions of a second.
func (f failure) write(ctx *fasthttp.RequestCtx, exact bool) {
	h := &ctx.Response.Header
	header.ResetResponse(h, "")
	ctx.Response.SetStatusCode(f.status)
	h.SetServer(header.ServerSoftware)
	h.SetContentType("text/plain; charset=utf-8")
	h.Set(header.Outcome, f.outcome)
	h.Set(header.ProxyStatus, proxyName+"; error="+f.proxyError+"; details="+strconv.Quote(f.detail))
	if f.retryAfter > 0 {
		seconds := strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds())))
		if exact {
			seconds = strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64)
		}
		h.Set(fasthttp.HeaderRetryAfter, seconds)
		h.Set(header.RetryAfterMs, strconv.FormatInt(max(f.retryAfter.Milliseconds(), 1), 10))
	}
	if f.noRetry {
		h.Set(header.Retry, header.No)
	}
	ctx.Response.SetBodyString(f.detail + "\n")
}

// refuseWithoutTable answers requests while the node has no table yet.
func (e *Entry) refuseWithoutTable(ctx *fasthttp.RequestCtx) {
	e.refuseForNow(ctx, "this node has no table yet")
}

// refuseUnknown answers a request for which the table has no service. An old table may
// lack what the newest one allows, and 404 would tell the caller not to retry.
func (e *Entry) refuseUnknown(ctx *fasthttp.RequestCtx) {
	if e.settings.TableMayBeStale != nil && e.settings.TableMayBeStale(time.Now()) {
		e.refuseForNow(ctx, "the table in force does not know the route, and may be an old one")
		return
	}
	e.refuseBad(ctx, fasthttp.StatusNotFound, "no service of the table is meant by the Host field and the path")
}

// refuseForNow answers a request that this node can't judge with the table that it has.
func (e *Entry) refuseForNow(ctx *fasthttp.RequestCtx, detail string) {
	f := failure{
		status:     fasthttp.StatusServiceUnavailable,
		outcome:    header.NotRun,
		proxyError: statusUnavailable,
		detail:     detail,
		retryAfter: e.settings.NoTableRetryAfter,
	}
	e.recordRejected(ctx, time.Now(), f)
	e.answerFailure(ctx, f)
}

// refuseBad answers a request that is invalid in itself.
func (e *Entry) refuseBad(ctx *fasthttp.RequestCtx, status int, detail string) {
	e.Counters.BadRequests.Add(1)
	proxyError := statusBadRequest
	switch status {
	case fasthttp.StatusNotFound:
		proxyError = statusNotFound
	case fasthttp.StatusUnauthorized:
		proxyError = statusDenied
	}
	f := failure{status: status, outcome: header.NotRun, proxyError: proxyError, detail: detail}
	e.recordRejected(ctx, time.Now(), f)
	f.write(ctx, false)
}
