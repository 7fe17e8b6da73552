// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/peer"
	"github.com/ryehaven/ryehaven/retry"
	"github.com/ryehaven/ryehaven/wire"
)

// race waits for the earlier result of an attempt and a hedge that may run in parallel.
type race struct {
	entry   *Entry
	request *request
	first   *attempt
	// hedge is nil while there is none.
	hedge *attempt
	// suspected is closed when the first attempt's node becomes suspected.
	suspected <-chan struct{}
	// recheck fires when a request at a suspected node looks for another node again; nil
	// while none is needed.
	recheck <-chan time.Time
	// waitedForReply says that the request has already waited for the node to answer on
	// another connection.
	waitedForReply bool
	// failedOver says that the hedge was sent because the first attempt's node was
	// unresponsive. hedgeSuspected is closed when the hedge's own node becomes suspected.
	failedOver     bool
	hedgeSuspected <-chan struct{}
	// withdrawAt fires when the unresponsive node is to be notified not to start the request
	// any more, because the hedge has taken over.
	withdrawAt <-chan time.Time
}

// run waits until one attempt decides the result, and returns that attempt.
func (w *race) run() *attempt {
	deadline := time.NewTimer(time.Until(w.request.deadline))
	defer deadline.Stop()
	var hedgeAt <-chan time.Time
	var timer *time.Timer
	plan, ok := w.entry.hedgePlan(w.request)
	if ok {
		timer = time.NewTimer(plan.first)
		defer timer.Stop()
		hedgeAt = timer.C
	}
	for {
		var decided *attempt
		select {
		case head := <-w.first.call.Head():
			decided = w.firstEnded(head)
		case head := <-w.hedgeHead():
			decided = w.hedgeEnded(head)
		case <-hedgeAt:
			hedgeAt = w.hedgeDue(timer, plan)
		case <-w.suspected:
			decided = w.firstNodeSuspected()
		case <-w.recheck:
			decided = w.firstNodeSuspected()
		case <-w.withdrawAt:
			w.withdrawUnresponsive()
		case <-w.hedgeSuspected:
			w.hedgeNodeSuspected()
		case <-w.request.gone:
			decided = w.callerGone()
		case <-deadline.C:
			decided = w.deadlinePassed()
		}
		if decided != nil {
			return decided
		}
	}
}

// hedgeDue sends a hedge if there is none, and returns the time of the next check; nil if
// there is no further check.
func (w *race) hedgeDue(timer *time.Timer, plan hedgePlan) <-chan time.Time {
	if w.hedge == nil {
		w.hedge = w.entry.hedge(w.request, w.first, plan)
	}
	if w.hedge != nil || plan.interval == 0 {
		return nil
	}
	timer.Reset(plan.interval)
	return timer.C
}

func (w *race) hedgeHead() <-chan peer.Head {
	if w.hedge == nil {
		return nil
	}
	return w.hedge.call.Head()
}

// firstEnded handles the end of the first attempt. Unless that was answered, a running
// hedge takes its place.
func (w *race) firstEnded(head peer.Head) *attempt {
	first := w.first
	w.entry.endWithHead(w.request, first, head)
	if w.hedge == nil {
		return first
	}
	if first.outcome == retry.Answered {
		w.entry.dropAttempt(w.request, w.hedge)
		return first
	}
	w.request.noteOutcome(first)
	if w.failedOver && !first.reached() {
		w.request.serversReached-- // The hedge is counted once it has ended.
	}
	w.promote()
	return nil
}

// promote makes the hedge the first attempt.
func (w *race) promote() {
	w.first, w.hedge = w.hedge, nil
	w.suspected, w.hedgeSuspected = w.hedgeSuspected, nil
	w.failedOver, w.waitedForReply, w.recheck, w.withdrawAt = false, false, nil, nil
}

// withdrawUnresponsive notifies the first attempt's unresponsive node not to start the
// request any more. A gate that has not refused the request by now has accepted it, and a
// node that reads it only after the stall would run it a second time. The attempt isn't
// abandoned altogether, because that threw away the work of the unresponsive node's
// server, and the caller got 502 when the other server did not answer either.
func (w *race) withdrawUnresponsive() {
	w.withdrawAt = nil
	if w.hedge == nil || !w.failedOver || w.first.call.Withdraw() {
		return
	}
	w.abandonUnresponsive() // A node of an older build does not know wire.Withdraw.
}

// hedgeNodeSuspected gives up the first attempt if the hedge's node has become
// unresponsive too, so that the request can fail over from that node in turn.
func (w *race) hedgeNodeSuspected() {
	if w.failedOver && w.first.call.Conn().IsSuspected() {
		w.abandonUnresponsive()
		return
	}
	w.hedgeSuspected = nil
}

// abandonUnresponsive gives up the first attempt in favor of the hedge.
func (w *race) abandonUnresponsive() {
	w.entry.endUnresponsive(w.request, w.first)
	w.request.noteOutcome(w.first)
	w.promote()
}

// hedgeEnded handles the end of the hedge. Unless that was answered, the first attempt
// goes on alone.
func (w *race) hedgeEnded(head peer.Head) *attempt {
	hedge := w.hedge
	w.entry.endWithHead(w.request, hedge, head)
	if hedge.outcome != retry.Answered {
		w.request.noteOutcome(hedge)
		if (w.failedOver || hedge.notArrived) && !hedge.reached() {
			w.request.serversReached--
		}
		w.hedge, w.failedOver, w.hedgeSuspected, w.withdrawAt = nil, false, nil, nil
		w.recheck = time.After(suspectedRecheckInterval)
		return nil
	}
	if w.failedOver {
		w.entry.endUnresponsive(w.request, w.first)
		return hedge
	}
	w.entry.Counters.HedgesWon.Add(1)
	w.entry.dropAttempt(w.request, w.first)
	return hedge
}

const (
	// replyWait is how long a request waits for an unresponsive node to answer on another
	// connection, as it does if only the first connection has stalled: some round trips
	// between zones. So when all nodes are unresponsive at once, the budget is not spent
	// on other unresponsive servers.
	replyWait = 20 * time.Millisecond
	// suspectedRecheckInterval is how often a request at a suspected node looks for
	// another node.
	suspectedRecheckInterval = 20 * time.Millisecond
	// withdrawAfter is how long a request that was sent to another server stays at the
	// unresponsive one too: a gate without headroom refuses within a round trip.
	withdrawAfter = 20 * time.Millisecond
)

// firstNodeSuspected sends a repeatable request whose node is unresponsive to another
// server as well, if possible: on a busy host all nodes may be unresponsive for a moment.
// The unresponsive node may still answer, and is the only one that can if the other one
// refuses.
func (w *race) firstNodeSuspected() *attempt {
	w.suspected, w.recheck = nil, nil
	if !w.request.message.Repeatable || w.request.suspect || w.hedge != nil {
		return nil
	}
	if conn := w.first.call.Conn(); !conn.IsSuspected() {
		w.suspected, w.waitedForReply = conn.Suspected(), false // The node responds again, or has another connection.
		return nil
	}
	if !w.waitedForReply {
		w.waitedForReply = true
		w.recheck = time.After(replyWait)
		return nil
	}
	if !w.entry.payForFailover(w.request, w.first) {
		w.recheck = time.After(suspectedRecheckInterval)
		return nil
	}
	if !w.request.message.Last {
		// A body that is still being sent goes to one server at a time.
		w.entry.endUnresponsive(w.request, w.first)
		return w.first
	}
	w.hedge, w.hedgeSuspected = w.entry.startFailover(w.request)
	w.failedOver = w.hedge != nil
	if w.failedOver {
		w.withdrawAt = time.After(withdrawAfter)
	} else {
		w.recheck = time.After(suspectedRecheckInterval)
	}
	return nil
}

// startFailover sends a request, already charged to the budget, to another server while
// the first one keeps it. The attempt is nil if the request could not be sent.
func (e *Entry) startFailover(r *request) (*attempt, <-chan struct{}) {
	r.nextPaid = false
	a := r.pick(time.Now())
	if a == nil {
		return nil, nil
	}
	a.concurrent = true
	suspected := e.send(r, a)
	if a.call == nil {
		r.noteOutcome(a)
		return nil, nil
	}
	r.serversReached++
	return a, suspected
}

func (w *race) callerGone() *attempt {
	w.entry.Counters.CallerGone.Add(1)
	w.entry.dropAttempt(w.request, w.hedge)
	w.entry.dropAttempt(w.request, w.first)
	w.first.outcome, w.first.final = retry.Unknown, true
	return w.first
}

func (w *race) deadlinePassed() *attempt {
	if w.hedge != nil {
		w.request.mayHaveRun = true
		w.entry.dropAttempt(w.request, w.hedge)
	}
	w.entry.endDeadline(w.request, w.first)
	return w.first
}

// dropAttempt gives up an attempt that is no longer needed. The time that it has taken so
// far still counts for its server.
func (e *Entry) dropAttempt(r *request, a *attempt) {
	if a == nil {
		return
	}
	a.call.Abandon()
	a.dropped = true
	e.endAttempt(r, a, balance.Result{Latency: time.Since(a.began), TimedOut: true})
}

// observeAnswer learns from a server's answer.
func (r *request) observeAnswer(latency time.Duration, answer *wire.Response) {
	if r.stats != nil {
		r.stats.observe(latency, answer.Slowness, r.size()+frameSize(answer.Header, int(max(answer.Length, int64(len(answer.Body))))))
		return
	}
	r.service.mu.Lock()
	r.service.delay.Observe(latency)
	r.service.mu.Unlock()
}
