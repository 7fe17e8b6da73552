// SPDX-License-Identifier: MIT

package entry

import "time"

const (
	// nodeWait is how long a request that reached no node waits for a server's node to
	// respond again, and nodePollInterval is how often it checks. Nodes that were paused
	// together, as on a busy host, respond within milliseconds of each other.
	nodeWait         = 100 * time.Millisecond
	nodePollInterval = 10 * time.Millisecond
)

// waitForNode waits until some server can be reached, for a request that has reached no
// node while all other nodes were unresponsive: it was not sent at all, or was sent on a
// stalled connection. It reports whether there is such a server; if not, the request is
// refused as not run.
func (e *Entry) waitForNode(r *request, a *attempt) bool {
	if !(a.unsent || a.notArrived) || a.budgetDenied || e.settings.NoRetries || !r.body.replayable() {
		return false
	}
	until := time.Now().Add(nodeWait)
	for _, bound := range []time.Time{r.refuseBy, r.deadline} {
		if !bound.IsZero() && bound.Before(until) {
			until = bound
		}
	}
	reachable := r.pollUntil(nodePollInterval, until, func() bool { return r.canReachServer(a) })
	if reachable {
		e.Counters.WaitedForNode.Add(1)
	}
	return reachable
}

// canReachServer reports whether some server, including those already tried, is healthy now,
// and charges the budget for going there.
func (r *request) canReachServer(a *attempt) bool {
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.pool.CountUntried(now, nil) == 0 || r.attempts >= s.retryLimits.SendLimit() || !s.retryBudget.Take(now, a.retryCost(&s.retryLimits)) {
		return false
	}
	r.tried = nil
	return true
}
