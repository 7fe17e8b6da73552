// SPDX-License-Identifier: MIT

package entry

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/ryehaven/ryehaven/event"
)

// ask gives an entry a request for a service and returns the answer.
func ask(e *Entry, service string) *fasthttp.Response {
	var ctx fasthttp.RequestCtx
	var r fasthttp.Request
	r.SetRequestURI("/part/x")
	r.Header.SetHost(service)
	ctx.Init(&r, nil, nil)
	e.Handle(&ctx)
	return &ctx.Response
}

// A request that is rejected leaves a line that tells by which table, and how long ago
// that was confirmed: an older table does not know what a newer one allows.
func TestRejectedRequestsAreRecorded(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	e, _ := newEntry(t, "127.0.0.1:1", "127.0.0.1:2")
	e.settings.Recorder = event.NewRecorder(zap.New(core), 0, 10)
	e.settings.Versions = func() (uint64, uint64) { return 7, 1 }
	e.settings.Confirmed = func(time.Time) (time.Duration, bool) { return 3 * time.Second, true }
	if status := ask(e, "unknown").StatusCode(); status != fasthttp.StatusNotFound {
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
