// SPDX-License-Identifier: MIT

package gate

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/admit"
	"github.com/ryehaven/ryehaven/backend"
	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/measure"
	"github.com/ryehaven/ryehaven/peer"
	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/wire"
)

// DrainCause is a reason for not accepting new requests. Several causes can apply at the same
// time; each is set and cleared independently.
type DrainCause uint8

// The drain causes.
const (
	// DrainNode: this node is stopping.
	DrainNode DrainCause = 1 << iota
	// DrainRow: the server's row in the table is marked as leaving or was removed.
	DrainRow
	// DrainServer: the backend server reports that it is draining.
	DrainServer
	// DrainHost: the platform lists the host as leaving.
	DrainHost
	// DrainZone: the host's availability zone is being evacuated.
	DrainZone
)

// Gate controls the requests to one backend server.
type Gate struct {
	Counters Counters

	settings Settings
	name     string
	server   *backend.Pool

	mu         sync.Mutex
	row        table.Server
	queue      *admit.Queue
	jobs       map[*peer.Stream]*job
	drain      DrainCause
	drainStart time.Time
	seq        uint64
	bucket     measure.Bucket
	probing    bool
	// probeStarted is when the current probe was started.
	probeStarted time.Time
	// notifiedStalled and notifiedSlowness are the values that entries were last notified of.
	notifiedStalled  bool
	notifiedSlowness int
	// notifiedHeadroom is the headroom of the server that entries were last notified of, at
	// notifiedHeadroomAt.
	notifiedHeadroom   wire.Headroom
	notifiedHeadroomAt time.Time
	callWait           callWait
	// callSlots is how many of the server's slots calls of running requests may fill.
	callSlots int
	// slowness is what the server last reported, at slownessAsOf.
	slowness     int
	slownessAsOf time.Time
	cold         coldState
	rateLimit    rateLimit
	// leaving is set once the server has reported in a response that it is leaving.
	leaving bool
	// lastRequest is when the last request arrived, and lastTick when Tick was last called.
	lastRequest time.Time
	lastTick    time.Time
	check       check
	suspicion   suspicion
	exit        serverExit
}

// New returns a gate for the server of a table row.
func New(row table.Server, settings Settings) *Gate {
	if settings.Blame == nil {
		settings.Blame = noBlame{}
	}
	g := &Gate{
		settings: settings,
		name:     row.Name,
		server: &backend.Pool{
			Address:     row.Address,
			MaxConns:    row.Connections,
			IdleTimeout: settings.IdleTimeout,
			DialTimeout: settings.DialTimeout,
		},
		jobs:  map[*peer.Stream]*job{},
		check: newCheck(settings.ChecksPerSecond),
		// The time in the high bits makes the load reports of a restarted gate count as newer.
		seq: uint64(time.Now().Add(settings.ClockStep).UnixMicro()),
	}
	g.row = row
	g.queue = admit.NewQueue(g.queueSettings(row))
	now := time.Now()
	g.notifiedHeadroom, g.notifiedHeadroomAt = g.headroom(now), now
	since := settings.PreviousGateUntil
	if since.IsZero() {
		since = now
	}
	g.queue.StartTokenBucket(since)
	g.assumeCold(now)
	g.Configure(row, now)
	return g
}

func (g *Gate) queueSettings(row table.Server) admit.Settings {
	maxLearnedLimit := 0
	if g.settings.LearnSlots {
		maxLearnedLimit = max(g.callSlots, row.Slots)
	}
	return admit.Settings{
		MaxLearnedLimit: maxLearnedLimit,
		Slots:           row.Slots,
		CallSlots:       g.callSlots,
		Queue:           row.Queue,
		FixedLimit:      g.settings.FixedLimit,
		NoDeadlineBound: g.settings.NoDeadlineBound,
		ReserveForCalls: g.settings.ByAim,
		Cold:            admit.ColdRate(row.ColdPerSecond, g.settings.ColdOvershoot, g.settings.ColdSlack),
	}
}

// Address returns the server's address, which never changes while the gate exists.
func (g *Gate) Address() string { return g.server.Address }

// Configure applies a changed row of the same server at the same address.
func (g *Gate) Configure(row table.Server, now time.Time) {
	g.mu.Lock()
	g.row = row
	g.queue.Configure(g.queueSettings(row))
	g.bucket.Rate = row.ProbeRate
	g.mu.Unlock()
	g.SetDrain(DrainRow, row.State == table.Leaving, now)
}

// SetDrain sets or clears one drain cause.
func (g *Gate) SetDrain(cause DrainCause, on bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setDrain(cause, on, now)
}

// setDrain is SetDrain with the lock held.
func (g *Gate) setDrain(cause DrainCause, on bool, now time.Time) {
	before := g.drain
	if on {
		g.drain |= cause
	} else {
		g.drain &^= cause
	}
	if before == 0 && g.drain != 0 {
		g.drainStart = now
	}
	if before != 0 && g.drain == 0 {
		g.assumeCold(now) // The server may have become cold while it was idle.
	}
	g.queue.SetDraining(g.drain != 0)
}

// Draining returns the drain causes that currently apply.
func (g *Gate) Draining() DrainCause {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.drain
}

// Load returns the current load of the gate.
func (g *Gate) Load() wire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load()
}

func (g *Gate) load() wire.Load {
	g.seq++
	return wire.Load{
		Seq:           g.seq,
		InFlight:      g.queue.InFlight(),
		Queued:        g.queue.Waiting(),
		Limit:         g.queue.Limit(),
		ServiceMicros: g.queue.ServiceTime().Microseconds(),
		Draining:      g.drain != 0,
		StalledMicros: g.queue.Stalled(time.Now()).Microseconds(),
		Slowness:      g.slownessNow(time.Now()),
	}
}

// SetCallSlots sets how many of the server's slots calls of running requests may fill. A
// number below the row's slots has no effect.
func (g *Gate) SetCallSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.callSlots != slots {
		g.callSlots = slots
		g.queue.Configure(g.queueSettings(g.row))
	}
}

// StallNotice returns a notice for the entries when the server has stalled or has started to
// answer again since the last notice; ok is false if neither happened.
func (g *Gate) StallNotice(now time.Time) (n *wire.Notice, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	stalled := g.queue.Stalled(now) > 0
	if stalled == g.notifiedStalled {
		return nil, false
	}
	g.notifiedStalled = stalled
	return &wire.Notice{Service: g.row.Service, Server: g.row.Name, Load: g.load()}, true
}

// Pending returns the number of requests that have not been answered yet. It leaves out those
// that nobody waits for any more; see isAbandoned.
func (g *Gate) Pending() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	pending := 0
	for _, j := range g.jobs {
		if !g.isAbandoned(j, now) {
			pending++
		}
	}
	return pending
}

// PendingRequests lists the requests that Pending counts.
func (g *Gate) PendingRequests(now time.Time) event.PendingRequests {
	g.mu.Lock()
	defer g.mu.Unlock()
	var pending event.PendingRequests
	for _, j := range g.jobs {
		if !g.isAbandoned(j, now) {
			pending = append(pending, event.PendingRequest{
				ID: j.stream.Request.CallerRequestID, Component: event.AtGate, WaitingFor: g.name, Age: now.Sub(j.stream.Received), Remaining: j.stream.Expiry.Sub(now),
			})
		}
	}
	return pending
}

// Request handles a request from an entry.
func (g *Gate) Request(s *peer.Stream) {
	g.Counters.Received.Add(1)
	j := &job{gate: g, stream: s}
	j.ticket.Deadline = s.Deadline
	j.ticket.Patient = s.Request.Patient
	j.ticket.MaxWait = time.Duration(s.Request.WaitMicros) * time.Microsecond
	if s.Call {
		j.ticket.Call = true
		j.ticket.MaxWait = max(j.ticket.MaxWait, time.Until(s.Deadline)/callWaitDivisor)
	}
	j.ticket.Tenant = s.Request.Tenant
	if g.settings.Weight != nil && j.ticket.Tenant != "" {
		j.ticket.Weight = g.settings.Weight(j.ticket.Tenant)
	}
	if g.settings.ByAim {
		j.ticket.Aim, j.ticket.Work, j.ticket.WorkP25 = j.aim(), j.work(), j.workP25()
	}
	j.ticket.Priority = min(table.Priority(s.Request.Priority), table.Bulk)
	g.mu.Lock()
	j.ticket.Value = j
	g.jobs[s] = j
	g.lastRequest = s.Received
	g.excludePause(time.Now())
	if reason, retryAfter := g.blameReason(j, time.Now()); reason != 0 {
		g.refuseWithRetryAfter(j, reason, retryAfter)
		g.mu.Unlock()
		return
	}
	now := time.Now()
	g.assumeRateLimit(now, j)
	g.queue.SetSlowdown(g.slowdown(now))
	evicted := g.queue.Offer(now, &j.ticket)
	left := []*admit.Ticket{&j.ticket}
	if evicted != nil {
		g.Counters.Evicted.Add(1)
		left = append(left, evicted)
	}
	g.applyDecisions(left)
	g.mu.Unlock()
}

// A call may wait in the queue for at least its remaining time divided by callWaitDivisor,
// which is longer than other requests may: a call that is refused wastes the work already
// done on the request that made it.
const callWaitDivisor = 2

// applyDecisions runs the tickets that the queue has dispatched and refuses those that it has
// refused; tickets that are still queued are left alone. It is called with the lock held.
func (g *Gate) applyDecisions(tickets []*admit.Ticket) {
	for _, t := range tickets {
		j := t.Value.(*job)
		switch t.State() {
		case admit.Dispatched:
			go j.run()
		case admit.Refused:
			g.refuse(j, g.reasonFor(t.Cause()))
		}
	}
}

// reasonFor translates the queue's cause of a refusal for the entry. It is called with the
// lock held.
func (g *Gate) reasonFor(cause admit.Cause) wire.Reason {
	switch cause {
	case admit.Expired:
		return wire.ReasonDeadline
	case admit.Draining:
		return wire.ReasonDraining
	case admit.Canceled:
		return wire.ReasonCanceled
	case admit.AboveShare:
		return wire.ReasonShare
	case admit.Late:
		return wire.ReasonLate
	}
	switch {
	case g.queue.InFlight() >= g.queue.Limit():
		return wire.ReasonOverload
	case g.queue.RateLimited():
		return wire.ReasonRateLimit
	case g.queue.Cold(time.Now()):
		return wire.ReasonCold
	}
	return wire.ReasonOverload
}

// refuse answers a job that was not run. It is called with the lock held.
func (g *Gate) refuse(j *job, reason wire.Reason) {
	g.refuseWithRetryAfter(j, reason, g.queue.RetryAfter(time.Now()))
}

// refuseWithRetryAfter is refuse with an explicit time after which to retry.
func (g *Gate) refuseWithRetryAfter(j *job, reason wire.Reason, retryAfter time.Duration) {
	delete(g.jobs, j.stream)
	g.Counters.Refused.Add(1)
	g.Counters.RefusedBy[reason].Add(1)
	load := g.load()
	g.record(j, load, event.NotRun, reason.String(), 0)
	j.stream.Refuse(reason, retryAfter, load)
}

// record logs the outcome of a job, with the gate's load after it. It needs no lock: the
// fields of the gate that it reads never change.
func (g *Gate) record(j *job, load wire.Load, outcome event.Outcome, reason string, status int) {
	requestID := j.stream.Request.CallerRequestID
	if !g.settings.Recorder.ShouldRecord(requestID, outcome != event.Answered || status >= fasthttp.StatusInternalServerError) {
		return
	}
	now := time.Now()
	e := &event.Job{
		ID:        requestID,
		Server:    g.name,
		Service:   j.stream.Request.Service,
		EntryHost: j.stream.From.Host,
		Outcome:   outcome,
		Reason:    reason,
		Status:    status,
		Waited:    now.Sub(j.stream.Received),
		InFlight:  load.InFlight,
		Queued:    load.Queued,
		Limit:     load.Limit,
		Slowness:  load.Slowness,

		StartSlowness: j.slowness,
	}
	if j.exchange != nil {
		e.Connection = string(j.exchange.Origin())
	}
	if !j.startedAt.IsZero() {
		e.Waited = j.startedAt.Sub(j.stream.Received)
		e.Took = now.Sub(j.startedAt)
	}
	g.settings.Recorder.Record(e)
}

// Canceled handles a cancellation: the entry no longer wants an answer.
func (g *Gate) Canceled(s *peer.Stream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	j := g.jobs[s]
	if j == nil {
		return
	}
	if !g.withdraw(j) {
		j.cancel()
	}
}

// Withdrawn refuses a request that was not handed over yet; one that was handed over
// continues.
func (g *Gate) Withdrawn(s *peer.Stream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if j := g.jobs[s]; j != nil {
		g.withdraw(j)
	}
}

// withdraw refuses a job that was not handed over yet, and reports whether that was the case.
// It is called with the lock held.
func (g *Gate) withdraw(j *job) bool {
	switch {
	case g.queue.Cancel(&j.ticket):
		g.refuse(j, wire.ReasonCanceled)
	case j.handedOver:
		return false
	default:
		j.canceled = true // run refuses it before the first byte is sent.
	}
	return true
}

// Tick refuses requests whose deadline has passed, or that were still queued too long after
// the start of a drain. Call it every few milliseconds.
func (g *Gate) Tick(now time.Time) {
	g.mu.Lock()
	g.excludePause(now)
	g.lastTick = now
	if g.queue.Waiting() > 0 {
		g.advance(now)
		if g.drain != 0 && now.Sub(g.drainStart) >= g.settings.FlushAfter {
			g.applyDecisions(g.queue.Flush())
		}
	}
	g.findLost(now)
	g.mu.Unlock()
	g.server.CloseExpired(now)
}

// minPause is the interval between two ticks from which on this process counts as paused. With
// work in flight it ticks every 10 ms; an idle gate may tick less often.
const minPause = 50 * time.Millisecond

// excludePause detects that this process was paused, and leaves the pause out of all timers.
// During a pause it could not read the server's answers, so the server does not count as
// unresponsive, and queued requests have not really waited: without this, requests that could
// be served were refused for overload when the process resumed. It is called with the lock
// held.
func (g *Gate) excludePause(now time.Time) {
	if pause := now.Sub(g.lastTick); !g.lastTick.IsZero() && pause >= minPause && g.queue.InFlight() > 0 {
		g.queue.ExcludePause(now, pause)
		g.shiftTimers(pause)
		g.lastTick = now
	}
}

// advance dispatches the requests that the queue allows, and refuses those that have waited
// too long. It is
// called with the lock held.
func (g *Gate) advance(now time.Time) {
	g.excludePause(now)
	g.queue.SetSlowdown(g.slowdown(now))
	g.applyDecisions(g.queue.Advance(now))
}

// Close closes the idle connections to the server.
func (g *Gate) Close() { g.server.Close() }
