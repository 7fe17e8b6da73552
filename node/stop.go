// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/gate"
	"github.com/ryehaven/ryehaven/member"
)

// ErrStopTimeout is returned by Run if requests were still pending when a planned stop
// reached its timeout.
var ErrStopTimeout = eris.New("stop timeout reached before all requests were answered")

// ErrAborted is returned by Run after Abort.
var ErrAborted = eris.New("node was aborted")

// Abort ends the node at once without a planned stop, as a crash would, for tests of
// failures. Run returns ErrAborted.
func (n *Node) Abort() {
	select {
	case <-n.aborted:
	default:
		close(n.aborted)
	}
}

const (
	// acceptGrace is how long after the start of a stop new connections are still
	// accepted, from callers that do not know of the stop yet.
	acceptGrace      = 500 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
	// finalStateDelay is the time for the node's final state to reach other nodes.
	finalStateDelay = 100 * time.Millisecond
)

// stop performs a planned stop, which answers all pending requests.
func (n *Node) stop() error {
	began := time.Now()
	n.stopping.Store(true)
	n.log.Info("node stopping", zap.Duration("bound", n.settings.Limits.StopTimeout))
	deadline := began.Add(n.settings.Limits.StopTimeout)
	if n.settings.Sidecar.Control != "" {
		return n.stopSidecar(began, deadline)
	}
	n.entry.Stop(began.Add(acceptGrace), deadline)
	n.drainGates(began)
	time.Sleep(min(acceptGrace, time.Until(deadline)))
	n.callers.Close()
	for n.pendingCount() > 0 {
		if time.Now().After(deadline) {
			n.log.Warn("stop timeout reached; pending requests are aborted", zap.Int64("unfinished", n.pendingCount()))
			return ErrStopTimeout
		}
		time.Sleep(stopPollInterval)
	}
	n.announceState(member.Gone)
	time.Sleep(finalStateDelay)
	return nil
}

// Timing of a planned stop of a node whose callers query its readiness.
const (
	// notReadyNoticeTime is how long callers take to notice that the node is not ready:
	// two queries, a second apart, and the time for requests already on their way.
	notReadyNoticeTime = 2200 * time.Millisecond
	// gateDrainDelay is how long the gate still accepts new requests. Its server continues
	// to run, and other nodes can reach it only through this gate.
	gateDrainDelay = 1400 * time.Millisecond
	// quietPeriod is how long the node must have had no requests before it ends.
	quietPeriod = 300 * time.Millisecond
	// killMargin is how long before the stop timeout the node ends in any case, so that it
	// is not killed.
	killMargin = 700 * time.Millisecond
)

// drainGates makes the gates refuse new requests and announces to other nodes that this node
// is leaving.
func (n *Node) drainGates(now time.Time) {
	n.draining.Store(true)
	for _, g := range n.allGates() {
		g.SetDrain(gate.DrainNode, true, now)
	}
	n.announceState(member.Leaving)
}

// shutdownTimeout returns how long callers' connections may stay open after a stop that
// began at the given time, so that a request that was being read when the ports were closed
// is still answered.
func (n *Node) shutdownTimeout(began time.Time) time.Duration {
	if n.settings.Sidecar.Control == "" {
		return finalStateDelay
	}
	return time.Until(began.Add(n.settings.Limits.StopTimeout - killMargin/2))
}

// stopSidecar continues to serve until callers have noticed that the node is not ready and
// all requests are answered. It does not announce the node as gone, so that other nodes keep
// its record: the node may start again on this host and depends on their records then.
func (n *Node) stopSidecar(began, deadline time.Time) error {
	n.entry.Stop(began.Add(notReadyNoticeTime), deadline.Add(-killMargin))
	quietSince := time.Now()
	for {
		time.Sleep(stopPollInterval)
		now := time.Now()
		if now.Sub(began) >= gateDrainDelay && !n.draining.Load() {
			n.drainGates(now)
		}
		if n.busy() {
			quietSince = now
		}
		if now.Sub(began) >= notReadyNoticeTime && now.Sub(quietSince) >= quietPeriod {
			return nil
		}
		if now.After(deadline.Add(-killMargin)) {
			pending := n.pendingRequests(now)
			n.log.Warn("stop timeout reached with requests pending", zap.Int("entry", n.entry.Active()), zap.Int("held", len(pending)), zap.Array("requests", pending))
			return ErrStopTimeout
		}
	}
}

// pendingRequests lists the requests that the stop still waits for.
func (n *Node) pendingRequests(now time.Time) event.PendingRequests {
	pending := n.entry.InFlight(now)
	for _, g := range n.allGates() {
		pending = append(pending, g.PendingRequests(now)...)
	}
	return pending
}

// pendingCount returns the number of callers' connections plus that of requests at gates.
func (n *Node) pendingCount() int64 {
	sum := n.openConns.Load()
	for _, g := range n.allGates() {
		sum += int64(g.Pending())
	}
	return sum
}

// announceState changes the state in this node's record and sends it to other nodes.
func (n *Node) announceState(s member.State) {
	n.spread.View(func(v *member.View) { v.SetSelfState(s) })
	n.spread.Announce()
}
