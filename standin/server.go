// SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/gate"
	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/internal/sock"
)

// RequestNumberField is the header field that holds the number of a request. The answer
// repeats it.
const RequestNumberField = "X-Run"

// Paths at which the stand-in itself is controlled.
const (
	BehaviourPath = "/standin/behaviour"
	RunsPath      = "/standin/runs"
)

// Server is a stand-in for a backend server. Set Name before the first request.
type Server struct {
	Name string
	// Reports counts how often the server was asked for its report.
	Reports atomic.Int64
	// RunLog receives the number of each request, on a line, when its execution starts.
	// It may be nil.
	RunLog io.Writer

	started time.Time
	client  fasthttp.Client

	mu        sync.Mutex
	changed   chan struct{}
	behaviour Behaviour
	slots     chan struct{}
	runs      map[string]int
	total     int
}

// New returns a server with a behaviour.
func New(name string, b Behaviour) *Server {
	s := &Server{Name: name, started: time.Now(), runs: map[string]int{}, changed: make(chan struct{})}
	s.client.MaxIdemponentCallAttempts = 1
	s.client.RetryIfErr = func(*fasthttp.Request, int, error) (bool, bool) { return false, false }
	s.client.MaxConnsPerHost = 4096
	s.Set(b)
	return s
}

// Set changes the behaviour. Requests that are being executed keep their slots.
func (s *Server) Set(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.Slots = max(b.Slots, 1)
	if s.slots == nil || cap(s.slots) != b.Slots {
		s.slots = make(chan struct{}, b.Slots)
	}
	s.behaviour = b
	close(s.changed)
	s.changed = make(chan struct{})
}

// Runs returns how often each numbered request was executed, and the total number of
// executions.
func (s *Server) Runs() (byNumber map[string]int, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byNumber = make(map[string]int, len(s.runs))
	for number, n := range s.runs {
		byNumber[number] = n
	}
	return byNumber, s.total
}

// HTTP returns an HTTP server that serves s.
func (s *Server) HTTP() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:            s.Handle,
		Name:               "standin",
		StreamRequestBody:  true,
		MaxRequestBodySize: 1 << 30,
		IdleTimeout:        30 * time.Second,
	}
}

// Handle answers one request; it is a fasthttp.RequestHandler.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case gate.ReportPath:
		s.handleReport(ctx)
	case BehaviourPath:
		s.handleBehaviour(ctx)
	case RunsPath:
		s.handleRuns(ctx)
	default:
		s.serve(ctx)
	}
}

func (s *Server) handleReport(ctx *fasthttp.RequestCtx) {
	s.Reports.Add(1)
	b, _, _ := s.current()
	body, _ := json.Marshal(map[string]any{"draining": b.Draining, "load": b.ReportLoad})
	ctx.SetBody(body)
}

func (s *Server) handleBehaviour(ctx *fasthttp.RequestCtx) {
	var b Behaviour
	if err := json.Unmarshal(ctx.PostBody(), &b); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.Set(b)
}

func (s *Server) handleRuns(ctx *fasthttp.RequestCtx) {
	runs, total := s.Runs()
	body, _ := json.Marshal(map[string]any{"runs": runs, "total": total, "reports": s.Reports.Load()})
	ctx.SetBody(body)
}

func (s *Server) current() (Behaviour, chan struct{}, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behaviour, s.slots, s.changed
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	b, slots, _ := s.current()
	if b.Shed {
		ctx.Error("shed\n", fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
		return
	}
	slots <- struct{}{}
	defer func() { <-slots }()
	s.countExecution(string(ctx.Request.Header.Peek(RequestNumberField)))
	if rand.Float64() < b.FailShare {
		ctx.Error("failed\n", fasthttp.StatusInternalServerError)
		return
	}
	if !s.waitWhileFrozen(ctx) || !s.doWork(ctx, b) {
		return // The caller has cancelled the request by closing the connection.
	}
	if b.NextService != "" && !s.callNext(ctx, b) {
		return
	}
	s.answer(ctx)
}

func (s *Server) countExecution(number string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	if number != "" {
		s.runs[number]++
		if s.RunLog != nil {
			fmt.Fprintln(s.RunLog, number)
		}
	}
}

// cancelCheckInterval is how often a request checks for cancellation while it is executed.
const cancelCheckInterval = 2 * time.Millisecond

// waitWhileFrozen waits while the server is frozen. It returns false if the request is
// cancelled.
func (s *Server) waitWhileFrozen(ctx *fasthttp.RequestCtx) bool {
	for {
		b, _, changed := s.current()
		if !b.Frozen {
			return true
		}
		select {
		case <-changed:
		case <-time.After(cancelCheckInterval):
			if !sock.PeerOpen(ctx.Conn()) {
				return false
			}
		}
	}
}

// doWork sleeps for the service time of one request, which grows with the server's
// current slowdown. It returns false if the request is cancelled.
func (s *Server) doWork(ctx *fasthttp.RequestCtx, b Behaviour) bool {
	remaining := b.requestWork()
	for remaining > 0 {
		began := time.Now()
		factor, validFor := b.slowdownAt(began, s.started)
		duration := time.Duration(float64(remaining) * factor)
		time.Sleep(min(duration, validFor, cancelCheckInterval))
		if duration <= cancelCheckInterval && duration <= validFor {
			return true
		}
		if !sock.PeerOpen(ctx.Conn()) {
			return false
		}
		remaining -= time.Duration(float64(time.Since(began)) / factor)
	}
	return true
}

// callNext calls the next service. If the call fails, it answers the request with 503 and
// returns false.
func (s *Server) callNext(ctx *fasthttp.RequestCtx, b Behaviour) bool {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + b.NextEntry + string(ctx.Path()))
	request.UseHostHeader = true
	request.Header.SetHost(b.NextService)
	deadline := string(ctx.Request.Header.Peek(header.Deadline))
	request.Header.Set(header.Deadline, deadline)
	request.Header.Set(RequestNumberField, string(ctx.Request.Header.Peek(RequestNumberField)))
	ms, err := strconv.Atoi(deadline)
	if err != nil {
		ms = 1000
	}
	err = s.client.DoTimeout(request, response, time.Duration(ms)*time.Millisecond)
	if err != nil || response.StatusCode() >= fasthttp.StatusInternalServerError {
		ctx.Error("next service failed\n", fasthttp.StatusServiceUnavailable)
		return false
	}
	return true
}

// answer answers a request by its path: /bytes/N with N bytes of the pattern, and /echo
// with the request's body. The answer to any other path is a line with the server's name,
// the request's number and the path; for /wait/MS it is delayed by MS milliseconds.
func (s *Server) answer(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(RequestNumberField, string(ctx.Request.Header.Peek(RequestNumberField)))
	path := string(ctx.Path())
	if size, ok := strings.CutPrefix(path, "/bytes/"); ok {
		n, err := strconv.Atoi(size)
		if err != nil {
			ctx.Error("size is not a number\n", fasthttp.StatusBadRequest)
			return
		}
		ctx.SetBodyStream(&pattern{remaining: n}, n)
		return
	}
	if millis, ok := strings.CutPrefix(path, "/wait/"); ok {
		ms, err := strconv.Atoi(millis)
		if err != nil {
			ctx.Error("time is not a number\n", fasthttp.StatusBadRequest)
			return
		}
		time.Sleep(time.Duration(ms) * time.Millisecond)
	}
	if path == "/echo" && ctx.RequestBodyStream() != nil {
		body := ctx.Request.Body()
		ctx.SetBody(body)
		return
	}
	fmt.Fprintf(ctx, "%s %s %s\n", s.Name, ctx.Request.Header.Peek(RequestNumberField), path)
}

// pattern is a body whose bytes depend on their offset (see PatternAt), so that missing
// or misplaced bytes can be detected.
type pattern struct {
	offset, remaining int
}

// Read implements io.Reader.
func (p *pattern) Read(b []byte) (int, error) {
	n := min(len(b), p.remaining)
	for i := range n {
		b[i] = PatternAt(p.offset + i)
	}
	p.offset += n
	p.remaining -= n
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// PatternAt returns the byte of a /bytes answer at offset i.
func PatternAt(i int) byte { return byte(i*31 + i>>8) }
