// SPDX-License-Identifier: MIT

package peer

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/wire"
)

// ErrReset is wrapped by the errors of a request that was handed to the
// backend server and got no whole answer.
var ErrReset = eris.New("gate ended the request without a whole answer")

// Head is how a request is answered: exactly one field is set.
type Head struct {
	Response *wire.Response
	// Refusal says that the request was not run.
	Refusal *wire.Refusal
	// Reset says that the request was handed to the backend server.
	Reset *wire.Reset
	// Err says that the connection was lost. With ErrNotArrived the request was not
	// run and never will be; else that is not known.
	Err error
	// Moved says that the answer was held up by a connection that went silent.
	Moved bool
}

// Call is a request under way, seen from the entry.
type Call struct {
	// conn is the connection that the call is on, changed under its lock.
	conn atomic.Pointer[Conn]
	id   uint64
	head chan Head
	in   *pipe
	out  *allowance
	// whole says that the request went in one frame.
	whole bool
	// answered is set with the answer's start and moved with another connection, both
	// under the connection's lock.
	answered, moved bool
	// canceled and withdrawn say that the gate was told so.
	canceled, withdrawn atomic.Bool
}

// Head returns the channel on which the answer's Head arrives once.
func (c *Call) Head() <-chan Head { return c.head }

// Conn returns the connection that the call is on now.
func (c *Call) Conn() *Conn { return c.conn.Load() }

// Cancel tells the gate that the answer is no longer wanted. The gate's word
// on whether the request ran still arrives on Head.
func (c *Call) Cancel() {
	c.canceled.Store(true)                           // Before the connection is read: whoever moves the call looks after.
	_ = c.conn.Load().w.send(&wire.Cancel{ID: c.id}) // A lost connection reports on Head.
}

// Withdraw asks the gate not to begin the request if it has not, and reports whether it was
// asked: one of an older build can't be. The gate's word arrives on Head in any case.
func (c *Call) Withdraw() bool {
	c.withdrawn.Store(true) // Before the connection is read, as for Cancel.
	conn := c.conn.Load()
	return conn.withdraws && conn.w.send(&wire.Withdraw{ID: c.id}) == nil
}

// Abandon ends the call: frames that still arrive for it are dropped.
func (c *Call) Abandon() {
	if c.forget() {
		c.Cancel()
	}
	c.fail(ErrClosed)
}

// forget takes the call off its connection and reports whether it was still there.
func (c *Call) forget() bool {
	for {
		conn := c.conn.Load()
		if conn.forget(c.id) {
			return true
		}
		if c.conn.Load() == conn {
			return false
		}
	}
}

// Send sends a part of the body and waits up to idle for the gate to take it.
func (c *Call) Send(part []byte, last bool, idle time.Duration) error {
	return sendBody(c.conn.Load().w, c.out, c.id, part, last, idle)
}

// StopSending makes a waiting Send return; the call itself goes on.
func (c *Call) StopSending() { c.out.fail(ErrClosed) }

// Body returns the answer's body. Closing it before its end abandons the
// call. A body that was cut short ends with an error other than io.EOF.
func (c *Call) Body(idle time.Duration) io.ReadCloser {
	c.in.openCredit(func(n int64) {
		_ = c.conn.Load().w.send(&wire.Credit{ID: c.id, Bytes: n})
	})
	return &callBody{call: c, idle: idle}
}

type callBody struct {
	call *Call
	idle time.Duration
}

func (b *callBody) Read(p []byte) (int, error) { return b.call.in.read(p, b.idle) }

func (b *callBody) Close() error {
	if !b.call.in.complete() {
		b.call.Abandon()
	}
	return nil
}

// answer delivers the head; a second one is dropped.
func (c *Call) answer(h Head) {
	select {
	case c.head <- h:
	default:
	}
}

// fail ends every part of the call with err.
func (c *Call) fail(err error) {
	c.answer(Head{Err: err})
	c.in.fail(err)
	c.out.fail(err)
}

func sendBody(w *writer, out *allowance, id uint64, part []byte, last bool, idle time.Duration) error {
	for len(part) > 0 {
		n, err := out.take(min(len(part), MaxChunk), idle)
		if err != nil {
			return err
		}
		chunk := part[:n]
		part = part[n:]
		if err := w.send(&wire.Data{ID: id, Bytes: chunk, Last: last && len(part) == 0}); err != nil {
			return err
		}
		if last && len(part) == 0 {
			return nil
		}
	}
	if !last {
		return nil
	}
	return w.send(&wire.Data{ID: id, Last: true})
}
