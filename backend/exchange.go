// SPDX-License-Identifier: MIT

package backend

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// ErrStale is returned by Send when a kept connection turned out to be closed
// before the first byte of an answer. Whether the request ran is not known.
var ErrStale = eris.New("backend server closed a kept connection")

// Exchange is one request and its answer on a connection of its own.
type Exchange struct {
	// Response holds the answer's head after Send; its body is a stream.
	Response fasthttp.Response

	pool    *Pool
	conn    *conn
	aborted atomic.Bool
	ended   bool
}

// Open takes a connection. After an error nothing was sent. With fresh the
// connection has never carried a request.
func (p *Pool) Open(fresh bool) (*Exchange, error) {
	c, err := p.get(fresh)
	if err != nil {
		return nil, err
	}
	return &Exchange{pool: p, conn: c}, nil
}

// Send writes the request and reads the answer's head until the deadline.
// After an error it is not known whether the request ran.
func (e *Exchange) Send(r *fasthttp.Request, deadline time.Time) error {
	if err := e.conn.SetDeadline(deadline); err != nil {
		return err
	}
	if e.aborted.Load() {
		return net.ErrClosed
	}
	e.Response.StreamBody = true
	e.Response.SkipBody = r.Header.IsHead()
	writeErr := e.write(r)
	readErr := e.Response.Read(e.conn.reader)
	if readErr == nil {
		return nil
	}
	if e.conn.used && (readErr == io.EOF || writeErr != nil) {
		return eris.Wrap(ErrStale, readErr.Error())
	}
	if writeErr != nil {
		return eris.Wrap(writeErr, "write request")
	}
	return eris.Wrap(readErr, "read answer")
}

// write sends the request. A server may answer before it has read the whole
// body, so the answer is read after an error too.
func (e *Exchange) write(r *fasthttp.Request) error {
	if err := r.Write(e.conn.writer); err != nil {
		return err
	}
	return e.conn.writer.Flush()
}

// Body returns the answer's body, or nil when it has none.
func (e *Exchange) Body() io.Reader {
	return e.Response.BodyStream()
}

// Extend moves the deadline, for a body that makes progress.
func (e *Exchange) Extend(deadline time.Time) { _ = e.conn.SetDeadline(deadline) }

// Abort closes the connection from any goroutine, which cancels the request
// at the server.
func (e *Exchange) Abort() {
	if e.aborted.CompareAndSwap(false, true) {
		e.conn.Close()
	}
}

// Finish ends the exchange. whole says that the answer was read to its end,
// so that the connection can carry another request.
func (e *Exchange) Finish(whole bool) {
	if e.ended {
		return
	}
	e.ended = true
	reusable := whole && !e.aborted.Load() && !e.Response.ConnectionClose()
	if whole {
		_ = e.Response.CloseBodyStream() // It was read to its end.
	}
	if reusable && e.conn.SetDeadline(time.Time{}) == nil {
		e.pool.put(e.conn)
		return
	}
	e.pool.drop(e.conn)
}
