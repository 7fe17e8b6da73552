// SPDX-License-Identifier: MIT

package storetest

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/store"
)

// Paths of the requests that control the stand-in: PUT FaultsPath replaces the faults, GET
// CallsPath returns the numbers of calls.
const (
	FaultsPath = "/standin/faults"
	CallsPath  = "/standin/calls"
)

// Handle serves the store over HTTP. It is a fasthttp.RequestHandler.
func (s *Store) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	key, isObject := strings.CutPrefix(path, store.PathPrefix)
	switch {
	case isObject && ctx.IsPut():
		s.handlePut(ctx, key)
	case isObject:
		s.handleGet(ctx, key)
	case path == FaultsPath && ctx.IsPut():
		s.handleFaults(ctx)
	case path == CallsPath:
		body, _ := json.Marshal(s.Calls()) // Encoding integers does not fail.
		ctx.SetBody(body)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (s *Store) handleFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Store) handleGet(ctx *fasthttp.RequestCtx, key string) {
	tag := string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch))
	wait := waitOf(string(ctx.Request.Header.Peek("Prefer")))
	var o store.Object
	var err error
	changed := true
	if wait > 0 {
		o, changed, err = s.Watch(context.Background(), key, tag, wait)
	} else {
		o, err = s.Get(context.Background(), key)
		changed = err == nil && (tag == "" || o.Tag != tag)
	}
	switch {
	case err != nil:
		fail(ctx, err)
	case !changed:
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	default:
		ctx.Response.Header.Set(fasthttp.HeaderETag, o.Tag)
		ctx.SetContentType("application/json")
		ctx.SetBody(o.Body)
	}
}

// waitOf returns the wait preference (RFC 7240, section 4.3) in a Prefer field, or 0.
func waitOf(prefer string) time.Duration {
	for preference := range strings.SplitSeq(prefer, ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(preference), "wait=")
		if seconds, err := strconv.Atoi(text); ok && err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

func (s *Store) handlePut(ctx *fasthttp.RequestCtx, key string) {
	tag := string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch))
	if tag == "" && string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) != "*" {
		ctx.Error("a write needs If-Match or If-None-Match: *", fasthttp.StatusPreconditionRequired)
		return
	}
	newTag, err := s.Put(context.Background(), key, tag, ctx.PostBody())
	if err != nil {
		fail(ctx, err)
		return
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, newTag)
}

// fail sends the response for an error of the store.
func fail(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, store.ErrNotFound):
		ctx.Error(err.Error(), fasthttp.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		ctx.Error(err.Error(), fasthttp.StatusPreconditionFailed)
	case errors.Is(err, store.ErrUnknown):
		// The reply is lost: the connection is closed without a response.
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { c.Close() })
	case errors.Is(err, store.ErrUnavailable):
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	default:
		ctx.Error(err.Error(), fasthttp.StatusRequestEntityTooLarge)
	}
}
