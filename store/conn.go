// SPDX-License-Identifier: MIT

package store

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/internal/sock"
)

// errNotSent is joined to the cause of a failure if the request was not sent.
var errNotSent = errors.New("not sent")

// Conn is a connection to the platform. It is used for one call at a time.
type Conn struct {
	conn    net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	maxBody int
}

// Connect opens a connection to the platform. maxBody is the maximum size of the body of a
// response in bytes.
func Connect(ctx context.Context, address string, maxBody int) (*Conn, error) {
	conn, err := sock.DialContext(ctx, address)
	if err != nil {
		return nil, errors.Join(errNotSent, cause(ctx, err))
	}
	return &Conn{conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn), maxBody: maxBody}, nil
}

// Close closes the connection.
func (c *Conn) Close() { c.conn.Close() }

// Call sends a request and reads the response. It closes the connection if it fails or if ctx
// is done.
func (c *Conn) Call(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) error {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	err := c.exchange(request, response)
	if err != nil {
		c.Close()
		return cause(ctx, err)
	}
	return nil
}

func (c *Conn) exchange(request *fasthttp.Request, response *fasthttp.Response) error {
	if err := request.Write(c.writer); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	if err := header.CheckResponse(c.reader); err != nil {
		return err
	}
	return response.ReadLimitBody(c.reader, c.maxBody)
}

// cause returns the cause of ctx if ctx is done, and err otherwise.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// CallOnce makes a call on a new connection and closes the connection. A kept-alive connection
// may have stalled, and the call would then fail only at the end of its time limit.
func CallOnce(ctx context.Context, address string, limit time.Duration, maxBody int, request *fasthttp.Request, response *fasthttp.Response) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := Connect(ctx, address, maxBody)
	if err != nil {
		return err
	}
	defer conn.Close()
	request.SetConnectionClose()
	return conn.Call(ctx, request, response)
}
