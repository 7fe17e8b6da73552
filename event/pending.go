// SPDX-License-Identifier: MIT

package event

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// PendingRequest is a request that a planned stop of the node still waits for.
type PendingRequest struct {
	ID string
	// Component is the part of the node that handles the request, [AtEntry] or [AtGate].
	// WaitingFor is the service (at the entry) or the server (at the gate) whose answer
	// is awaited.
	Component, WaitingFor string
	// Age is the time since the request arrived at this node. Remaining is the time
	// until its deadline, negative if that has passed.
	Age, Remaining time.Duration
}

// Values of PendingRequest.Component.
const (
	AtEntry = "entry"
	AtGate  = "gate"
)

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (r PendingRequest) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("id", r.ID)
	e.AddString("where", r.Component)
	e.AddString("at", r.WaitingFor)
	e.AddFloat64("age_ms", millis(r.Age))
	e.AddFloat64("left_ms", millis(r.Remaining))
	return nil
}

// maxListedRequests limits the pending requests listed in one line.
const maxListedRequests = 16

// PendingRequests is a list of pending requests that zap encodes as an array.
type PendingRequests []PendingRequest

// MarshalLogArray implements zapcore.ArrayMarshaler. It encodes the first
// maxListedRequests requests and omits the rest.
func (l PendingRequests) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for _, r := range l[:min(len(l), maxListedRequests)] {
		if err := e.AppendObject(r); err != nil {
			return err
		}
	}
	return nil
}
