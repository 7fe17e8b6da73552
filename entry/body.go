// SPDX-License-Identifier: MIT

package entry

import (
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/peer"
)

// errNotKept is returned when a body can no longer be sent from its start.
var errNotKept = eris.New("start of the request's body is no longer kept")

// errTooLarge ends a body of unknown length that passes the bound.
var errTooLarge = eris.New("request's body is larger than allowed")

// boundedReader fails once more than left bytes were read.
type boundedReader struct {
	source io.Reader
	left   int64
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.left -= int64(n)
	if r.left < 0 {
		return 0, errTooLarge
	}
	return n, err
}

// body is a caller's request body on its way to a gate. It keeps the start of
// the body until a gate takes more than peer.Window bytes, so that it can be
// sent again.
type body struct {
	source io.Reader

	mu   sync.Mutex
	cond sync.Cond
	// kept are the bytes from offset start on that were read.
	kept  []byte
	start int
	err   error // io.EOF after the last byte was read.
	stop  bool
	done  chan struct{}
}

// newBody reads the first part of a body of at most most bytes. It returns once the body ended or
// peer.MaxChunk bytes were read; the rest is read in the background.
func newBody(source io.Reader, most int64) *body {
	b := &body{done: make(chan struct{})}
	b.cond.L = &b.mu
	if source == nil {
		b.err = io.EOF
		close(b.done)
		return b
	}
	b.source = &boundedReader{source: source, left: most}
	first := make([]byte, peer.MaxChunk)
	n := 0
	for n < len(first) && b.err == nil {
		read, err := b.source.Read(first[n:])
		n += read
		b.err = err
	}
	b.kept = first[:n]
	if b.err != nil {
		close(b.done)
		return b
	}
	go b.readRest()
	return b
}

// whole returns the first part of the body, and whether it is all of it. More than one
// chunk may have been read by now; a gate ends the connection, with all requests of this
// node, at more than peer.Window.
func (b *body) whole() ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.kept[:min(len(b.kept), peer.MaxChunk)]
	return first, b.err == io.EOF && b.start == 0 && len(first) == len(b.kept)
}

// broken returns the error with which the caller's body ended, if it did.
func (b *body) broken() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == io.EOF {
		return nil
	}
	return b.err
}

// replayable reports whether the body can be sent from its start.
func (b *body) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.start == 0
}

func (b *body) readRest() {
	defer close(b.done)
	buf := make([]byte, peer.MaxChunk)
	for b.waitForRoom() {
		n, err := b.source.Read(buf)
		b.mu.Lock()
		b.kept = append(b.kept, buf[:n]...)
		b.err = err
		b.cond.Broadcast()
		b.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// waitForRoom waits until more of the body may be kept. One chunk beyond the
// window is read, so that a sender has something to offer for new credit.
func (b *body) waitForRoom() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.kept) >= peer.Window+peer.MaxChunk && !b.stop {
		b.cond.Wait()
	}
	return !b.stop
}

// next waits for bytes at an offset and returns some; the slice stays valid.
func (b *body) next(offset int) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if offset < b.start {
		return nil, errNotKept
	}
	for {
		if part := b.kept[offset-b.start:]; len(part) > 0 {
			return part[:min(len(part), peer.MaxChunk)], nil
		}
		if b.err != nil {
			return nil, b.err
		}
		if b.stop {
			return nil, peer.ErrClosed
		}
		b.cond.Wait()
	}
}

// forget gives up what lies before an offset.
func (b *body) forget(offset int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kept = b.kept[offset-b.start:]
	b.start = offset
	b.cond.Broadcast()
}

// finished reports whether the body was read to its end or broke off.
func (b *body) finished() bool {
	select {
	case <-b.done:
		return true
	default:
		return false
	}
}

// halt makes readers return; the source is still read until the caller's
// connection ends its wait.
func (b *body) halt() {
	b.mu.Lock()
	b.stop = true
	b.cond.Broadcast()
	b.mu.Unlock()
}

// sendTo sends the body from an offset on to a gate, until its end or until
// the call ends.
func (b *body) sendTo(call *peer.Call, offset int, idle time.Duration) error {
	for {
		part, err := b.next(offset)
		if err == io.EOF {
			return call.Send(nil, true, idle)
		}
		if err != nil {
			return err
		}
		if err := call.Send(part, false, idle); err != nil {
			return err
		}
		offset += len(part)
		if offset > peer.Window {
			// More than the first window was taken: the gate has dispatched.
			b.forget(offset)
		}
	}
}
