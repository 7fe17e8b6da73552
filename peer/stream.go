// SPDX-License-Identifier: MIT

package peer

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/ryehaven/ryehaven/wire"
)

// Stream is a request in flight, as seen by the gate.
type Stream struct {
	Request *wire.Request
	// From is the entry's node.
	From     Identity
	Received time.Time
	// Deadline is the earliest time at which the answer may be due by this host's clock,
	// counting the longest time that the request may have waited unread. From then on the
	// request is not begun.
	Deadline time.Time
	// Expiry is the latest time at which the answer may be due. By then the entry has
	// reported the timeout or given the request up, so a request that was begun is not
	// ended before. It is later than Deadline by up to the time that the connection took
	// to open.
	Expiry time.Time
	// Call says that a request which is running elsewhere waits for this one. The Handler
	// sets it.
	Call bool
	// Origin is where the requests of its route come from. The Handler sets it.
	Origin uint8
	// Route is the name of the request's route in the current table, or empty if there is
	// none. The Handler sets it.
	Route string
	// HandlerData is for the Handler's own use.
	HandlerData any

	// conn is the connection that the stream is on. It is changed under that connection's
	// lock.
	conn atomic.Pointer[acceptedConn]
	// answerStarted says that a part of the answer was sent, under the same lock.
	answerStarted bool
	in            *pipe
	out           *sendCredit
}

// Refuse reports that the request was not run and never will be.
func (s *Stream) Refuse(reason wire.Reason, retryAfter time.Duration, load wire.Load) {
	s.end(&wire.Refusal{
		ID:               s.Request.ID,
		Reason:           reason,
		RetryAfterMicros: retryAfter.Microseconds(),
		Load:             load,
	})
}

// Reset reports that the request was handed to the backend server and has no complete
// answer.
func (s *Stream) Reset(message string, load wire.Load) {
	s.end(&wire.Reset{ID: s.Request.ID, Message: message, Load: load})
}

// ResetStalled is Reset for a connection to the server that stalled while the server
// itself responds.
func (s *Stream) ResetStalled(message string, load wire.Load) {
	s.end(&wire.Reset{ID: s.Request.ID, Message: message, Load: load, ConnectionStalled: true})
}

// Expire is Reset for a request whose time was up.
func (s *Stream) Expire(message string, load wire.Load) {
	s.end(&wire.Reset{ID: s.Request.ID, Message: message, Load: load, Expired: true})
}

// end sends a stream's last message unless the stream has ended.
func (s *Stream) end(m wire.Message) {
	if s.withConn(func(conn *acceptedConn) { conn.sendLast(s, m) }) != nil {
		return
	}
	s.in.fail(ErrClosed)
	s.out.fail(ErrClosed)
}

// Respond starts the answer; with r.Last it is the complete answer.
func (s *Stream) Respond(r *wire.Response) error {
	r.ID = s.Request.ID
	s.out.mu.Lock()
	s.out.left -= int64(len(r.Body))
	s.out.mu.Unlock()
	if r.Last {
		s.end(r)
		return nil
	}
	var err error
	closed := s.withConn(func(conn *acceptedConn) {
		if err = conn.sendAnswer(r); err == nil {
			s.answerStarted = true
		}
	})
	if closed != nil {
		return closed
	}
	return err
}

// withConn calls do with the stream's connection, whose lock is held. It returns ErrClosed
// instead if the stream has ended.
func (s *Stream) withConn(do func(conn *acceptedConn)) error {
	for {
		conn := s.conn.Load()
		conn.mu.Lock()
		if s.conn.Load() != conn {
			conn.mu.Unlock()
			continue // It was moved in the meantime.
		}
		_, open := conn.streams[s.Request.ID]
		if open {
			do(conn)
		}
		conn.mu.Unlock()
		if !open {
			return ErrClosed
		}
		return nil
	}
}

// sendLast sends a stream's last message and keeps it in case the connection has stalled.
// It is called with the lock held.
func (a *acceptedConn) sendLast(s *Stream, m wire.Message) {
	delete(a.streams, s.Request.ID)
	err := a.sendAnswer(m)
	if r, ok := m.(*wire.Response); ok && isTooLarge(err) {
		m = &wire.Reset{ID: s.Request.ID, Message: err.Error(), Load: r.Load}
		_ = a.w.send(m)
	}
	// Handler.Canceled reports a lost connection.
	if !s.answerStarted {
		a.server.sent.add(sentAnswer{conn: a, id: s.Request.ID, at: time.Now(), m: m})
	}
	a.closeIfDrained()
}

// abort ends a stream whose answer can no longer reach the entry.
func (s *Stream) abort(err error) {
	s.in.fail(err)
	s.out.fail(err)
	s.conn.Load().server.Handler.Canceled(s, true)
}

// Send sends a part of the answer's body. It fails with ErrIdle if the entry grants no
// credit for idle.
func (s *Stream) Send(part []byte, last bool, idle time.Duration) error {
	err := sendBody(s.conn.Load().w, s.out, s.Request.ID, part, last, idle)
	if last && err == nil {
		s.conn.Load().remove(s.Request.ID)
		s.in.fail(ErrClosed)
	}
	return err
}

// Body returns the request's body. Reading returns credit to the entry, so it must not be
// read before the request is dispatched.
func (s *Stream) Body(idle time.Duration) io.Reader {
	s.in.startCredit(func(n int64) {
		_ = s.conn.Load().w.send(&wire.Credit{ID: s.Request.ID, Bytes: n})
	})
	return streamBody{in: s.in, idle: idle}
}

type streamBody struct {
	in   *pipe
	idle time.Duration
}

func (b streamBody) Read(p []byte) (int, error) { return b.in.read(p, b.idle) }

// BodyComplete reports whether the request's body was received completely.
func (s *Stream) BodyComplete() bool { return s.in.complete() }
