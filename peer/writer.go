// SPDX-License-Identifier: MIT

package peer

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/wire"
)

// Bounds of writing to a peer.
const (
	// maxUnsent is how many bytes may be queued for a peer that does not read.
	maxUnsent = 16 << 20
	// writeLimit is how long one write to a peer may take.
	writeLimit = 10 * time.Second
	// keepBuffer is the size up to which a write buffer is kept for reuse, in bytes.
	keepBuffer = 64 << 10
)

// Errors of a connection.
var (
	ErrNotReading = eris.New("peer does not read")
	ErrConnClosed = eris.New("connection is closed")
)

// writer sends frames in order from one goroutine, so that senders do not block on the
// network.
type writer struct {
	nc       net.Conn
	counters *Counters

	mu     sync.Mutex
	frames *wire.Encoder
	// buf holds the queued frames, and spare is the buffer of the last write, for reuse.
	buf   []byte
	spare []byte
	// err is why nothing more can be sent.
	err  error
	wake chan struct{}
	done chan struct{}
}

func newWriter(nc net.Conn, counters *Counters) *writer {
	return &writer{nc: nc, counters: counters, frames: wire.NewEncoder(), wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// send queues a frame. If it returns an error, nothing of m was or will be sent.
func (w *writer) send(m wire.Message) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return w.err
	}
	if len(w.buf) > maxUnsent {
		return ErrNotReading
	}
	before := len(w.buf)
	buf, err := w.frames.Append(w.buf, m)
	if isTooLarge(err) {
		return err
	}
	if err != nil {
		w.err = err // The tables of packed header fields no longer match on both sides.
		w.nc.Close()
		return err
	}
	w.buf = buf
	w.counters.countSent(m.Kind(), len(buf)-before)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return nil
}

// run writes until the writer is closed or a write fails.
func (w *writer) run() {
	defer close(w.done)
	for range w.wake {
		if !w.flush() {
			return
		}
	}
}

func (w *writer) flush() bool {
	for {
		w.mu.Lock()
		if len(w.buf) == 0 {
			closed := w.err != nil
			w.mu.Unlock()
			return !closed
		}
		out := w.buf
		w.buf, w.spare = w.spare[:0], nil
		w.mu.Unlock()
		w.nc.SetWriteDeadline(time.Now().Add(writeLimit))
		if _, err := w.nc.Write(out); err != nil {
			w.close(eris.Wrap(err, "write to peer"))
			w.nc.Close()
			return false
		}
		if cap(out) > keepBuffer {
			out = nil
		}
		w.mu.Lock()
		w.spare = out
		w.mu.Unlock()
	}
}

// close makes later sends fail with err; queued frames are still written.
func (w *writer) close(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return
	}
	w.err = err
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
