// SPDX-License-Identifier: MIT

package quota

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/tenant"
	"github.com/ryehaven/ryehaven/wire"
)

// Settings configures a Limiter.
type Settings struct {
	Tolerance tenant.Tolerance
	// Ask sends a query to the node at an address and waits for the reply up to a limit.
	Ask func(address string, payload []byte, limit time.Duration) ([]byte, error)
	// WithView calls f with the node's view of the cluster, with the view's lock held.
	WithView func(f func(v *member.View))
	// QuotaOf returns a tenant's quota in the current table.
	QuotaOf func(name string) (tenant.Quota, bool)
	// Started is when the node's process started.
	Started time.Time
	// Isolated reports whether the node has not reached any other node recently.
	Isolated func(now time.Time) bool
}

// Counters counts what a Limiter did.
type Counters struct {
	// Queries counts queries to other nodes, Unanswered those without a reply, and Lent the
	// requests that were admitted with tokens borrowed from another zone's owner.
	Queries, Unanswered, Lent atomic.Int64
}

const (
	// queryTimeout bounds the wait for the owner's reply, during which a caller waits. It
	// allows for several round trips between zones.
	queryTimeout = 60 * time.Millisecond
	// lendTimeout bounds the wait for another zone's owner. ownerBackoff is how long an owner
	// that has too few tokens, or does not reply, is not queried again.
	lendTimeout  = 40 * time.Millisecond
	ownerBackoff = 100 * time.Millisecond
	// spareLifetime is how long the token of a request that did not run may be used for
	// another request at the same node. maxSpare bounds the number of such tokens.
	spareLifetime = time.Second
	maxSpare      = 2
	// tickInterval is the interval of checks for changes of ownership.
	tickInterval = time.Second
	// idleRetention is how long an unused bucket is kept; it is full by then, so that
	// deleting it loses no state.
	idleRetention = time.Minute
)

// Limiter enforces tenants' quotas at one node and owns some of their buckets. It is safe
// for concurrent use.
type Limiter struct {
	Counters Counters

	settings Settings

	mu       sync.Mutex
	queues   map[string]*waitQueue
	buckets  map[string]*ownedBucket
	lastTick time.Time
	// ownersHash is a hash of the possible owners in this zone, and ownersChanged is when it
	// was last seen to change.
	ownersHash    uint64
	ownersChanged time.Time
}

// waitQueue holds a tenant's requests at this node that wait for the owner's reply.
type waitQueue struct {
	waiting  []*waiter
	querying bool
	// spare is the number of tokens of requests that did not run, usable until spareUntil.
	spare      int
	spareUntil time.Time
	// fallback is the bucket used while no owner can be reached; nil until then.
	// fallbackUsed is when it was last used.
	fallback     *tenant.Bucket
	fallbackUsed time.Time
	// backoffs are those of the owners that processQueue queries.
	backoffs backoffs
	used     time.Time
}

// waiter is a waiting request. Its decision is sent exactly once.
type waiter struct {
	timing tenant.Timing
	answer chan tenant.Decision
}

// ownedBucket is a bucket that this node owns.
type ownedBucket struct {
	mu sync.Mutex
	*tenant.Bucket
	// borrowing says that the owners in other zones are being queried.
	borrowing bool
	backoffs  backoffs
	used      time.Time
	// activated is when the bucket was last activated with initial tokens. inactive says
	// that this node has not yet taken the bucket over, or that another node owns it now; it
	// is guarded by the Limiter's lock.
	activated time.Time
	inactive  bool
}

// New returns a Limiter.
func New(s Settings) *Limiter {
	return &Limiter{settings: s, queues: map[string]*waitQueue{}, buckets: map[string]*ownedBucket{}}
}

// Acquire decides whether a request is within its tenant's quota and takes a token for it
// if so. It returns early, without admitting the request, if gone is closed. A request that
// comes too early and is not admitted gets no new retry time.
func (l *Limiter) Acquire(name string, quota tenant.Quota, timing tenant.Timing, gone <-chan struct{}) tenant.Decision {
	now := time.Now()
	l.mu.Lock()
	queue := l.queue(name, now)
	if queue.spare > 0 && now.Before(queue.spareUntil) {
		queue.spare--
		l.mu.Unlock()
		return tenant.Decision{Admitted: true}
	}
	w := &waiter{timing: timing, answer: make(chan tenant.Decision, 1)}
	queue.waiting = append(queue.waiting, w)
	if !queue.querying {
		queue.querying = true
		go l.processQueue(name, quota, queue)
	}
	l.mu.Unlock()
	select {
	case v := <-w.answer:
		return v
	case <-gone:
		go func() { // Don't lose a token that is granted after that.
			if v := <-w.answer; v.Admitted {
				l.Release(name)
			}
		}()
		return tenant.Decision{}
	}
}

// Release returns the token of a request that did not run.
func (l *Limiter) Release(name string) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.queue(name, now)
	if !now.Before(queue.spareUntil) {
		queue.spare = 0
	}
	queue.spare = min(queue.spare+1, maxSpare)
	queue.spareUntil = now.Add(spareLifetime)
}

// queue returns a tenant's queue, creating it if needed. It is called with the lock held.
func (l *Limiter) queue(name string, now time.Time) *waitQueue {
	queue := l.queues[name]
	if queue == nil {
		queue = &waitQueue{backoffs: backoffs{}}
		l.queues[name] = queue
	}
	queue.used = now
	return queue
}

// processQueue requests tokens for all waiting requests, until none waits.
func (l *Limiter) processQueue(name string, quota tenant.Quota, queue *waitQueue) {
	for {
		l.mu.Lock()
		waiters := queue.waiting
		queue.waiting = nil
		if len(waiters) == 0 {
			queue.querying = false
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		m := sortByTiming(waiters)
		m.Tenant, m.Rate, m.Burst = name, int(quota.Rate), int(quota.Burst)
		r := l.queryOwners(&m, quota, queue)
		after, step := micros(r.FirstRetryMicros), micros(r.RetryStepMicros)
		for i, w := range waiters {
			if i < r.Granted {
				w.answer <- tenant.Decision{Admitted: true}
				continue
			}
			if w.timing == tenant.TooEarly {
				w.answer <- tenant.Decision{}
				continue
			}
			w.answer <- tenant.Decision{RetryAfter: after}
			after += step
		}
	}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// queryOwners queries the owner in the own zone and, if that does not reply, those in other zones. It
// is called by one goroutine per queue at a time.
func (l *Limiter) queryOwners(m *query, quota tenant.Quota, queue *waitQueue) reply {
	now := time.Now()
	owner, self, ok := l.owner(now, m.Tenant)
	if ok && owner.Host == self.Host {
		if l.settings.Isolated(now) {
			return l.replyFromFallback(m, quota, queue, 0)
		}
		return l.admit(m)
	}
	if ok && !queue.backoffs.active(now, self.Zone, false) {
		r, err := l.queryOwner(owner, m, queryTimeout)
		if err == nil {
			return r
		}
		queue.backoffs.start(self.Zone, false)
	}
	return l.replyFromFallback(m, quota, queue, l.borrow(queue.backoffs, m, 0))
}

// owner returns the node that owns a tenant's bucket in this node's zone, and this node.
func (l *Limiter) owner(now time.Time, name string) (owner, self member.Record, ok bool) {
	l.settings.WithView(func(v *member.View) {
		self = v.Self()
		owner, ok = v.Owner(now, self.Zone, name, l.settings.Tolerance.Window)
	})
	return owner, self, ok
}

// queryOwner sends a query to another node and returns its reply.
func (l *Limiter) queryOwner(owner member.Record, m *query, limit time.Duration) (r reply, err error) {
	l.Counters.Queries.Add(1)
	sentAt := time.Now()
	payload, err := l.settings.Ask(owner.Address, wire.EncodeControl(m), limit)
	if left := limit - time.Since(sentAt); err != nil && m.Yielding > 0 && left > limit/2 {
		// A node of an older build can't decode yielding requests and replies with an
		// error at once.
		base := *m
		base.Yielding, base.Scheduled = 0, 0
		payload, err = l.settings.Ask(owner.Address, wire.EncodeControl(&base), left)
	}
	if err == nil {
		err = msgpack.Unmarshal(payload, &r)
	}
	if err != nil {
		l.Counters.Unanswered.Add(1)
		now := time.Now()
		l.settings.WithView(func(v *member.View) { v.MarkUnreachable(now, owner.Host) })
		return reply{}, eris.Wrapf(err, "ask %s for the quota of tenant %q", owner.Host, m.Tenant)
	}
	l.settings.WithView(func(v *member.View) { v.MarkReachable(owner.Host) })
	r.Granted = min(max(r.Granted, 0), m.Want)
	return r, nil
}

// replyFromFallback takes tokens from the node's fallback bucket, for a query of which
// other nodes have granted some.
func (l *Limiter) replyFromFallback(m *query, quota tenant.Quota, queue *waitQueue, granted int) reply {
	hosts := 0
	l.settings.WithView(func(v *member.View) { hosts = v.Len() })
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if queue.fallback == nil || now.Sub(queue.fallbackUsed) > l.settings.Tolerance.Window {
		queue.fallback = tenant.NewFallbackBucket(now, quota, l.settings.Tolerance, hosts)
	}
	queue.fallbackUsed = now
	return replyFrom(now, queue.fallback, m, granted)
}

// replyFrom takes tokens from a bucket for a query of which some requests are granted
// already. It schedules retries for the refused requests that have no retry time yet.
func replyFrom(now time.Time, b *tenant.Bucket, m *query, granted int) reply {
	left := m.remaining(granted)
	granted += b.TakeWithReserve(now, left.Want, left.Yielding)
	r := reply{Granted: granted}
	left = m.remaining(granted)
	if refused := left.Want - left.Scheduled; refused > 0 {
		first, step := b.ScheduleRetries(now, refused)
		r.FirstRetryMicros, r.RetryStepMicros = first.Microseconds(), step.Microseconds()
	}
	return r
}

// Answer answers another node's query. The text of its error is sent to that node, so it is
// part of the protocol. In these texts a query is called a question.
func (l *Limiter) Answer(payload []byte) ([]byte, error) {
	var m query
	if err := msgpack.Unmarshal(payload, &m); err != nil {
		return nil, eris.Wrap(err, "decode question for a quota")
	}
	if !m.valid() {
		return nil, eris.Errorf("question for a quota of tenant %q is out of range", m.Tenant)
	}
	r, err := l.answer(&m)
	if err != nil {
		return nil, err
	}
	return wire.EncodeControl(&r), nil
}

// errNotOwner is returned for a query about a bucket that this node does not own. In its text,
// which Answer sends to other nodes, the bucket is called a ledger.
var errNotOwner = eris.New("this node does not keep the tenant's ledger")

func (l *Limiter) answer(m *query) (reply, error) {
	owner, self, ok := l.owner(time.Now(), m.Tenant)
	switch {
	case ok && owner.Host == self.Host && m.Purpose == lend:
		return l.lend(m), nil
	case ok && owner.Host == self.Host:
		return l.admit(m), nil
	case !ok || m.Purpose != acquire:
		return reply{}, errNotOwner
	}
	// The sender's list of hosts differs from this node's.
	next := *m
	next.Purpose = forwarded
	return l.queryOwner(owner, &next, queryTimeout/2)
}
