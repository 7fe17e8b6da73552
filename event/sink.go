// SPDX-License-Identifier: MIT

package event

import (
	"fmt"
	"io"
	"sync"
)

// Sink is a zapcore.WriteSyncer that never blocks on its output. Lines are collected in a
// buffer, which one goroutine, started by NewSink and ended by Close, writes to the
// output. A line that does not fit the buffer is dropped and counted.
type Sink struct {
	out  io.Writer
	size int

	mu      sync.Mutex
	cond    sync.Cond
	buf     []byte
	spare   []byte
	dropped int64
	closed  bool
	done    chan struct{}
}

// NewSink returns a sink that buffers at most size bytes for out.
func NewSink(out io.Writer, size int) *Sink {
	s := &Sink{out: out, size: size, done: make(chan struct{})}
	s.cond.L = &s.mu
	go s.run()
	return s
}

// Write implements io.Writer. It buffers the whole line or drops it, and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.buf)+len(line) > s.size {
		s.dropped++
		return len(line), nil
	}
	s.buf = append(s.buf, line...)
	s.cond.Signal()
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does not wait for the output either.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Close writes the buffered lines and ends the sink. It waits for the output.
func (s *Sink) Close() {
	s.mu.Lock()
	s.closed = true
	s.cond.Signal()
	s.mu.Unlock()
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	reported := int64(0)
	for {
		s.mu.Lock()
		for len(s.buf) == 0 && !s.closed {
			s.cond.Wait()
		}
		out, dropped, closed := s.buf, s.dropped, s.closed
		s.buf, s.spare = s.spare[:0], nil
		s.mu.Unlock()
		if len(out) == 0 && closed {
			return
		}
		_, _ = s.out.Write(out) // The log is the only place where a failure could be reported.
		if dropped > reported {
			reported = dropped
			fmt.Fprintf(s.out, `{"level":"warn","msg":"lines dropped","since_start":%d,"why":"the log output is not read fast enough"}`+"\n", dropped)
		}
		s.mu.Lock()
		s.spare = out
		s.mu.Unlock()
	}
}
