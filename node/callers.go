// SPDX-License-Identifier: MIT

package node

import (
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/pipeline"
)

const (
	// headerTimeout limits the time in which a caller must send a request's head.
	headerTimeout = 10 * time.Second
	// idleMargin is how much longer an idle connection is kept than its Keep-Alive field
	// says, so that a request of a caller that honors the field never meets a closed
	// connection.
	idleMargin = time.Second
	// maxTableIdleTimeout limits the idle time of connections where tables define it.
	maxTableIdleTimeout = 5 * time.Minute
)

// callerServer returns the HTTP server for callers.
func (n *Node) callerServer() *fasthttp.Server {
	limits := n.settings.Limits
	return &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			ctx.Conn().(*callerConn).keepAnswerDefaults(ctx)
			n.requestArrived()
			n.handleInOrder(ctx)
			ctx.Response.Header.Set("Keep-Alive", "timeout="+strconv.Itoa(int(n.idleLimit().Seconds())))
			c := ctx.Conn().(*callerConn)
			if n.stopping.Load() && !c.pipeline.HasStarted() {
				ctx.SetConnectionClose()
			}
			if !ctx.Response.ConnectionClose() {
				c.pipeline.RequestAnswered()
			}
			if ctx.IsGet() || ctx.IsHead() {
				c.pipeline.ReadAheadIfPipelined()
			}
		},
		HeaderReceived: func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
			return fasthttp.RequestConfig{ReadTimeout: limits.MaxDeadline}
		},
		ErrorHandler:      handleCallerError,
		StreamRequestBody: true,
		// Forms are forwarded like any other body.
		DisablePreParseMultipartForm: true,
		MaxRequestBodySize:           limits.BodyBytes,
		ReadBufferSize:               limits.HeaderBytes,
		ReadTimeout:                  headerTimeout,
		IdleTimeout:                  n.longestIdle() + idleMargin,
		Concurrency:                  limits.Connections,
		// What a server's answer lacks is not added to it, and its Date is not replaced.
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		NoDefaultDate:         true,
		Logger:                discardLogger{},
	}
}

// idleLimit returns how long a caller's connection may wait for its next request, from the
// table in force or else from the settings.
func (n *Node) idleLimit() time.Duration {
	if current := n.holder.Current(); current != nil {
		if idle := current.Table.Bounds().Idle; idle > 0 {
			return idle
		}
	}
	return n.settings.Limits.IdleTimeout
}

// longestIdle returns an upper limit for idleLimit. The idle timeout of the HTTP server is
// set once, whereas later tables may change idleLimit.
func (n *Node) longestIdle() time.Duration {
	if n.settings.Sidecar.Control != "" {
		return maxTableIdleTimeout
	}
	return n.settings.Limits.IdleTimeout
}

// discardLogger discards the HTTP library's log lines about single connections. Metrics
// count what they report.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// handleCallerError answers a request that could not be parsed.
func handleCallerError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	detail := "the request could not be read"
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.As(err, &small):
		status, detail = fasthttp.StatusRequestHeaderFieldsTooLarge, "the request's head is larger than limits.header_bytes"
	case errors.As(err, &network) && network.Timeout():
		status, detail = fasthttp.StatusRequestTimeout, "the request's head did not arrive in time"
	}
	ctx.Error(detail+"\n", status)
	ctx.Response.Header.Set(header.Outcome, header.NotRun)
	ctx.Response.Header.SetServer(header.ServerSoftware)
	ctx.SetConnectionClose()
	if c, ok := ctx.Conn().(*callerConn); ok {
		c.Linger()
	}
}

// callerListener returns the listener for callers, which counts connections.
func (n *Node) callerListener() net.Listener {
	return &countingListener{Listener: n.callers, node: n}
}

type countingListener struct {
	net.Listener
	node *Node
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.node.openConns.Add(1)
	pipelined := pipeline.New(c, l.node.startPipelined)
	served := &callerConn{Conn: pipelined, pipeline: pipelined, node: l.node}
	pipelined.Outer = served
	return served, nil
}

// callerConn is a caller's connection. It limits the duration of each write, so that a
// caller that does not read can't hold its connection open forever, and decrements the
// number of open connections when it is closed.
type callerConn struct {
	net.Conn
	pipeline *pipeline.Conn
	node     *Node
	close    sync.Once
	// answerDefaults is the head of an answer before anything is set in it.
	answerDefaults     fasthttp.ResponseHeader
	keptAnswerDefaults bool
	// lingers is set if the caller may still be sending when the node closes the
	// connection.
	lingers atomic.Bool
}

// keepAnswerDefaults keeps the defaults of the connection's first answer for the requests that
// are started ahead of their order, whose answers the HTTP library has not prepared.
func (c *callerConn) keepAnswerDefaults(ctx *fasthttp.RequestCtx) {
	if !c.keptAnswerDefaults {
		ctx.Response.Header.CopyTo(&c.answerDefaults)
		c.keptAnswerDefaults = true
	}
}

// Limits for draining a connection whose caller is still sending.
const (
	// lingerTimeout is several round trips to a distant caller, so that the caller can
	// read the answer and stop sending.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerBytes is what may be in flight on a fast link within lingerTimeout.
	maxLingerBytes = 4 << 20
)

// Linger lets Close wait, in the background, until the caller has stopped sending. Closing
// a connection with unread bytes resets it, and a reset may discard the answer before the
// caller has read it.
func (c *callerConn) Linger() { c.lingers.Store(true) }

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(c.node.settings.Limits.BodyIdleTimeout))
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.lingers.Swap(false) {
		go c.drainAndClose()
		return nil
	}
	c.close.Do(func() { c.node.openConns.Add(-1) })
	return c.Conn.Close()
}

// drainAndClose closes the connection for writing, discards what the caller still sends, and
// then closes the connection.
func (c *callerConn) drainAndClose() {
	defer c.Close()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes) // The answer was sent, so errors don't matter.
	}
}

// SyscallConn implements syscall.Conn, so that the state of the socket can be inspected.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}
