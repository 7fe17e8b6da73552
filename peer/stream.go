// SPDX-License-Identifier: MIT

package peer

import (
	"io"
	"time"

	"github.com/ryehaven/ryehaven/wire"
)

// Stream is a request under way, seen from the gate.
type Stream struct {
	Request *wire.Request
	// From is the entry's node.
	From     Identity
	Received time.Time
	// Deadline is when the answer is due by this host's clock, with the time
	// the request waited unread taken off.
	Deadline time.Time
	// Call says that a request which is running elsewhere waits for this one;
	// the Handler sets it.
	Call bool
	// Owner is the Handler's own.
	Owner any

	conn *accepted
	in   *pipe
	out  *allowance
}

// Refuse says that the request was not run and never will be.
func (s *Stream) Refuse(reason wire.Reason, retryAfter time.Duration, load wire.Load) {
	s.end(&wire.Refusal{
		ID:               s.Request.ID,
		Reason:           reason,
		RetryAfterMicros: retryAfter.Microseconds(),
		Load:             load,
	})
}

// Reset says that the request was handed to the backend server and has no
// whole answer.
func (s *Stream) Reset(message string, load wire.Load) {
	s.end(&wire.Reset{ID: s.Request.ID, Message: message, Load: load})
}

// Sever is Reset because the connection to the server was silent, and not the server.
func (s *Stream) Sever(message string, load wire.Load) {
	s.end(&wire.Reset{ID: s.Request.ID, Message: message, Load: load, Mute: true})
}

// Expire is Reset because the request's time was up.
func (s *Stream) Expire(message string, load wire.Load) {
	s.end(&wire.Reset{ID: s.Request.ID, Message: message, Load: load, Expired: true})
}

// end sends a stream's last message unless the stream has ended.
func (s *Stream) end(m wire.Message) {
	if !s.conn.forget(s.Request.ID) {
		return
	}
	_ = s.conn.w.send(m) // Canceled reports a lost connection.
	s.in.fail(ErrClosed)
	s.out.fail(ErrClosed)
}

// Respond starts the answer; with r.Last it is all of it.
func (s *Stream) Respond(r *wire.Response) error {
	r.ID = s.Request.ID
	s.out.mu.Lock()
	s.out.left -= int64(len(r.Body))
	s.out.mu.Unlock()
	if r.Last {
		s.end(r)
		return nil
	}
	if s.conn.stream(r.ID) == nil {
		return ErrClosed
	}
	return s.conn.w.send(r)
}

// Send sends a part of the answer's body and waits up to idle for the entry
// to take it.
func (s *Stream) Send(part []byte, last bool, idle time.Duration) error {
	err := sendBody(s.conn.w, s.out, s.Request.ID, part, last, idle)
	if last && err == nil {
		s.conn.forget(s.Request.ID)
		s.in.fail(ErrClosed)
	}
	return err
}

// Body returns the request's body. Reading returns credit to the entry, so it
// must not be read before the request is dispatched.
func (s *Stream) Body(idle time.Duration) io.Reader {
	s.in.openCredit(func(n int64) {
		_ = s.conn.w.send(&wire.Credit{ID: s.Request.ID, Bytes: n})
	})
	return streamBody{in: s.in, idle: idle}
}

type streamBody struct {
	in   *pipe
	idle time.Duration
}

func (b streamBody) Read(p []byte) (int, error) { return b.in.read(p, b.idle) }

// BodyComplete reports whether the whole body of the request was received.
func (s *Stream) BodyComplete() bool { return s.in.complete() }
