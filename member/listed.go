// SPDX-License-Identifier: MIT

package member

import "time"

// ListedHost is an entry of the platform's list of hosts, which may be out of date.
type ListedHost struct {
	Host    string
	Address string
	Zone    string
	Region  string
	Leaving bool
	// ChangedMillis is the time at which the list's state of the host was set, in Unix
	// milliseconds.
	ChangedMillis int64
}

// MergeListed merges the platform's list of hosts into the view and reports whether the view
// changed.
//
// The list adds unknown hosts and can mark hosts as leaving. It never removes a host: nodes
// report themselves when they leave, and unreachable nodes are detected by the nodes that
// need them. A leaving state that is older than the host's incarnation applies to an earlier
// incarnation and is ignored.
func (v *View) MergeListed(now time.Time, listed []ListedHost) bool {
	changed := false
	for _, l := range listed {
		changed = v.mergeListedHost(now, l) || changed
	}
	return changed
}

func (v *View) mergeListedHost(now time.Time, l ListedHost) bool {
	e := v.entries[l.Host]
	if e == nil {
		if l.Leaving || v.HasForgotten(l.Host, l.Address) {
			return false
		}
		v.update(now, Record{Host: l.Host, Address: l.Address, Zone: l.Zone, Region: l.Region})
		return true
	}
	isForIncarnation := uint64(max(l.ChangedMillis, 0)) >= e.Incarnation
	if l.Leaving && isForIncarnation && e.State == Live {
		r := e.Record
		r.State = Leaving
		v.set(r)
		e.listedLeavingMillis = l.ChangedMillis
		return true
	}
	if !l.Leaving && e.State == Leaving && e.listedLeavingMillis > 0 && l.ChangedMillis > e.listedLeavingMillis {
		// The list reverted the leaving state. Only a higher incarnation can undo it.
		r := e.Record
		r.State = Live
		r.Incarnation++
		v.set(r)
		e.listedLeavingMillis = 0
		return true
	}
	return false
}
