// SPDX-License-Identifier: MIT

package event

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// Blame is a change of what a node takes a request for under which servers have ended.
type Blame struct {
	standalone

	// Print is alike for all tries of the request.
	Print string
	// Now is what it is taken for, and Ends how many servers have ended under it since it
	// was last answered.
	Now  string
	Ends int
	// For is how long it is not run.
	For time.Duration
	// Heard says that another node told it.
	Heard bool
}

// Message implements Event.
func (*Blame) Message() string { return "blame" }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (b *Blame) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("print", b.Print)
	e.AddString("now", b.Now)
	e.AddInt("ends", b.Ends)
	if b.For > 0 {
		e.AddFloat64("for_ms", millis(b.For))
	}
	e.AddBool("heard", b.Heard)
	return nil
}
