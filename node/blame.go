// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/ryehaven/ryehaven/blame"
	"github.com/ryehaven/ryehaven/event"
)

// blameTracker wraps a blame.Tracker for the node's entry, its gates and package spread. It
// publishes changes to other nodes and logs them.
type blameTracker struct {
	blame.Tracker

	node *Node
}

// Sync implements entry.Blame.
func (b *blameTracker) Sync(address string) { b.node.spread.SyncBlame(address) }

// ServerExited implements gate.Blame.
func (b *blameTracker) ServerExited(now time.Time, exit uint64, inFlight []blame.InFlight) {
	b.logChanges(b.Tracker.ServerExited(now, exit, inFlight), false)
	b.node.spread.PublishBlame()
}

// Answered implements gate.Blame.
func (b *blameTracker) Answered(now time.Time, p blame.Fingerprint) {
	if changes := b.Tracker.Answered(now, p); len(changes) > 0 {
		b.logChanges(changes, false)
		b.node.spread.PublishBlame()
	}
}

// Merge implements spread.Blame.
func (b *blameTracker) Merge(now time.Time, records []blame.Record) (changed bool) {
	changes := b.Tracker.Merge(now, records)
	b.logChanges(changes, true)
	return len(changes) > 0
}

// logChanges logs changes of verdicts. It omits suspects, which the node of their server
// logs with the server's exit, and requests that other nodes report as cleared.
func (b *blameTracker) logChanges(changes []blame.Status, fromPeer bool) {
	for _, c := range changes {
		if c.Verdict == blame.Suspect || (fromPeer && c.Verdict == blame.Clear) {
			continue
		}
		b.node.recorder.Record(&event.Blame{Fingerprint: c.Fingerprint.String(), Verdict: c.Verdict.String(), Exits: c.Exits, BlockedFor: c.BlockedFor, FromPeer: fromPeer})
	}
}
