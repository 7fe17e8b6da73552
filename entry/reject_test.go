// SPDX-License-Identifier: MIT

package entry

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/header"
)

// handleRequest has an entry handle a request for a service and returns the answer.
func handleRequest(e *Entry, service string) *fasthttp.Response {
	var ctx fasthttp.RequestCtx
	var r fasthttp.Request
	r.SetRequestURI("/part/x")
	r.Header.SetHost(service)
	ctx.Init(&r, nil, nil)
	e.Handle(&ctx)
	return &ctx.Response
}

// The log line of a rejected request names the table and how long ago the table was
// confirmed, because an older table does not know what a newer one allows.
func TestRejectedRequestsAreRecorded(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	e, _ := newEntry(t, "127.0.0.1:1", "127.0.0.1:2")
	e.settings.Recorder = event.NewRecorder(zap.New(core), 0, 10)
	e.settings.Versions = func() (uint64, uint64) { return 7, 1 }
	e.settings.TableConfirmedAge = func(time.Time) (time.Duration, bool) { return 3 * time.Second, true }
	if status := handleRequest(e, "unknown").StatusCode(); status != fasthttp.StatusNotFound {
		t.Errorf("status %d", status)
	}
	lines := logs.All()
	if len(lines) != 1 {
		t.Fatalf("%d lines, want 1", len(lines))
	}
	fields := lines[0].ContextMap()
	for name, want := range map[string]any{
		"route": "unknown/part/", "status": 404, "outcome": "not-run", "generation": uint64(7), "confirmed_ms": int64(3000),
	} {
		if fields[name] != want {
			t.Errorf("%s is %v, want %v", name, fields[name], want)
		}
	}
}

// While the watches on the store hung on stalled connections, nodes used an old table for
// more than 20 s and rejected requests for a new route with 404, which tells callers not
// to retry. A node that can't know whether its table is the newest must not say that a
// route does not exist.
func TestUnknownRouteInStaleTableIsNotRejected(t *testing.T) {
	for _, test := range []struct {
		name       string
		mayBeStale func(time.Time) bool
		want       int
	}{
		{"no check", nil, fasthttp.StatusNotFound},
		{"the newest table", func(time.Time) bool { return false }, fasthttp.StatusNotFound},
		{"a table that may be stale", func(time.Time) bool { return true }, fasthttp.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			e, _ := newEntry(t, "127.0.0.1:1", "127.0.0.1:2")
			e.settings.TableMayBeStale = test.mayBeStale
			e.settings.NoTableRetryAfter = 250 * time.Millisecond
			response := handleRequest(e, "unknown")
			if got := response.StatusCode(); got != test.want {
				t.Errorf("status %d, want %d", got, test.want)
			}
			notRun := string(response.Header.Peek(header.Outcome)) == header.NotRun
			if hasRetryAfter := len(response.Header.Peek(fasthttp.HeaderRetryAfter)) > 0; !notRun || hasRetryAfter != (test.want == fasthttp.StatusServiceUnavailable) {
				t.Errorf("not run %v, Retry-After %v", notRun, hasRetryAfter)
			}
		})
	}
}

// A body that the head announces and that can't be read is never taken for an empty one: a
// server would run a request that its caller has not sent.
func TestRequestWithoutItsBodyIsRefused(t *testing.T) {
	for name, length := range map[string]int{"length": 5, "chunks": -1} {
		t.Run(name, func(t *testing.T) {
			e, _ := newEntry(t, "127.0.0.1:1", "127.0.0.1:2")
			var ctx fasthttp.RequestCtx
			var r fasthttp.Request
			r.SetRequestURI("/part/x")
			r.Header.SetHost("s")
			r.Header.SetMethod(fasthttp.MethodPost)
			r.Header.SetContentLength(length)
			ctx.Init(&r, nil, nil)
			e.Handle(&ctx)
			h := &ctx.Response.Header
			if status := ctx.Response.StatusCode(); status != fasthttp.StatusInternalServerError || string(h.Peek(header.Outcome)) != header.NotRun {
				t.Errorf("status %d, outcome %q", status, h.Peek(header.Outcome))
			}
		})
	}
}
