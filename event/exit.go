// SPDX-License-Identifier: MIT

package event

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// InFlightRequest is a request that a backend server was processing when it exited.
type InFlightRequest struct {
	ID string
	// Fingerprint is the same for all attempts and retries of the request.
	Fingerprint string
	// Elapsed is how long the server had been processing the request.
	Elapsed time.Duration
	// AnsweredBefore is set if the server had answered the same request before, so that
	// the request does not become a suspect.
	AnsweredBefore bool
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (r InFlightRequest) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("id", r.ID)
	e.AddString("print", r.Fingerprint)
	e.AddFloat64("took_ms", millis(r.Elapsed))
	if r.AnsweredBefore {
		e.AddBool("answered_before", true)
	}
	return nil
}

// InFlightRequests is a list of requests that zap encodes as an array.
type InFlightRequests []InFlightRequest

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l InFlightRequests) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for _, r := range l {
		if err := e.AppendObject(r); err != nil {
			return err
		}
	}
	return nil
}

// ServerExit reports that a backend server exited while it was processing requests.
type ServerExit struct {
	standalone

	Service  string
	Server   string
	InFlight InFlightRequests
}

// Message implements Event.
func (*ServerExit) Message() string { return "server ended" }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (s *ServerExit) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("service", s.Service)
	e.AddString("server", s.Server)
	return e.AddArray("at_work", s.InFlight)
}
