// SPDX-License-Identifier: MIT

package event

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// Blame is a change of the verdict on a request that was in flight when backend servers
// exited (see package blame).
type Blame struct {
	standalone

	// Fingerprint is the same for all attempts and retries of the request.
	Fingerprint string
	// Verdict is the new verdict, and Exits the number of backend servers that have
	// exited while running the request since it was last answered.
	Verdict string
	Exits   int
	// BlockedFor is for how long from now on the request is refused instead of run; 0 unless
	// the verdict is blamed.
	BlockedFor time.Duration
	// FromPeer is set if another node reported the change.
	FromPeer bool
}

// Message implements Event.
func (*Blame) Message() string { return "blame" }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (b *Blame) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("print", b.Fingerprint)
	e.AddString("now", b.Verdict)
	e.AddInt("ends", b.Exits)
	if b.BlockedFor > 0 {
		e.AddFloat64("for_ms", millis(b.BlockedFor))
	}
	e.AddBool("heard", b.FromPeer)
	return nil
}
