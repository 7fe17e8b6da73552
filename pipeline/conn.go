// SPDX-License-Identifier: MIT

package pipeline

import (
	"bytes"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/internal/sock"
)

// StartFunc starts a request that was read ahead and returns a channel that is closed once
// ctx has its answer. It returns nil if the request has to be handled in order.
type StartFunc func(ctx *fasthttp.RequestCtx) (done <-chan struct{})

// Conn is a caller's connection. Its methods, except Close, must be called by the
// goroutine that serves the connection. Only that goroutine reads from the connection, but
// it may hand reading over to another one while it handles a request.
type Conn struct {
	net.Conn
	// Outer is the connection that request contexts of started requests refer to, a
	// wrapper around the Conn; nil means the Conn itself.
	Outer net.Conn

	start StartFunc
	// endsHead says that the last read ended exactly at the end of a request's head.
	endsHead bool
	// readAhead is nil until the connection is read ahead.
	readAhead atomic.Pointer[readAhead]
}

// New wraps a connection. Requests that are read ahead are offered to start.
func New(c net.Conn, start StartFunc) *Conn { return &Conn{Conn: c, start: start} }

func (c *Conn) outer() net.Conn {
	if c.Outer != nil {
		return c.Outer
	}
	return c
}

// headEnd terminates the head of a request.
var headEnd = []byte("\r\n\r\n")

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if a := c.readAhead.Load(); a != nil {
		return a.read(p)
	}
	n, err := c.Conn.Read(p)
	c.endsHead = bytes.HasSuffix(p[:n], headEnd)
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if a := c.readAhead.Load(); a != nil {
		a.setDeadline(t)
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// ReadAheadIfPipelined must be called when a request without a body has been handled,
// before its answer is sent. If more bytes have arrived by then, the connection is read
// ahead from now on.
func (c *Conn) ReadAheadIfPipelined() {
	if c.readAhead.Load() != nil || !c.endsHead || !sock.HasUnread(c.Conn) {
		return
	}
	if c.Conn.SetReadDeadline(time.Time{}) != nil {
		return // The connection is closed.
	}
	a := newReadAhead(c)
	c.readAhead.Store(a)
	go a.run()
}

// RequestAnswered must be called when a request has been handled and its answer does not close
// the connection.
func (c *Conn) RequestAnswered() {
	if a := c.readAhead.Load(); a != nil {
		a.requestAnswered()
	}
}

// Take returns the answer of a request that was started ahead, once there is one. ok is
// false if the request was not started.
func (c *Conn) Take(request *fasthttp.Request) (answer *fasthttp.Response, ok bool) {
	if a := c.readAhead.Load(); a != nil {
		return a.take(request)
	}
	return nil, false
}

// HasStarted reports whether any started request was not taken yet: if the connection is
// closed now, these requests get no answer.
func (c *Conn) HasStarted() bool {
	a := c.readAhead.Load()
	return a != nil && a.hasStarted()
}

// errNoSocket is returned if the wrapped connection does not provide a socket's operation.
var errNoSocket = eris.New("the connection has no socket")

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errNoSocket
}

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errNoSocket
}
