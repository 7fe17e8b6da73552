// SPDX-License-Identifier: MIT

package event

import (
	"fmt"
	"io"
	"sync"
)

// Sink is a zapcore.WriteSyncer that never waits for its output. Lines gather
// in a buffer that one goroutine, started by NewSink and ended by Close, writes
// out; a line that does not fit is dropped and counted.
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

// NewSink returns a sink that holds at most size bytes for out.
func NewSink(out io.Writer, size int) *Sink {
	s := &Sink{out: out, size: size, done: make(chan struct{})}
	s.cond.L = &s.mu
	go s.run()
	return s
}

// Write implements io.Writer. It takes the whole line or drops it, and never
// fails.
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

// Sync implements zapcore.WriteSyncer. It does not wait either.
func (s *Sink) Sync() error { return nil }

// Dropped returns how many lines were dropped so far.
func (s *Sink) Dropped() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Close writes out what is held and ends the sink. It waits for the output.
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
		_, _ = s.out.Write(out) // There is nowhere else to say that it failed.
		if dropped > reported {
			reported = dropped
			fmt.Fprintf(s.out, `{"level":"warn","msg":"lines dropped","since_start":%d,"why":"the log is not read fast enough"}`+"\n", dropped)
		}
		s.mu.Lock()
		s.spare = out
		s.mu.Unlock()
	}
}
