// SPDX-License-Identifier: MIT

package pipeline

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// pieces are what a caller may send, in any order and split at any point.
var pieces = []string{
	"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
	"HEAD /b HTTP/1.1\r\nHost: h\r\nX: y\r\n\r\n",
	"POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nGET /",
	"POST /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	"GET /e HTTP/1.1\nHost: h\n\n",
	"GET /f HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxy",
	"\r\n", "NONSENSE\r\n\r\n", "GET / HTTP/1.1\r\nConnection: upgrade\r\nHost: h\r\n\r\n",
	"GET /g HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n", "\x00\xff",
}

// Whatever is sent, and however it is split, the library reads the same bytes.
func TestReadingAheadChangesNoByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 40).Draw(t, "pieces"), "")
		near, far := net.Pipe()
		defer far.Close()
		var started int
		c := New(near, func(*fasthttp.RequestCtx) <-chan struct{} {
			started++
			done := make(chan struct{})
			close(done)
			return done
		})
		a := newReadAhead(c)
		c.readAhead.Store(a)
		go a.run()
		go func() {
			for rest := text; rest != ""; {
				n := min(1+len(text)%97, len(rest))
				if _, err := io.WriteString(far, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
			far.Close()
		}()
		got, err := io.ReadAll(c)
		if err != nil || string(got) != text {
			t.Fatalf("read %q, %v, want %q", got, err, text)
		}
		if started > maxStarted {
			t.Fatalf("%d requests were started, at most %d may be", started, maxStarted)
		}
	})
}

// A request whose head differs from that of the started request does not get its answer.
func TestAnswerGoesToItsOwnRequestOnly(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	done := make(chan struct{})
	close(done)
	c := New(near, func(ctx *fasthttp.RequestCtx) <-chan struct{} {
		ctx.SetBodyString("answer")
		return done
	})
	a := newReadAhead(c)
	c.readAhead.Store(a)
	a.mu.Lock()
	a.unread = []byte(pieces[0])
	a.parse()
	a.mu.Unlock()
	read := func(text string) *fasthttp.Request {
		r := &fasthttp.Request{}
		if err := r.Header.Read(bufio.NewReader(strings.NewReader(text))); err != nil {
			t.Fatal(err)
		}
		return r
	}
	for _, other := range []string{
		"GET /a HTTP/1.1\r\nHost: other\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nX: y\r\n\r\n", "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		if _, ok := c.Take(read(other)); ok {
			t.Errorf("%q got the answer", other)
		}
	}
	if !c.HasStarted() {
		t.Fatal("the request was not started")
	}
	if answer, ok := c.Take(read(pieces[0])); !ok || string(answer.Body()) != "answer" || c.HasStarted() {
		t.Error("the request did not get its answer exactly once")
	}
}

// A read returns at its deadline, first with the part of a request that has arrived, and
// then with os.ErrDeadlineExceeded.
func TestReadEndsAtItsDeadline(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := New(near, func(*fasthttp.RequestCtx) <-chan struct{} { return nil })
	a := newReadAhead(c)
	c.readAhead.Store(a)
	go a.run()
	if _, err := io.WriteString(far, "GET /half"); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	p := make([]byte, 100)
	got := ""
	for until := time.Now().Add(20 * time.Second); got == "" && time.Now().Before(until); {
		n, err := c.Read(p) // Fails at the deadline until the goroutine has read the part.
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("read fails with %v, want os.ErrDeadlineExceeded", err)
		}
		got = string(p[:n])
	}
	if got != "GET /half" {
		t.Errorf("read %q", got)
	}
	if _, err := c.Read(p); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read fails with %v, want os.ErrDeadlineExceeded", err)
	}
}
