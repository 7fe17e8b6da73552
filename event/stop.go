// SPDX-License-Identifier: MIT

package event

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// Held is a request that a planned stop still waits for.
type Held struct {
	ID string
	// Where is the side of the node that has it, At what that waits for.
	Where, At string
	// Age counts from its arrival here, and Left is its time that is left, below zero once
	// that is over.
	Age, Left time.Duration
}

// The sides of a node that have requests.
const (
	AtEntry = "entry"
	AtGate  = "gate"
)

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (h Held) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("id", h.ID)
	e.AddString("where", h.Where)
	e.AddString("at", h.At)
	e.AddFloat64("age_ms", millis(h.Age))
	e.AddFloat64("left_ms", millis(h.Left))
	return nil
}

// heldMost bounds the requests that one line names.
const heldMost = 16

// Helds are such requests.
type Helds []Held

// MarshalLogArray implements zapcore.ArrayMarshaler. It names some and leaves the others out.
func (l Helds) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for _, h := range l[:min(len(l), heldMost)] {
		if err := e.AppendObject(h); err != nil {
			return err
		}
	}
	return nil
}
