// SPDX-License-Identifier: MIT

package member

import "time"

// Some nodes disappear without announcing that they leave, because their hosts were removed
// while the nodes were killed, frozen or disconnected. A node that has not been able to reach
// such a node for a long time forgets it. Each node does so on its own, and does not accept
// the old record again from nodes that have not forgotten it yet. A forgotten node that is
// alive after all is added again when any newer record of it arrives.
const (
	// forgetUnreachableAfter is the time after which an unreachable node is forgotten. Links
	// between regions occasionally fail for an hour, and forgotten nodes that are alive are
	// added again on their own, so forgetting too early costs only additional traffic.
	forgetUnreachableAfter = 2 * time.Hour
	// rememberForgottenFor is the time for which old records of a forgotten node are
	// rejected. By then all other nodes have forgotten it, too.
	rememberForgottenFor = 2 * forgetUnreachableAfter
)

// forgottenNode is the last record of a forgotten node.
type forgottenNode struct {
	Record
	since time.Time
}

// forgetUnreachable forgets nodes that have been unreachable for a long time, and drops the
// last records of those that were forgotten long ago.
func (v *View) forgetUnreachable(now time.Time) {
	for host, e := range v.entries {
		if host == v.self || e.unreachableSince.IsZero() || now.Sub(e.unreachableSince) < forgetUnreachableAfter {
			continue
		}
		if v.forgotten == nil {
			v.forgotten = map[string]forgottenNode{}
		}
		v.forgotten[host] = forgottenNode{e.Record, now}
		v.remove(host)
	}
	for host, f := range v.forgotten {
		if now.Sub(f.since) >= rememberForgottenFor {
			delete(v.forgotten, host)
		}
	}
}

// isForgotten reports whether a record is not newer than that of a forgotten node.
func (v *View) isForgotten(r Record) bool {
	f, ok := v.forgotten[r.Host]
	return ok && !r.newer(f.Record)
}

// HasForgotten reports whether the node of a host at an address has been forgotten, so that
// it can be removed from lists of hosts.
func (v *View) HasForgotten(host, address string) bool {
	f, ok := v.forgotten[host]
	return ok && f.Address == address
}

// LiveCount returns the number of live nodes, including this one in any state.
func (v *View) LiveCount() int {
	n := 0
	for host, e := range v.entries {
		if e.State == Live || host == v.self {
			n++
		}
	}
	return n
}
