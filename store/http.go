// SPDX-License-Identifier: MIT

package store

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// PathPrefix is the prefix of the path of every object.
const PathPrefix = "/objects/"

// HTTP is a Client over HTTP. Make it with NewHTTP.
type HTTP struct {
	address string
	base    string
	limit   time.Duration
}

// NewHTTP returns a client of the platform at an address such as 127.0.0.1:8500. limit is the
// time limit of each call, to which the wait of a Watch is added.
func NewHTTP(address string, limit time.Duration) *HTTP {
	return &HTTP{address: address, base: "http://" + address + PathPrefix, limit: limit}
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
	var o Object
	changed := false
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
				changed = true
				o.Body = append([]byte(nil), r.Body()...)
				o.Tag = string(r.Header.Peek(fasthttp.HeaderETag))
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
	return o, changed, nil
}

// asUnavailable turns the error of a failed read into ErrUnavailable, since a read can always
// be repeated. It keeps ErrNotFound.
func asUnavailable(err error) error {
	if errors.Is(err, ErrNotFound) || errors.Is(err, ErrUnavailable) {
		return err
	}
	var unanswered *UnansweredError
	if errors.As(err, &unanswered) {
		return &UnansweredError{Meaning: ErrUnavailable, Cause: unanswered.Cause}
	}
	return eris.Wrap(ErrUnavailable, err.Error())
}

// Put implements Client.
func (h *HTTP) Put(ctx context.Context, key, tag string, body []byte) (string, error) {
	newTag := ""
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
				newTag = string(r.Header.Peek(fasthttp.HeaderETag))
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
	return newTag, nil
}

// do sends a request and reads the response.
func (h *HTTP) do(ctx context.Context, limit time.Duration, fill func(*fasthttp.Request), read func(*fasthttp.Response) error) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	fill(request)
	request.Header.SetUserAgent("ryehaven")
	err := CallOnce(ctx, h.address, limit, 2*MaxBody, request, response)
	switch {
	case errors.Is(err, errNotSent):
		return &UnansweredError{Meaning: ErrUnavailable, Cause: err}
	case err != nil:
		return &UnansweredError{Meaning: ErrUnknown, Cause: err}
	}
	return read(response)
}
