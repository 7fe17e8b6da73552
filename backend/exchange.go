// SPDX-License-Identifier: MIT

package backend

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/header"
)

// ErrStale is returned by Send when a kept connection was closed by the server before the
// first byte of the response. It is unknown whether the request ran.
var ErrStale = eris.New("backend server closed a kept connection")

// ErrClosedLocally is returned by Send when this node closed the connection during the
// request, which may have run.
var ErrClosedLocally = eris.New("this node closed the connection to the backend server")

// ErrMismatchedResponse is returned by Send when a response does not carry the request's tag.
// It is unknown whether the request ran.
var ErrMismatchedResponse = eris.New("response of backend server does not carry the tag of the request")

// maxStaleResponses is how many late responses to earlier requests are skipped on a kept
// connection.
const maxStaleResponses = 2

// Exchange is one request and its response, on a connection that it owns.
type Exchange struct {
	// Response holds the head of the response after Send. Body returns its body.
	Response fasthttp.Response

	// TagField names the header field in which the server returns the request's tag; blank if
	// none does. Tag is the value that the field must have.
	TagField string
	Tag      string

	pool         *Pool
	conn         *conn
	origin       Origin
	lastReceived time.Time
	// ownership keeps a late Abort, after the exchange has ended, from closing the connection
	// under the next request, which would then get no response.
	ownership atomic.Int32
	ended     bool
	isHead    bool
	body      io.Reader
	// written is closed when writing the request has ended, with or without an error.
	written  chan struct{}
	sent     atomic.Bool
	writeErr error
}

// Values of Exchange.ownership.
const (
	// owned: the exchange owns the connection.
	owned int32 = iota
	// aborted: the exchange owns the connection and has closed it.
	aborted
	// released: the exchange no longer owns the connection.
	released
)

// Open starts an exchange, on a new connection if fresh is set. If it returns an error,
// nothing was sent.
func (p *Pool) Open(fresh bool) (*Exchange, error) {
	if fresh {
		return p.exchange(p.dial())
	}
	return p.exchange(p.getConn(p.takeNewest))
}

func (p *Pool) exchange(c *conn, err error) (*Exchange, error) {
	if err != nil {
		return nil, err
	}
	return newExchange(p, c), nil
}

// OpenLongestIdle is Open without fresh, but it takes the kept connection on which nothing has
// been received for the longest time.
func (p *Pool) OpenLongestIdle() (*Exchange, error) { return p.exchange(p.getConn(p.takeOldest)) }

// LastReceived returns when data was last received on the exchange's connection before the
// exchange, or when the connection was opened.
func (e *Exchange) LastReceived() time.Time { return e.lastReceived }

// Opened returns when the exchange's connection was opened.
func (e *Exchange) Opened() time.Time { return e.conn.opened }

// Origin returns where the exchange's connection comes from.
func (e *Exchange) Origin() Origin { return e.origin }

func newExchange(p *Pool, c *conn) *Exchange {
	origin := Fresh
	if c.used {
		origin = Kept
	}
	return &Exchange{pool: p, conn: c, origin: origin, lastReceived: c.lastReceived}
}

// Origin is where the connection of an exchange comes from.
type Origin string

// The origins of connections.
const (
	// Kept: the connection has carried requests before.
	Kept Origin = "kept"
	// Fresh: the connection was opened for the exchange.
	Fresh Origin = "fresh"
)

// Send writes the request and reads the head of the response, until the deadline. If it
// returns an error, it is unknown whether the request ran.
func (e *Exchange) Send(r *fasthttp.Request, deadline time.Time) error {
	if err := e.conn.SetDeadline(deadline); err != nil {
		return eris.Wrap(ErrClosedLocally, err.Error())
	}
	if e.Aborted() {
		return net.ErrClosed
	}
	e.Response.SkipBody = true
	e.isHead = r.Header.IsHead()
	e.Response.Header.SetNoDefaultContentType(true)
	e.startWrite(r)
	readErr := e.readResponse()
	if readErr == nil {
		e.pool.responseReceived(e.conn, e.origin)
		e.pool.observeKeepAlive(&e.Response.Header)
	}
	if readErr == nil || eris.Is(readErr, ErrMismatchedResponse) {
		return readErr
	}
	if e.conn.closedLocally.Load() {
		return eris.Wrap(ErrClosedLocally, readErr.Error())
	}
	failedWrite := e.writeEnded() && e.writeErr != nil
	if e.conn.used && (closedBeforeResponse(readErr) || failedWrite) {
		return eris.Wrap(ErrStale, readErr.Error())
	}
	if failedWrite {
		return eris.Wrap(e.writeErr, "write request")
	}
	return eris.Wrap(readErr, "read response")
}

// closedBeforeResponse reports whether an error means that the connection was closed before
// the first byte of the response.
func closedBeforeResponse(err error) bool {
	return err == io.EOF || errors.Is(err, syscall.ECONNRESET)
}

// readResponse reads the head of the response. On a kept connection, late responses to earlier
// requests may come first; they are skipped.
func (e *Exchange) readResponse() error {
	for skipped := 0; ; skipped++ {
		if err := header.CheckResponse(e.conn.reader); err != nil {
			return err
		}
		if err := e.Response.Read(e.conn.reader); err != nil {
			return err
		}
		e.body = e.bodyReader()
		if e.TagField == "" || string(e.Response.Header.Peek(e.TagField)) == e.Tag {
			return nil
		}
		if !e.conn.used || skipped == maxStaleResponses || e.Response.ConnectionClose() {
			return ErrMismatchedResponse
		}
		if e.body != nil {
			if _, err := io.Copy(io.Discard, e.body); err != nil {
				return ErrMismatchedResponse
			}
		}
	}
}

// startWrite sends the request. A server may respond before it has read all of a long body, so
// a body that is still arriving is written concurrently with reading the response.
func (e *Exchange) startWrite(r *fasthttp.Request) {
	e.written = make(chan struct{})
	if !r.IsBodyStream() {
		e.write(r)
		return
	}
	go e.write(r)
}

func (e *Exchange) write(r *fasthttp.Request) {
	defer close(e.written)
	e.writeErr = r.Write(e.conn.writer)
	if e.writeErr == nil {
		e.writeErr = e.conn.writer.Flush()
	}
	e.sent.Store(e.writeErr == nil)
}

// Sent reports whether all of the request was written.
func (e *Exchange) Sent() bool { return e.sent.Load() }

// writeEnded reports whether writing the request has ended, with or without an error.
func (e *Exchange) writeEnded() bool {
	select {
	case <-e.written:
		return true
	default:
		return false
	}
}

// AfterWrite calls f once the request is no longer being written.
func (e *Exchange) AfterWrite(f func()) {
	if e.written == nil || e.writeEnded() {
		f()
		return
	}
	go func() {
		<-e.written
		f()
	}()
}

// Body returns the body of the response, or nil if it has none. Reading a body that was cut off
// ends with an error other than io.EOF.
func (e *Exchange) Body() io.Reader { return e.body }

// Extend moves the deadline, for a response body that makes progress.
func (e *Exchange) Extend(deadline time.Time) { _ = e.conn.SetDeadline(deadline) }

// Abort closes the connection, which cancels the request at the server. It may be called from
// any goroutine. Once the exchange has ended it does nothing.
func (e *Exchange) Abort() {
	if e.ownership.CompareAndSwap(owned, aborted) {
		e.conn.Close()
	}
}

// Aborted reports whether Abort has closed the connection.
func (e *Exchange) Aborted() bool { return e.ownership.Load() == aborted }

// Finish ends the exchange. whole means that the response was read to its end, so that the
// connection can carry another request.
func (e *Exchange) Finish(whole bool) {
	if e.ended {
		return
	}
	e.ended = true
	reusable := whole && !e.Response.ConnectionClose() &&
		e.written != nil && e.writeEnded() && e.writeErr == nil
	if e.ownership.CompareAndSwap(owned, released) && reusable && e.conn.SetDeadline(time.Time{}) == nil {
		e.pool.put(e.conn)
		return
	}
	e.pool.discard(e.conn)
}
