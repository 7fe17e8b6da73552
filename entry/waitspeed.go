// SPDX-License-Identifier: MIT

package entry

import "time"

// speedRecheckInterval is how often a request that waits for the end of a server's slow
// period checks again even if no server has changed, because the request's own remaining
// time shrinks.
const speedRecheckInterval = 25 * time.Millisecond

// waitForSpeed returns once starting the request now is better than waiting for a
// server's slow period to end, or once the caller is gone. The request is not assigned to
// a server during the wait, so it goes to whichever server becomes fast first.
func (e *Entry) waitForSpeed(r *request) {
	for waited := false; ; waited = true {
		changed, wait := r.shouldWaitForSpeed(time.Now())
		if !wait {
			return
		}
		if !waited {
			e.Counters.WaitedForSpeed.Add(1)
		}
		timer := time.NewTimer(speedRecheckInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-r.gone:
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// shouldWaitForSpeed reports whether the request should wait, and returns a channel that
// is closed at the next change of the service's servers.
func (r *request) shouldWaitForSpeed(now time.Time) (changed <-chan struct{}, wait bool) {
	if r.stats == nil || r.mayQueue {
		return nil, false
	}
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	demand := r.demand(now)
	best := s.pool.PickFor(now, s.rng, r.tried, demand)
	if best == nil || !s.pool.ShouldAwaitSpeedup(now, best, demand, r.deadline.Sub(now)) {
		return nil, false
	}
	return s.serverChanges.wait(), true
}

// broadcast wakes every goroutine that waits for the next event. The zero value is ready
// to use; the lock of the struct that holds it guards it.
type broadcast struct {
	next chan struct{}
}

// wait returns a channel that the next call of wake closes.
func (b *broadcast) wait() <-chan struct{} {
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

func (b *broadcast) wake() {
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}
