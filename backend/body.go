// SPDX-License-Identifier: MIT

package backend

import (
	"bufio"
	"io"
	"net/http/httputil"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/header"
)

// ErrCutOff is returned for a body that only the end of its connection ends, if the connection did
// not end in order.
var ErrCutOff = eris.New("connection ended out of order within a response without a length")

// bodyReader returns a reader of the body of the response whose head was read, or nil if it has
// none. The reader returns io.EOF only at the end of a whole body.
func (e *Exchange) bodyReader() io.Reader {
	h := &e.Response.Header
	switch status := h.StatusCode(); {
	case e.isHead, status == fasthttp.StatusNoContent, status == fasthttp.StatusNotModified:
		return nil
	}
	const chunked = -1
	switch length := h.ContentLength(); {
	case length >= 0:
		return &lengthBody{source: e.conn.reader, left: length}
	case length == chunked:
		return &chunkedBody{source: e.conn.reader, chunks: httputil.NewChunkedReader(e.conn.reader)}
	}
	return &untilCloseBody{exchange: e}
}

// lengthBody is a body of a known length.
type lengthBody struct {
	source *bufio.Reader
	left   int
}

func (b *lengthBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.source.Read(p[:min(len(p), b.left)])
	if b.left -= n; err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body in chunks. Its trailers are checked and dropped.
type chunkedBody struct {
	source *bufio.Reader
	chunks io.Reader
	ended  bool
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := header.CheckTrailers(b.source); err != nil {
		return n, err
	}
	b.ended = true
	return n, io.EOF
}

// untilCloseBody is a body that ends with its connection. If the connection was reset, either
// the reader or the writer gets the error, and the other one sees a connection that ended in
// order. The body is therefore whole only if the request was written completely.
type untilCloseBody struct {
	exchange *Exchange
}

func (b *untilCloseBody) Read(p []byte) (int, error) {
	n, err := b.exchange.conn.reader.Read(p)
	if err == io.EOF && !b.exchange.sentWithin(writeEndGrace) {
		err = ErrCutOff
	}
	return n, err
}

// writeEndGrace is how long a writer that has written everything may take to report that.
const writeEndGrace = 100 * time.Millisecond

// sentWithin reports whether all of the request was written, for which it waits up to a limit.
func (e *Exchange) sentWithin(limit time.Duration) bool {
	if !e.writeEnded() {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		select {
		case <-e.written:
		case <-timer.C:
		}
	}
	return e.Sent()
}
