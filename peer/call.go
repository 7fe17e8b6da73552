// SPDX-License-Identifier: MIT

package peer

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/wire"
)

// ErrReset is wrapped by the errors of a request that was handed to the backend server and
// got no complete answer.
var ErrReset = eris.New("gate ended the request without a whole answer")

// Head is the outcome of a request: exactly one of Response, Refusal, Reset and Err is
// set.
type Head struct {
	Response *wire.Response
	// Refusal means that the request was not run.
	Refusal *wire.Refusal
	// Reset means that the request was handed to the backend server.
	Reset *wire.Reset
	// Err means that the connection was lost. With ErrNotArrived the request was not run
	// and never will be; otherwise that is not known.
	Err error
	// Moved says that the answer was delayed by a connection that stalled.
	Moved bool
}

// Call is a request in flight, as seen by the entry.
type Call struct {
	// conn is the connection that the call is on. It is changed under that connection's
	// lock.
	conn atomic.Pointer[Conn]
	id   uint64
	head chan Head
	in   *pipe
	out  *sendCredit
	// whole says that the request was sent in one frame.
	whole bool
	// answered says that the answer has begun, and moved that the call was moved to
	// another connection. Both are guarded by the connection's lock.
	answered, moved bool
	// canceled and withdrawn say that the gate was sent a cancellation or withdrawal.
	canceled, withdrawn atomic.Bool
}

// Head returns the channel on which the Head arrives once.
func (c *Call) Head() <-chan Head { return c.head }

// Conn returns the connection that the call is on now.
func (c *Call) Conn() *Conn { return c.conn.Load() }

// Cancel notifies the gate that the answer is no longer needed. The gate's report on whether
// the request ran still arrives on Head.
func (c *Call) Cancel() {
	c.canceled.Store(true)                           // Set before conn is loaded: moveCall checks it after storing conn.
	_ = c.conn.Load().w.send(&wire.Cancel{ID: c.id}) // A lost connection reports on Head.
}

// Withdraw notifies the gate not to begin the request if it has not begun yet. It returns
// false if the gate was not notified, as with a gate of an older build. The gate's report
// arrives on Head in any case.
func (c *Call) Withdraw() bool {
	c.withdrawn.Store(true) // Set before conn is loaded, as in Cancel.
	conn := c.conn.Load()
	return conn.knowsWithdraw && conn.w.send(&wire.Withdraw{ID: c.id}) == nil
}

// Abandon ends the call: frames that still arrive for it are dropped.
func (c *Call) Abandon() {
	if c.detach() {
		c.Cancel()
	}
	c.fail(ErrClosed)
}

// detach removes the call from its connection and reports whether it was still there.
func (c *Call) detach() bool {
	for {
		conn := c.conn.Load()
		if conn.remove(c.id) {
			return true
		}
		if c.conn.Load() == conn {
			return false
		}
	}
}

// Send sends a part of the body. It fails with ErrIdle if the gate grants no credit for
// idle.
func (c *Call) Send(part []byte, last bool, idle time.Duration) error {
	return sendBody(c.conn.Load().w, c.out, c.id, part, last, idle)
}

// StopSending makes a blocked Send return; the call itself continues.
func (c *Call) StopSending() { c.out.fail(ErrClosed) }

// Body returns the answer's body. Closing it before its end abandons the call. Reading a
// truncated body ends with an error other than io.EOF.
func (c *Call) Body(idle time.Duration) io.ReadCloser {
	c.in.startCredit(func(n int64) {
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

func sendBody(w *writer, out *sendCredit, id uint64, part []byte, last bool, idle time.Duration) error {
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
