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
	// mostBegun bounds the requests of a connection that run before their turn, and
	// mostUnread the bytes that are read ahead: one caller takes no more of a node than
	// some callers.
	mostBegun  = 8
	mostUnread = 64 << 10
	// readSize is how much is read at a time.
	readSize = 4 << 10
)

// ahead reads a connection ahead.
type ahead struct {
	conn *Conn

	mu   sync.Mutex
	cond sync.Cond
	// unread is what was read and not handed out, and parsed how much of that belongs to
	// requests whose heads were read: no more is handed out, so that the next byte to
	// parse always begins a request.
	unread []byte
	parsed int
	// body is how much of a request's body is still to come.
	body int
	// plain says that what follows is handed out as it comes.
	plain bool
	err   error
	queue []*begun
	// deadline is until when a read waits; zero means for ever.
	deadline time.Time
}

// begun is a request that runs before its turn.
type begun struct {
	head head
	ctx  *fasthttp.RequestCtx
	done <-chan struct{}
}

// head is all that a request's head says, byte for byte.
type head struct{ method, uri, protocol, fields string }

func headOf(h *fasthttp.RequestHeader) head {
	return head{string(h.Method()), string(h.RequestURI()), string(h.Protocol()), string(h.RawHeaders())}
}

func newAhead(c *Conn) *ahead {
	a := &ahead{conn: c}
	a.cond.L = &a.mu
	return a
}

// run reads until the connection ends.
func (a *ahead) run() {
	p := make([]byte, readSize)
	for {
		a.mu.Lock()
		for len(a.unread) >= mostUnread {
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

// parse reads the heads of whole requests, and begins those that can be. It is called with
// the lock held.
func (a *ahead) parse() {
	for !a.plain {
		skip := min(a.body, len(a.unread)-a.parsed)
		a.parsed += skip
		a.body -= skip
		rest := a.unread[a.parsed:]
		end := bytes.Index(rest, headEnd)
		if a.body > 0 || end < 0 {
			a.plain = len(rest) >= mostUnread
			return
		}
		end += len(headEnd)
		a.parseHead(rest[:end])
		a.parsed += end
	}
}

// parseHead takes the head of one request. It is called with the lock held.
func (a *ahead) parseHead(text []byte) {
	ctx := &fasthttp.RequestCtx{}
	ctx.Init2(a.conn.served(), nil, true)
	h := &ctx.Request.Header
	if err := h.Read(bufio.NewReaderSize(bytes.NewReader(text), len(text))); err != nil {
		a.plain = true // The library answers it in its turn.
		return
	}
	a.body = h.ContentLength()
	switch {
	case h.ConnectionUpgrade(), ctx.Request.MayContinue(), len(h.Peek(fasthttp.HeaderTransferEncoding)) > 0:
		a.plain = true
	case a.body > 0:
		// It waits for its turn, and for its body.
	case len(a.queue) < mostBegun:
		a.body = 0
		one := &begun{head: headOf(h), ctx: ctx}
		if one.done = a.conn.begin(ctx); one.done != nil {
			a.queue = append(a.queue, one)
		}
	default:
		a.body = 0
	}
}

// read hands out what may be handed out, and waits for it until the deadline.
func (a *ahead) read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		ready := a.parsed
		if a.plain || a.err != nil {
			ready = len(a.unread)
		}
		late := !a.deadline.IsZero() && !time.Now().Before(a.deadline)
		if late && ready == 0 {
			// The library tells a request that has begun from an idle connection.
			a.plain = true
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

// wait waits for news or the deadline. It is called with the lock held.
func (a *ahead) wait() {
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

func (a *ahead) setDeadline(t time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deadline = t
	a.cond.Broadcast()
}

// take returns the answer of the first of those that were begun, if it is of this request.
func (a *ahead) take(request *fasthttp.Request) (*fasthttp.Response, bool) {
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

func (a *ahead) begun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.queue) > 0
}
