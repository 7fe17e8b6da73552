// SPDX-License-Identifier: MIT

package pipeline

import (
	"bufio"
	"bytes"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxStarted bounds the requests of a connection that run ahead of their order, and
	// maxUnread the bytes that are read ahead, so that one caller takes no more of a
	// node's resources than several callers without pipelining do.
	maxStarted = 8
	maxUnread  = 64 << 10
	// readSize is the number of bytes that are read at a time.
	readSize = 4 << 10
)

// readAhead reads a connection ahead of the HTTP library.
type readAhead struct {
	conn *Conn

	mu   sync.Mutex
	cond sync.Cond
	// unread holds the bytes that were read and not passed on. The first parsed of them
	// belong to requests whose heads were parsed. Only these are passed on, so that the
	// next byte to parse is always the first byte of a request.
	unread []byte
	parsed int
	// bodyLeft is how many bytes of the current request's body are still to come.
	bodyLeft int
	// passThrough says that everything from here on is passed on without parsing.
	passThrough bool
	err         error
	queue       []*startedRequest
	// heads is the number of heads that were parsed, lastBody the number of the last one of a
	// request with a body, and answered the number of requests that have been answered.
	heads, lastBody, answered int
	// waiting holds the requests that are started once a request with a body has been answered.
	waiting []*startedRequest
	// deadline is the read deadline; zero means none.
	deadline time.Time
}

// startedRequest is a request that runs ahead of its order, or is about to.
type startedRequest struct {
	head head
	ctx  *fasthttp.RequestCtx
	// after is the number of the request that must be answered first.
	after int
	done  <-chan struct{}
}

// head is the complete head of a request, byte for byte.
type head struct{ method, uri, protocol, fields string }

func headOf(h *fasthttp.RequestHeader) head {
	return head{string(h.Method()), string(h.RequestURI()), string(h.Protocol()), string(h.RawHeaders())}
}

func newReadAhead(c *Conn) *readAhead {
	a := &readAhead{conn: c}
	a.cond.L = &a.mu
	return a
}

// run reads until the connection ends.
func (a *readAhead) run() {
	p := make([]byte, readSize)
	for {
		a.mu.Lock()
		for len(a.unread) >= maxUnread {
			a.cond.Wait()
		}
		a.mu.Unlock()
		n, err := a.conn.Conn.Read(p)
		a.mu.Lock()
		a.unread = append(a.unread, p[:n]...)
		a.err = err
		a.parse()
		a.cond.Broadcast()
		a.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// parse parses the heads of complete requests, and starts those requests that can be
// started. It is called with the lock held.
func (a *readAhead) parse() {
	for !a.passThrough {
		skip := min(a.bodyLeft, len(a.unread)-a.parsed)
		a.parsed += skip
		a.bodyLeft -= skip
		rest := a.unread[a.parsed:]
		end := bytes.Index(rest, headEnd)
		if a.bodyLeft > 0 || end < 0 {
			a.passThrough = len(rest) >= maxUnread
			return
		}
		end += len(headEnd)
		a.parseHead(rest[:end])
		a.parsed += end
	}
}

// parseHead handles the head of one request. It is called with the lock held.
func (a *readAhead) parseHead(text []byte) {
	ctx := &fasthttp.RequestCtx{}
	ctx.Init2(a.conn.outer(), nil, true)
	h := &ctx.Request.Header
	if err := h.Read(bufio.NewReaderSize(bytes.NewReader(text), len(text))); err != nil {
		a.passThrough = true // The library answers it when it gets there.
		return
	}
	a.bodyLeft = h.ContentLength()
	a.heads++
	switch {
	case h.ConnectionUpgrade(), ctx.Request.MayContinue(), len(h.Peek(fasthttp.HeaderTransferEncoding)) > 0:
		a.passThrough = true
	case a.bodyLeft > 0:
		// A request with a body is handled in order. If it is answered before its body has been
		// read, the connection closes and the requests behind it get no answer.
		a.lastBody = a.heads
	case len(a.queue)+len(a.waiting) < maxStarted:
		a.bodyLeft = 0
		a.waiting = append(a.waiting, &startedRequest{head: headOf(h), ctx: ctx, after: a.lastBody})
		a.startWaiting()
	default:
		a.bodyLeft = 0
	}
}

// startWaiting starts the requests that no longer wait for a request with a body. It is called
// with the lock held.
func (a *readAhead) startWaiting() {
	for len(a.waiting) > 0 && a.waiting[0].after <= a.answered {
		one := a.waiting[0]
		a.waiting = a.waiting[1:]
		if one.done = a.conn.start(one.ctx); one.done != nil {
			a.queue = append(a.queue, one)
		}
	}
}

func (a *readAhead) requestAnswered() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answered++
	a.startWaiting()
}

// read returns the bytes that can be passed on, and waits for them until the deadline.
func (a *readAhead) read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		ready := a.parsed
		if a.passThrough || a.err != nil {
			ready = len(a.unread)
		}
		late := !a.deadline.IsZero() && !time.Now().Before(a.deadline)
		if late && ready == 0 {
			// The library must be able to tell an incomplete request from an idle
			// connection, so it gets the part that has arrived.
			a.passThrough = true
			ready = len(a.unread)
		}
		switch {
		case ready > 0:
			n := copy(p, a.unread[:ready])
			a.unread = a.unread[n:]
			a.parsed = max(a.parsed-n, 0)
			if len(a.unread) == 0 {
				a.unread = nil
			}
			a.cond.Broadcast()
			return n, nil
		case a.err != nil:
			return 0, a.err
		case late:
			return 0, os.ErrDeadlineExceeded
		}
		a.wait()
	}
}

// wait waits until something changes or the deadline passes. It is called with the lock
// held.
func (a *readAhead) wait() {
	if !a.deadline.IsZero() {
		timer := time.AfterFunc(time.Until(a.deadline), func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.cond.Broadcast()
		})
		defer timer.Stop()
	}
	a.cond.Wait()
}

func (a *readAhead) setDeadline(t time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deadline = t
	a.cond.Broadcast()
}

// take returns the answer of the oldest started request, if its head is the same as this
// request's.
func (a *readAhead) take(request *fasthttp.Request) (*fasthttp.Response, bool) {
	a.mu.Lock()
	if len(a.queue) == 0 || a.queue[0].head != headOf(&request.Header) {
		a.mu.Unlock()
		return nil, false
	}
	first := a.queue[0]
	a.mu.Unlock()
	<-first.done
	a.mu.Lock()
	a.queue = a.queue[1:]
	a.mu.Unlock()
	return &first.ctx.Response, true
}

func (a *readAhead) hasStarted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.queue) > 0
}
