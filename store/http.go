// SPDX-License-Identifier: MIT

package store

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/internal/sock"
)

// PathPrefix begins the path of every object.
const PathPrefix = "/objects/"

// HTTP is a Client over HTTP. Make it with NewHTTP.
type HTTP struct {
	base   string
	limit  time.Duration
	client *fasthttp.Client
}

// NewHTTP returns a client of the platform at an address such as
// 127.0.0.1:8500. limit bounds each call, beyond the wait of a Watch.
func NewHTTP(address string, limit time.Duration) *HTTP {
	return &HTTP{
		base:  "http://" + address + PathPrefix,
		limit: limit,
		client: &fasthttp.Client{
			Name:                      "ryehaven",
			MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
				return false, false
			},
			MaxResponseBodySize: 2 * MaxBody,
			Dial: func(address string) (net.Conn, error) {
				return sock.Dial(address, limit)
			},
		},
	}
}

// Get implements Client.
func (h *HTTP) Get(ctx context.Context, key string) (Object, error) {
	o, _, err := h.read(ctx, key, "", 0)
	return o, err
}

// Watch implements Client.
func (h *HTTP) Watch(ctx context.Context, key, tag string, wait time.Duration) (Object, bool, error) {
	return h.read(ctx, key, tag, wait)
}

func (h *HTTP) read(ctx context.Context, key, tag string, wait time.Duration) (Object, bool, error) {
	// The answer is a value of its own, which nobody reads once ctx has ended.
	answer := &struct {
		object  Object
		changed bool
	}{}
	err := h.do(ctx, h.limit+wait,
		func(r *fasthttp.Request) {
			r.SetRequestURI(h.base + key)
			if tag != "" {
				r.Header.Set(fasthttp.HeaderIfNoneMatch, tag)
			}
			if wait > 0 {
				r.Header.Set("Prefer", fmt.Sprintf("wait=%d", int(math.Ceil(wait.Seconds()))))
			}
		},
		func(r *fasthttp.Response) error {
			switch r.StatusCode() {
			case fasthttp.StatusOK:
				answer.changed = true
				answer.object.Body = append([]byte(nil), r.Body()...)
				answer.object.Tag = string(r.Header.Peek(fasthttp.HeaderETag))
				return nil
			case fasthttp.StatusNotModified:
				return nil
			case fasthttp.StatusNotFound:
				return ErrNotFound
			}
			return eris.Wrapf(ErrUnavailable, "status %d", r.StatusCode())
		})
	if err != nil {
		return Object{}, false, asUnavailable(err)
	}
	return answer.object, answer.changed, nil
}

// asUnavailable gives a failed read its meaning: reading again is safe.
func asUnavailable(err error) error {
	if errors.Is(err, ErrNotFound) || errors.Is(err, ErrUnavailable) {
		return err
	}
	var unanswered *Unanswered
	if errors.As(err, &unanswered) {
		return &Unanswered{Meaning: ErrUnavailable, Cause: unanswered.Cause}
	}
	return eris.Wrap(ErrUnavailable, err.Error())
}

// Put implements Client.
func (h *HTTP) Put(ctx context.Context, key, tag string, body []byte) (string, error) {
	newTag := new(string) // Nobody reads it once ctx has ended.
	err := h.do(ctx, h.limit,
		func(r *fasthttp.Request) {
			r.SetRequestURI(h.base + key)
			r.Header.SetMethod(fasthttp.MethodPut)
			r.Header.SetContentType("application/json")
			if tag == "" {
				r.Header.Set(fasthttp.HeaderIfNoneMatch, "*")
			} else {
				r.Header.Set(fasthttp.HeaderIfMatch, tag)
			}
			r.SetBodyRaw(body)
		},
		func(r *fasthttp.Response) error {
			switch status := r.StatusCode(); {
			case status == fasthttp.StatusOK, status == fasthttp.StatusCreated, status == fasthttp.StatusNoContent:
				*newTag = string(r.Header.Peek(fasthttp.HeaderETag))
				return nil
			case status == fasthttp.StatusPreconditionFailed:
				return ErrConflict
			case status == fasthttp.StatusTooManyRequests, status == fasthttp.StatusServiceUnavailable:
				return eris.Wrapf(ErrUnavailable, "status %d", status)
			case status < fasthttp.StatusInternalServerError:
				return eris.Errorf("platform refused the write with status %d: %s", status, r.Body())
			default:
				return eris.Wrapf(ErrUnknown, "status %d", status)
			}
		})
	if err != nil {
		return "", err
	}
	return *newTag, nil
}

// do sends one request and reads its answer. When ctx ends first the call goes
// on by itself until its limit, and nobody hears of its end.
func (h *HTTP) do(ctx context.Context, limit time.Duration, fill func(*fasthttp.Request), read func(*fasthttp.Response) error) error {
	done := make(chan error, 1)
	go func() { done <- h.doUntil(time.Now().Add(limit), fill, read) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return &Unanswered{Meaning: ErrUnknown, Cause: ctx.Err()}
	}
}

func (h *HTTP) doUntil(deadline time.Time, fill func(*fasthttp.Request), read func(*fasthttp.Response) error) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	fill(request)
	if err := h.client.DoDeadline(request, response, deadline); err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return &Unanswered{Meaning: ErrUnavailable, Cause: err}
		}
		return &Unanswered{Meaning: ErrUnknown, Cause: err}
	}
	return read(response)
}
