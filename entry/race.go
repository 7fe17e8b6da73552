// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/peer"
	"github.com/ryehaven/ryehaven/retry"
	"github.com/ryehaven/ryehaven/wire"
)

// race waits for the first of an attempt and the hedge that may join it.
type race struct {
	entry   *Entry
	request *request
	first   *attempt
	// hedge is nil while there is none.
	hedge *attempt
	// suspected is closed when the first attempt's node becomes suspected.
	suspected <-chan struct{}
	// lookAgain is when a request at a suspected node looks for another one again;
	// nil while there is no such.
	lookAgain <-chan time.Time
	// awaited says that the node's word on another connection has been waited for.
	awaited bool
	// left says that the hedge was sent because the first attempt's node was silent,
	// and hedgeSuspected is closed when the hedge's own becomes suspected.
	left           bool
	hedgeSuspected <-chan struct{}
	// settle is when the silent node is asked not to begin any more what the hedge that
	// took its place has begun.
	settle <-chan time.Time
}

// run waits until an attempt decides, and returns it.
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
			decided = w.firstSuspected()
		case <-w.lookAgain:
			decided = w.firstSuspected()
		case <-w.settle:
			w.withdrawSilent()
		case <-w.hedgeSuspected:
			w.hedgeFellSilent()
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

// hedgeDue sends a hedge, if there is none, and returns when to think of one again;
// nil for not any more.
func (w *race) hedgeDue(timer *time.Timer, plan hedgePlan) <-chan time.Time {
	if w.hedge == nil {
		w.hedge = w.entry.hedge(w.request, w.first, plan)
	}
	if w.hedge != nil || plan.every == 0 {
		return nil
	}
	timer.Reset(plan.every)
	return timer.C
}

func (w *race) hedgeHead() <-chan peer.Head {
	if w.hedge == nil {
		return nil
	}
	return w.hedge.call.Head()
}

// firstEnded takes the end of the first attempt. Unless it was answered, a
// hedge goes on in its place.
func (w *race) firstEnded(head peer.Head) *attempt {
	first := w.first
	w.entry.endHead(w.request, first, head)
	if w.hedge == nil {
		return first
	}
	if first.outcome == retry.Answered {
		w.entry.dropLoser(w.request, w.hedge)
		return first
	}
	w.request.note(first)
	if w.left && !first.reached() {
		w.request.reached-- // The hedge is counted once it has ended.
	}
	w.promote()
	return nil
}

// promote has the hedge go on in place of the first attempt.
func (w *race) promote() {
	w.first, w.hedge = w.hedge, nil
	w.suspected, w.hedgeSuspected = w.hedgeSuspected, nil
	w.left, w.awaited, w.lookAgain, w.settle = false, false, nil, nil
}

// withdrawSilent asks the first attempt's node, which was silent, not to begin the request
// any more: a gate that has not refused by now has taken it, and what a node finds unread
// when it is back would run twice. Given up as a whole, the work that its server was at
// was thrown away, and its caller got 502 where the other server then gave none either.
func (w *race) withdrawSilent() {
	w.settle = nil
	if w.hedge == nil || !w.left || w.first.call.Withdraw() {
		return
	}
	w.leaveSilent() // A node of an older build can't be asked.
}

// hedgeFellSilent leaves the first attempt's node if the other's has fallen silent too, so
// that this one can be left in its turn.
func (w *race) hedgeFellSilent() {
	if w.left && w.first.call.Conn().IsSuspected() {
		w.leaveSilent()
		return
	}
	w.hedgeSuspected = nil
}

// leaveSilent gives up the first attempt for the hedge.
func (w *race) leaveSilent() {
	w.entry.endSilent(w.request, w.first)
	w.request.note(w.first)
	w.promote()
}

// hedgeEnded takes the end of the hedge. Unless it was answered, the first
// attempt goes on alone.
func (w *race) hedgeEnded(head peer.Head) *attempt {
	hedge := w.hedge
	w.entry.endHead(w.request, hedge, head)
	if hedge.outcome != retry.Answered {
		w.request.note(hedge)
		if (w.left || hedge.notArrived) && !hedge.reached() {
			w.request.reached--
		}
		w.hedge, w.left, w.hedgeSuspected, w.settle = nil, false, nil, nil
		w.lookAgain = time.After(suspectedLook)
		return nil
	}
	if w.left {
		w.entry.endSilent(w.request, w.first)
		return hedge
	}
	w.entry.Counters.HedgesWon.Add(1)
	w.entry.dropLoser(w.request, w.first)
	return hedge
}

const (
	// wordAfter is how long the word of a silent node is awaited that comes on another
	// connection if only the first has gone silent: some round trips between zones. So
	// when all are silent at once the budget is not spent on servers that are silent too.
	wordAfter = 20 * time.Millisecond
	// suspectedLook is how often a request at a suspected node looks for another one.
	suspectedLook = 20 * time.Millisecond
	// settleAfter is how long a request that was sent to another server stays at the
	// silent one too: a gate without room says so within a round trip.
	settleAfter = 20 * time.Millisecond
)

// firstSuspected sends a repeatable request whose node is silent to another server
// too, if one can be asked: on a busy host all may be silent for a moment. The silent
// node may still answer, and is the only one to do so if the other refuses.
func (w *race) firstSuspected() *attempt {
	w.suspected, w.lookAgain = nil, nil
	if !w.request.message.Repeatable || w.request.suspect || w.hedge != nil {
		return nil
	}
	if conn := w.first.call.Conn(); !conn.IsSuspected() {
		w.suspected, w.awaited = conn.Suspected(), false // It speaks again, or on another connection.
		return nil
	}
	if !w.awaited {
		w.awaited = true
		w.lookAgain = time.After(wordAfter)
		return nil
	}
	if !w.entry.leave(w.request, w.first) {
		w.lookAgain = time.After(suspectedLook)
		return nil
	}
	if !w.request.message.Last {
		// A body that is still on its way goes to one server at a time.
		w.entry.endSilent(w.request, w.first)
		return w.first
	}
	w.hedge, w.hedgeSuspected = w.entry.beside(w.request)
	w.left = w.hedge != nil
	if w.left {
		w.settle = time.After(settleAfter)
	} else {
		w.lookAgain = time.After(suspectedLook)
	}
	return nil
}

// beside sends a request that was paid for to another server while the first keeps
// it. The attempt is nil when that could not be sent.
func (e *Entry) beside(r *request) (*attempt, <-chan struct{}) {
	r.paid = false
	a := r.pick(time.Now())
	if a == nil {
		return nil, nil
	}
	a.again = true
	suspected := e.send(r, a)
	if a.call == nil {
		r.note(a)
		return nil, nil
	}
	r.reached++
	return a, suspected
}

func (w *race) callerGone() *attempt {
	w.entry.Counters.CallerGone.Add(1)
	w.entry.dropLoser(w.request, w.hedge)
	w.entry.dropLoser(w.request, w.first)
	w.first.outcome, w.first.final = retry.Unknown, true
	return w.first
}

func (w *race) deadlinePassed() *attempt {
	if w.hedge != nil {
		w.request.mayHaveRun = true
		w.entry.dropLoser(w.request, w.hedge)
	}
	w.entry.endDeadline(w.request, w.first)
	return w.first
}

// dropLoser gives up an attempt that is no longer needed. That it has taken so
// long already says something of its server.
func (e *Entry) dropLoser(r *request, a *attempt) {
	if a == nil {
		return
	}
	a.call.Abandon()
	a.dropped = true
	e.end(r, a, balance.Result{Latency: time.Since(a.began), TimedOut: true})
}

// observe learns from an answer of a server.
func (r *request) observe(latency time.Duration, answer *wire.Response) {
	if r.traits != nil {
		r.traits.observe(latency, answer.Slowness, r.size()+frameSize(answer.Header, int(max(answer.Length, int64(len(answer.Body))))))
		return
	}
	r.service.mu.Lock()
	r.service.delay.Observe(latency)
	r.service.mu.Unlock()
}
