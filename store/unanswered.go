// SPDX-License-Identifier: MIT

package store

import (
	"context"
	"errors"
	"os"
	"syscall"

	"github.com/valyala/fasthttp"
)

// UnansweredError is the error of a call that received no response.
type UnansweredError struct {
	// Meaning is ErrUnavailable or ErrUnknown.
	Meaning error
	// Cause is the error that ended the call.
	Cause error
}

// Error implements error.
func (u *UnansweredError) Error() string { return u.Meaning.Error() + ": " + u.Cause.Error() }

// Unwrap returns the meaning and the cause, so that errors.Is and errors.As find both.
func (u *UnansweredError) Unwrap() []error { return []error{u.Meaning, u.Cause} }

// FailureKind is the way in which a call failed.
type FailureKind string

// The kinds of failures.
const (
	// FailedByTimeLimit means that the call's time limit expired.
	FailedByTimeLimit FailureKind = "time limit"
	// FailedByKeepAlive means that the kernel closed the connection because the platform's
	// host did not acknowledge keep-alive probes or data.
	FailedByKeepAlive FailureKind = "keep-alive"
	// FailedByAnswer means that the platform responded with an error.
	FailedByAnswer FailureKind = "answer"
	// FailedByError means any other failure: a connection refused, reset or closed.
	FailedByError FailureKind = "error"
)

// FailureKindOf returns the way in which a call with an error failed. A nil error counts as
// FailedByAnswer, since the platform has responded.
func FailureKindOf(err error) FailureKind {
	var unanswered *UnansweredError
	switch {
	case !errors.As(err, &unanswered):
		return FailedByAnswer
	case errors.Is(err, syscall.ETIMEDOUT):
		return FailedByKeepAlive
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded), errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, fasthttp.ErrDialTimeout):
		return FailedByTimeLimit
	}
	return FailedByError
}
