// SPDX-License-Identifier: MIT

package entry

import (
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/peer"
)

// errStartDiscarded is returned when a body can no longer be sent from its start.
var errStartDiscarded = eris.New("start of the request's body is no longer buffered")

// errTooLarge ends a body of unknown length that exceeds the limit.
var errTooLarge = eris.New("request's body is larger than the limit")

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

// body is a caller's request body on its way to a gate. It buffers the start of the body
// until a gate accepts more than peer.Window bytes, so that the body can be sent again.
type body struct {
	source io.Reader

	mu   sync.Mutex
	cond sync.Cond
	// buffered holds the bytes that were read, beginning at offset start.
	buffered []byte
	start    int
	err      error // io.EOF after the last byte was read.
	stopped  bool
	done     chan struct{}
}

// newBody reads the first part of a body of at most limit bytes. It returns once the body
// has ended or peer.MaxChunk bytes were read; the rest is read in the background.
func newBody(source io.Reader, limit int64) *body {
	b := &body{done: make(chan struct{})}
	b.cond.L = &b.mu
	if source == nil {
		b.err = io.EOF
		close(b.done)
		return b
	}
	b.source = &boundedReader{source: source, left: limit}
	first := make([]byte, peer.MaxChunk)
	n := 0
	for n < len(first) && b.err == nil {
		read, err := b.source.Read(first[n:])
		n += read
		b.err = err
	}
	b.buffered = first[:n]
	if b.err != nil {
		close(b.done)
		return b
	}
	go b.readRest()
	return b
}

// firstPart returns the first part of the body, and whether that is the complete body.
// More than one chunk may have been read by now, but a gate that receives more than
// peer.Window closes the connection with all requests of this node on it.
func (b *body) firstPart() ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.buffered[:min(len(b.buffered), peer.MaxChunk)]
	return first, b.err == io.EOF && b.start == 0 && len(first) == len(b.buffered)
}

// readError returns the error with which reading the caller's body failed, if it did.
func (b *body) readError() error {
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
	for b.waitForSpace() {
		n, err := b.source.Read(buf)
		b.mu.Lock()
		b.buffered = append(b.buffered, buf[:n]...)
		b.err = err
		b.cond.Broadcast()
		b.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// waitForSpace waits until more of the body may be buffered. One chunk beyond the window
// is read, so that a sender has data ready when it gets new credit.
func (b *body) waitForSpace() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.buffered) >= peer.Window+peer.MaxChunk && !b.stopped {
		b.cond.Wait()
	}
	return !b.stopped
}

// next waits for bytes at an offset and returns some of them; the slice stays valid.
func (b *body) next(offset int) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if offset < b.start {
		return nil, errStartDiscarded
	}
	for {
		if part := b.buffered[offset-b.start:]; len(part) > 0 {
			return part[:min(len(part), peer.MaxChunk)], nil
		}
		if b.err != nil {
			return nil, b.err
		}
		if b.stopped {
			return nil, peer.ErrClosed
		}
		b.cond.Wait()
	}
}

// discard drops the bytes before an offset.
func (b *body) discard(offset int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buffered = b.buffered[offset-b.start:]
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

// stopReading makes readers of the body return. A read from the source that is in
// progress goes on until the caller's connection interrupts it.
func (b *body) stopReading() {
	b.mu.Lock()
	b.stopped = true
	b.cond.Broadcast()
	b.mu.Unlock()
}

// sendTo sends the body from an offset to a gate, until the body or the call ends.
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
			// More than the first window was accepted, so the gate has dispatched the
			// request.
			b.discard(offset)
		}
	}
}
