// SPDX-License-Identifier: MIT

package load

import (
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ryehaven/ryehaven/client"
)

// Plan describes a run.
type Plan struct {
	Seed uint64
	// Rate is the number of arrivals a second. They last for Length; those during the
	// first Warmup are sent but not counted.
	Rate   float64
	Length time.Duration
	Warmup time.Duration
	// Callers are the caller addresses of nodes. Each request is sent to a random one.
	Callers []string
	// Request creates the request with a number, which counts from 0.
	Request func(number int, rng *rand.Rand) client.Request
	// MaxInFlight is the maximum number of requests in flight, so that a failing site
	// can't exhaust the machine that sends them. Arrivals beyond it are not sent and
	// count as Skipped, so as failures. 0 means the default.
	MaxInFlight int
}

// Result holds the outcomes and latencies of a run.
type Result struct {
	// Sent counts the requests after the warm-up, also those that were skipped. Each of
	// them is counted in exactly one of the others.
	Sent, Good, NotRun, Unknown, BadAnswer, Skipped int64
	// Latency holds the latencies of good requests in microseconds, from the time at which
	// they were scheduled to be sent.
	Latency *hdrhistogram.Histogram
	Length  time.Duration
}

// Goodput returns the number of good answers a second.
func (r *Result) Goodput() float64 { return float64(r.Good) / r.Length.Seconds() }

// Failures returns the number of requests without a good answer.
func (r *Result) Failures() int64 { return r.Sent - r.Good }

// Quantile returns the q-th percentile of the latencies in milliseconds, with q from 0 to
// 100.
func (r *Result) Quantile(q float64) float64 {
	return float64(r.Latency.ValueAtQuantile(q)) / 1000
}

const (
	// The range and the significant digits of the latency histogram.
	minLatencyMicros = 1
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3

	defaultMaxInFlight = 2000
	finishWithin       = 15 * time.Second
)

// run is the state of a Run.
type run struct {
	plan     Plan
	clients  []*client.Client
	inFlight atomic.Int64

	mu      sync.Mutex
	result  Result
	pending sync.WaitGroup
}

// Run sends the requests of a plan and waits until all have finished.
func Run(p Plan) *Result {
	if p.MaxInFlight == 0 {
		p.MaxInFlight = defaultMaxInFlight
	}
	r := &run{plan: p}
	r.result.Latency = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	r.result.Length = p.Length - p.Warmup
	for _, caller := range p.Callers {
		r.clients = append(r.clients, client.New([]string{caller}))
	}
	rng := rand.New(rand.NewPCG(p.Seed, p.Seed))
	started := time.Now()
	offset := time.Duration(0)
	for number := 0; ; number++ {
		offset += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
		if offset >= p.Length {
			break
		}
		request := p.Request(number, rng)
		c := r.clients[rng.IntN(len(r.clients))]
		time.Sleep(time.Until(started.Add(offset)))
		r.start(c, request, started.Add(offset), offset >= p.Warmup)
	}
	r.pending.Wait()
	return &r.result
}

func (r *run) start(c *client.Client, request client.Request, scheduled time.Time, counted bool) {
	if r.inFlight.Load() >= int64(r.plan.MaxInFlight) {
		if counted {
			r.mu.Lock()
			r.result.Sent++
			r.result.Skipped++
			r.mu.Unlock()
		}
		return
	}
	r.inFlight.Add(1)
	r.pending.Go(func() {
		defer r.inFlight.Add(-1)
		answer, err := c.Do(request)
		if counted {
			r.count(answer, err, time.Since(scheduled))
		}
	})
}

func (r *run) count(answer client.Answer, err error, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	switch {
	case errors.Is(err, client.ErrNotRun):
		r.result.NotRun++
	case err != nil:
		r.result.Unknown++
	case answer.Status != 200:
		r.result.BadAnswer++
	default:
		r.result.Good++
		_ = r.result.Latency.RecordValue(max(took.Microseconds(), minLatencyMicros)) // Fails only above the maximum; requests have timeouts.
	}
}
