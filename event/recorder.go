// SPDX-License-Identifier: MIT

package event

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

// Event is a line of the decision log.
type Event interface {
	zapcore.ObjectMarshaler
	// Message returns the message of the line, which names its kind.
	Message() string
	// RequestID returns the ID of the request that the line concerns; empty for none.
	RequestID() string
	// Unusual reports whether the line is written even if its request is not sampled.
	Unusual() bool
}

// Recorder writes events. Its zero value and a nil Recorder write nothing.
type Recorder struct {
	log         *zap.Logger
	sampleEvery uint64
	limiter     *rate.Limiter

	// Written and Dropped count the events that were written, and those that were
	// dropped because of the rate limit.
	Written, Dropped atomic.Int64
	reported         int64
	lastReport       atomic.Int64
}

// reportEvery is the least time between two reports of dropped events.
const reportEvery = time.Second

// NewRecorder returns a recorder that writes all unusual events, and the others of one in
// sampleEvery requests (0: of no request), at most perSecond events per second.
func NewRecorder(log *zap.Logger, sampleEvery, perSecond int) *Recorder {
	return &Recorder{log: log, sampleEvery: uint64(max(sampleEvery, 0)), limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// ShouldRecord reports whether Record would write an event of the request, the rate limit
// aside. It lets callers avoid building events that are not written.
func (r *Recorder) ShouldRecord(requestID string, unusual bool) bool {
	if r == nil || r.log == nil {
		return false
	}
	return unusual || (r.sampleEvery > 0 && xxhash.Sum64String(requestID)%r.sampleEvery == 0)
}

// Record writes the event if its request is sampled or it is unusual, and the rate limit
// allows it.
func (r *Recorder) Record(e Event) {
	if !r.ShouldRecord(e.RequestID(), e.Unusual()) {
		return
	}
	now := time.Now()
	if !r.limiter.AllowN(now, 1) {
		r.Dropped.Add(1)
		return
	}
	r.reportDropped(now)
	r.Written.Add(1)
	r.log.Info(e.Message(), zap.Inline(e))
}

// reportDropped logs the number of events dropped so far, if it grew since the last
// report.
func (r *Recorder) reportDropped(now time.Time) {
	dropped := r.Dropped.Load()
	last := r.lastReport.Load()
	if dropped == 0 || now.UnixNano()-last < int64(reportEvery) || !r.lastReport.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	if dropped > r.reported {
		r.log.Warn("events dropped", zap.Int64("since_start", dropped), zap.String("why", "more lines per second than the rate limit of the log allows"))
		r.reported = dropped
	}
}
