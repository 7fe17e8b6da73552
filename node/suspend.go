// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"go.uber.org/zap"
)

// checkSuspension detects that the host was suspended. The table is then treated as possibly
// stale until another node has responded, so that an old table does not reject valid
// requests as wrong. All connections are checked, since their peers may have closed them
// meanwhile.
func (n *Node) checkSuspension(now time.Time) {
	slept := n.suspendDetector.Check()
	if slept == 0 {
		return
	}
	n.suspensions.Add(1)
	n.log.Warn("the host was suspended; the table and member records may be out of date", zap.Duration("for", slept))
	n.spread.Resumed(now, slept)
	n.connectionStalled()
}

// tableMayBeStale reports whether the table in force may no longer be the newest one. It
// checks for a suspension, since a request may arrive before the first tick after one.
func (n *Node) tableMayBeStale(now time.Time) bool {
	n.checkSuspension(now)
	return n.spread.MayBeStale(now)
}

// keysUpToDate reports whether the node may rely on the keys in force. It checks for a
// suspension, since a request may arrive before the first tick after one.
func (n *Node) keysUpToDate(now time.Time) bool {
	n.checkSuspension(now)
	return n.spread.ProvenNewest(now)
}
