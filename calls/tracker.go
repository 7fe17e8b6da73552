// SPDX-License-Identifier: MIT

package calls

import "time"

// Tracker combines all that a node learns of calls. The zero value knows nothing. It is safe for
// concurrent use.
type Tracker struct {
	Graph
	CallClassifier
	Outcomes
}

// RequestArrived records a request for a route at this host. If the backend server of this node
// sent it as a call, ok is true and the priority is that of the run that made it.
func (t *Tracker) RequestArrived(now time.Time, route Route) (priority uint8, ok bool) {
	if route == 0 || !t.CallClassifier.ClassifyArrival(route, t.ServerBusy()) {
		return 0, false
	}
	return t.CallStarted(now, route)
}

// CallAnswered records that such a call was answered, and how long it took.
func (t *Tracker) CallAnswered(now time.Time, route Route, took time.Duration) {
	t.CallEnded(now, route, took)
	t.Answered(now, route, took)
}

// CallRefused records that such a call was not run, for lack of capacity or time; retryAfter is when
// to retry it, 0 if that is not known.
func (t *Tracker) CallRefused(now time.Time, route Route, retryAfter time.Duration) {
	t.CallEnded(now, route, 0)
	t.Refused(now, route, retryAfter)
}
