// SPDX-License-Identifier: MIT

package store

import (
	"context"
	"errors"
	"os"
	"syscall"

	"github.com/valyala/fasthttp"
)

// Unanswered is the error of a call that got no answer.
type Unanswered struct {
	// Meaning is ErrUnavailable or ErrUnknown.
	Meaning error
	// Cause is what ended the wait.
	Cause error
}

// Error implements error.
func (u *Unanswered) Error() string { return u.Meaning.Error() + ": " + u.Cause.Error() }

// Unwrap makes both the meaning and the cause known to errors.Is.
func (u *Unanswered) Unwrap() []error { return []error{u.Meaning, u.Cause} }

// Ending is what ended a call that failed.
type Ending string

// The endings.
const (
	// EndedByLimit is the call's own time limit.
	EndedByLimit Ending = "time limit"
	// EndedByKeepAlive is the kernel, which found the other side silent.
	EndedByKeepAlive Ending = "keep-alive"
	// EndedByAnswer is a failure that the platform answered with.
	EndedByAnswer Ending = "answer"
	// EndedByError is anything else: a connection refused, reset or closed.
	EndedByError Ending = "error"
)

// EndingOf tells what ended a call that failed.
func EndingOf(err error) Ending {
	var unanswered *Unanswered
	switch {
	case !errors.As(err, &unanswered):
		return EndedByAnswer
	case errors.Is(err, syscall.ETIMEDOUT):
		return EndedByKeepAlive
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded), errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, fasthttp.ErrDialTimeout):
		return EndedByLimit
	}
	return EndedByError
}
