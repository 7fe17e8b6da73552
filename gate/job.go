// SPDX-License-Identifier: MIT

package gate

import (
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/admit"
	"github.com/ryehaven/ryehaven/backend"
	"github.com/ryehaven/ryehaven/blame"
	"github.com/ryehaven/ryehaven/calls"
	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/peer"
	"github.com/ryehaven/ryehaven/wire"
)

// job is one request at the gate.
type job struct {
	gate   *Gate
	stream *peer.Stream
	ticket admit.Ticket

	// The gate's lock guards the fields below.
	handedOver bool
	// responseStarted is set when the head of the response has arrived, and connUnresponsive
	// when the connection was found unresponsive before that.
	responseStarted, connUnresponsive bool
	// connSuspectSince is since when the connection has been suspected to be unresponsive, and
	// notRunningSince since when the server's reports have shown that it cannot be running the
	// job; zero if not.
	connSuspectSince, notRunningSince time.Time
	// probedAt is when the server was last probed because a request was overdue.
	probedAt time.Time
	canceled bool
	exchange *backend.Exchange

	// crashSuspect is set when the job may run although servers have exited while they ran the
	// same request. The gate's lock guards it.
	crashSuspect bool
	// route is the job's route while the server runs it; else 0.
	route            calls.Route
	fingerprintOnce  sync.Once
	fingerprintValue blame.Fingerprint

	startedAt time.Time
	// slowness is the server's slowness when the job began, in percent; 0 if not known.
	slowness int
}

// cancel cancels a job that was handed over. It is called with the gate's lock held.
func (j *job) cancel() {
	j.canceled = true
	j.stream.Reset("canceled after it was handed to the backend server", j.gate.load())
	bodyCut := j.stream.Request.Length != wire.LengthNone && !j.stream.BodyComplete()
	if j.stream.Request.Repeatable || bodyCut {
		j.exchange.Abort()
	}
}

// run sends a dispatched job to the server and answers it.
func (j *job) run() {
	if j.gate.slowerThan(j.stream.Request.Slowness) {
		j.finishRefused(wire.ReasonSlow)
		return
	}
	j.startedAt = time.Now()
	j.slowness = j.gate.lockedSlowness(j.startedAt)
	request := fasthttp.AcquireRequest()
	j.fillRequest(request)
	exchange, reason, err := j.send(request)
	if exchange != nil {
		defer exchange.AfterWrite(func() { fasthttp.ReleaseRequest(request) })
	}
	switch {
	case reason != 0:
		j.finishRefused(reason)
		return
	case err != nil:
		exchange.Finish(false)
		j.finishReset(err)
		return
	}
	j.gate.updateSlownessAndProbe(&exchange.Response.Header)
	class, err := j.classify(&exchange.Response)
	j.observeServerState(&exchange.Response, class)
	switch class {
	case notRun:
		exchange.Finish(false)
		j.finishRefused(wire.ReasonShed)
	case wrongServer:
		exchange.Finish(false)
		j.gate.wrongServer()
		j.finishRefused(wire.ReasonNoServer)
	case unusable:
		exchange.Finish(false)
		j.finishReset(err)
	default:
		j.answer(exchange)
	}
}

// send opens an exchange and hands the request over. If a kept connection closes at once, the
// request is not sent again here: the server may have run it, and a second send must be paid
// from the entry's retry budget.
func (j *job) send(request *fasthttp.Request) (*backend.Exchange, wire.Reason, error) {
	exchange, reason := j.open(!j.stream.Request.Repeatable || j.stream.Request.MayHaveReachedServer)
	if reason != 0 {
		return nil, reason, nil
	}
	exchange.TagField, exchange.Tag = j.gate.settings.Dialect.RequestID, j.stream.Request.CallerRequestID
	err := exchange.Send(request, j.headDeadline())
	if err == nil {
		j.gate.responseReceived(j, time.Now())
	}
	return exchange, 0, err
}

// open gets a connection and decides, under the gate's lock, whether the request is handed
// over. This is the only place for that decision. It returns a reason if the request is not
// handed over.
func (j *job) open(fresh bool) (*backend.Exchange, wire.Reason) {
	exchange, err := j.gate.server.Open(fresh)
	if err != nil {
		return nil, wire.ReasonConnect
	}
	j.gate.mu.Lock()
	defer j.gate.mu.Unlock()
	reason := wire.Reason(0)
	switch {
	case j.canceled:
		reason = wire.ReasonCanceled
	case !time.Now().Before(j.stream.Deadline):
		reason = wire.ReasonDeadline
	default:
		// Servers may have exited while running the same request while this one was queued.
		reason, _ = j.gate.blameReason(j, time.Now())
	}
	if reason != 0 {
		exchange.Abort()
		exchange.Finish(false)
		return nil, reason
	}
	j.handedOver = true
	j.exchange = exchange
	j.requestStarted()
	j.gate.Counters.Dispatched.Add(1)
	j.gate.cold.wait.sent++
	return exchange, 0
}

// headDeadline is how long to wait for the head of the response. A request that is not
// repeatable gets extra time after its expiry to finish. The limit is the expiry and not the
// deadline: with the deadline, requests were ended up to 200 ms early if the connection
// between the nodes had taken that long to open.
func (j *job) headDeadline() time.Time {
	if j.stream.Request.Repeatable {
		return j.stream.Expiry
	}
	return j.stream.Expiry.Add(j.gate.settings.AbandonedTimeout)
}

// fillRequest writes the job's request as the server gets it.
func (j *job) fillRequest(r *fasthttp.Request) {
	m := j.stream.Request
	r.Header.DisableNormalizing()
	r.Header.DisableSpecialHeader() // Otherwise the library rewrites cookies and drops repeated fields.
	r.Header.SetMethod(m.Method)
	r.SetRequestURI(m.URI)
	for _, f := range m.Header {
		r.Header.Add(f.Name, f.Value)
	}
	if len(r.Header.Host()) == 0 {
		r.Header.Set(fasthttp.HeaderHost, m.Service)
	}
	dialect := &j.gate.settings.Dialect
	left := max(time.Until(j.stream.Deadline).Milliseconds(), 1)
	r.Header.Set(dialect.Deadline, strconv.FormatInt(left, 10))
	if dialect.Strict() {
		r.Header.Set(dialect.RequestID, m.CallerRequestID)
	}
	if dialect.Caller != "" && m.Caller != "" {
		r.Header.Set(dialect.Caller, m.Caller)
	}
	if dialect.Tenant != "" && m.Tenant != "" {
		r.Header.Set(dialect.Tenant, m.Tenant)
	}
	if dialect.ExpectServer != "" {
		r.Header.Set(dialect.ExpectServer, member.ServerIncarnationOf(m.Server).ID)
	}
	switch {
	case m.Last:
		r.SetBodyRaw(m.Body)
	default:
		r.SetBodyStream(j.stream.Body(j.gate.settings.BodyIdleTimeout), int(m.Length))
	}
}

// responseClass says what to do with a response of the server.
type responseClass int

const (
	// forwardable: the response is passed on to the entry.
	forwardable responseClass = iota
	// notRun: the server rejected the request without running it.
	notRun
	// wrongServer: another server than the expected one answered.
	wrongServer
	// unusable: the response must not be passed on, and the request may have run.
	unusable
)

// Errors for responses that are not passed on.
var (
	errNoSealField         = eris.New("backend server answered without the seal field that its successful responses must have")
	errUnrequestedEncoding = eris.New("backend server answered with a Content-Encoding that the request did not ask for")
	errReservedStatus      = eris.New("backend server answered 408, 429 or 503 without the field that marks the request as not run")
)

// classify decides what to do with a response of the server.
func (j *job) classify(r *fasthttp.Response) (responseClass, error) {
	dialect := &j.gate.settings.Dialect
	if !dialect.Strict() {
		if j.isShedResponse(r) {
			return notRun, nil
		}
		return forwardable, nil
	}
	status := r.StatusCode()
	switch {
	case status == fasthttp.StatusMisdirectedRequest:
		return wrongServer, nil
	case len(r.Header.Peek(dialect.NotRun)) > 0:
		return notRun, nil
	case status == fasthttp.StatusRequestTimeout, status == fasthttp.StatusTooManyRequests,
		status == fasthttp.StatusServiceUnavailable:
		return unusable, errReservedStatus
	case status < fasthttp.StatusInternalServerError && len(r.Header.Peek(dialect.Seal)) == 0:
		return unusable, errNoSealField
	case len(r.Header.Peek(fasthttp.HeaderContentEncoding)) > 0:
		return unusable, errUnrequestedEncoding
	}
	return forwardable, nil
}

// isShedResponse reports whether the server has shed the request without running it, where its
// row promises that 503 with Retry-After means that.
func (j *job) isShedResponse(r *fasthttp.Response) bool {
	j.gate.mu.Lock()
	promised := j.gate.row.ShedNotRun
	j.gate.mu.Unlock()
	return promised && r.StatusCode() == fasthttp.StatusServiceUnavailable &&
		len(r.Header.Peek(fasthttp.HeaderRetryAfter)) > 0
}

// answer passes the server's response on. A short response goes into one frame, sent after the
// slot was freed, so that the load reported with it no longer counts this request.
func (j *job) answer(exchange *backend.Exchange) {
	response := j.responseHead(&exchange.Response)
	first, err := readUpTo(exchange.Body(), firstReadSize(response.Length))
	response.Body = first
	ok := response.Status < fasthttp.StatusInternalServerError
	if err == io.EOF {
		response.Last = true
		j.recordAnswered(ok)
		exchange.Finish(true)
		response.Load = j.done(ok)
		j.gate.record(j, response.Load, event.Answered, "", response.Status)
		_ = j.stream.Respond(response) // If the connection to the entry is lost, Canceled is called.
		j.gate.Counters.Answered.Add(1)
		return
	}
	if err == nil {
		err = j.stream.Respond(response)
	}
	if err == nil {
		err = j.copyBody(exchange)
	}
	exchange.Finish(err == nil)
	if err != nil {
		j.finishReset(err)
		return
	}
	j.recordAnswered(ok)
	j.done(ok)
	j.gate.Counters.Answered.Add(1)
}

// maxBufferedBody is how many bytes of a response are read before its first frame is sent. A
// shorter response that breaks off can still be replaced by another server's.
const maxBufferedBody = 96 << 10

// firstReadSize is how many bytes of a response are read before its first frame is sent.
func firstReadSize(length int64) int {
	if length >= 0 && length < maxBufferedBody {
		return int(length) + 1 // One more byte, so that the same read finds the end.
	}
	return maxBufferedBody
}

// readUpTo reads up to most bytes of a body. It returns io.EOF if that was the whole body; any
// other error means that the body was cut short.
func readUpTo(body io.Reader, most int) ([]byte, error) {
	if body == nil {
		return nil, io.EOF
	}
	buf := make([]byte, min(most, peer.MaxChunk))
	n := 0
	for {
		read, err := body.Read(buf[n:])
		n += read
		if err != nil || n == most {
			return buf[:n], err
		}
		if n == len(buf) {
			buf = append(buf, make([]byte, min(most-n, n))...)
		}
	}
}

// responseHead translates the head of the server's response for the entry.
func (j *job) responseHead(r *fasthttp.Response) *wire.Response {
	status := r.StatusCode()
	m := &wire.Response{
		Status:   status,
		Header:   j.gate.settings.Dialect.FromResponse(&r.Header),
		Length:   int64(r.Header.ContentLength()),
		Load:     j.gate.Load(),
		Slowness: j.slowness,
	}
	if j.stream.Request.Requirements != nil {
		m.Origin = j.stream.Origin // Entries of older builds, which send no requirements, cannot read it.
	}
	if m.Length < 0 {
		m.Length = wire.LengthUnknown
	}
	if status >= fasthttp.StatusInternalServerError {
		m.NoRetry = string(r.Header.Peek(header.Retry)) == header.No || j.downstreamFailed()
	}
	return m
}

// downstreamFailed reports whether a call to another service has failed since the job began.
func (j *job) downstreamFailed() bool {
	return j.gate.settings.DownstreamFailed != nil && j.gate.settings.DownstreamFailed(j.startedAt)
}

// copyBody streams the rest of a response's body to the entry.
func (j *job) copyBody(exchange *backend.Exchange) error {
	idle := j.gate.settings.BodyIdleTimeout
	buf := make([]byte, peer.MaxChunk)
	for {
		exchange.Extend(time.Now().Add(idle))
		n, err := exchange.Body().Read(buf)
		last := err == io.EOF
		if err != nil && !last {
			return eris.Wrap(err, "read response body")
		}
		if n == 0 && !last {
			continue
		}
		if err := j.stream.Send(buf[:n], last, idle); err != nil {
			return err
		}
		if last {
			return nil
		}
	}
}

// done frees the job's slot, dispatches the next requests and returns the load after that.
func (j *job) done(ok bool) wire.Load {
	now := time.Now()
	j.gate.mu.Lock()
	defer j.gate.mu.Unlock()
	delete(j.gate.jobs, j.stream)
	j.requestEnded(now)
	j.gate.queue.Done(now, &j.ticket, ok)
	j.gate.advance(now)
	return j.gate.load()
}

// finishRefused ends a dispatched job that was not run after all.
func (j *job) finishRefused(reason wire.Reason) {
	now := time.Now()
	j.gate.mu.Lock()
	defer j.gate.mu.Unlock()
	if j.handedOver {
		j.requestEnded(now)
		j.gate.queue.Done(now, &j.ticket, false)
	} else {
		j.gate.queue.Unsent(now, &j.ticket)
	}
	if reason == wire.ReasonConnect {
		j.gate.assumeCold(now)
	}
	j.gate.refuse(j, reason)
	j.gate.advance(now)
}

// finishReset ends a job that was handed over and got no usable response.
func (j *job) finishReset(err error) {
	unresponsive := j.isConnUnresponsive()
	if !unresponsive && j.gate.serverExited(j, err) {
		err = errServerExited
	}
	if now := time.Now(); now.Before(j.stream.Expiry) && !unresponsive {
		j.gate.AssumeCold(now)
	}
	load := j.done(false)
	if unresponsive {
		err = errConnUnresponsive
	}
	j.gate.record(j, load, event.Unknown, err.Error(), 0)
	j.gate.Counters.Reset.Add(1)
	if unresponsive && time.Now().Before(j.stream.Expiry) {
		j.stream.ResetStalled(err.Error(), load)
		return
	}
	if !time.Now().Before(j.stream.Expiry) {
		j.stream.Expire(err.Error(), load)
		return
	}
	j.stream.Reset(err.Error(), load)
}
