// SPDX-License-Identifier: MIT

package member

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// rememberGoneFor is the time for which the record of a node that is gone is kept, so
	// that an old record of the node does not add it again.
	rememberGoneFor = 10 * time.Minute
	// initialBackoff is the time for which a node is not queried after the first failure to
	// reach it. It doubles with each further failure, up to maxBackoff.
	initialBackoff = time.Second
	maxBackoff     = 4 * time.Second
)

// entry is a record and what only this node knows about the record's node.
type entry struct {
	Record
	failures     int
	backoffUntil time.Time
	// unreachableSince is the time of the first failure to reach the node since it was last
	// reachable; zero if it is reachable.
	unreachableSince time.Time
	goneSince        time.Time
	// ringPosition is the node's position on the ring of its zone.
	ringPosition uint64
	// pastRecord is the node's last record of an earlier incarnation that had a backend
	// server (see mergePast). It is sent to the node when it has restarted.
	pastRecord Record
	// listedLeavingMillis is the time at which the host began to leave according to the
	// platform's list, in Unix milliseconds; 0 if this node has not read that in the list.
	listedLeavingMillis int64
}

// View is a node's view of all nodes. It is not safe for concurrent use.
type View struct {
	self       string
	replaced   bool
	pastRecord Record
	// entries are the known records by host, and hosts their hosts in sorted order.
	entries map[string]*entry
	hosts   []string
	digest  Digest
	// forgotten are the forgotten nodes by host.
	forgotten map[string]forgottenNode
	// Conflicts counts the records of this node's own host with a higher incarnation.
	Conflicts int
}

// NewView returns a view that contains only the node's own record.
func NewView(self Record) *View {
	v := &View{self: self.Host, entries: map[string]*entry{}}
	v.set(self)
	return v
}

// Self returns the node's own record.
func (v *View) Self() Record { return v.entries[v.self].Record }

// Replaced reports whether a newer node with this node's name runs at another address.
func (v *View) Replaced() bool { return v.replaced }

// Len returns the number of known nodes that are not gone.
func (v *View) Len() int {
	n := 0
	for _, e := range v.entries {
		if e.State != Gone {
			n++
		}
	}
	return n
}

// Record returns the record of a host.
func (v *View) Record(host string) (Record, bool) {
	e := v.entries[host]
	if e == nil {
		return Record{}, false
	}
	return e.Record, true
}

// All returns all records, ordered by host.
func (v *View) All() []Record {
	all := make([]Record, len(v.hosts))
	for i, host := range v.hosts {
		all[i] = v.entries[host].Record
	}
	return all
}

// set stores a record, even if it is older than the stored one.
func (v *View) set(r Record) *entry {
	e := v.entries[r.Host]
	if e == nil {
		e = &entry{ringPosition: rendezvous(ringPurpose, r.Host)}
		v.entries[r.Host] = e
		at := sort.SearchStrings(v.hosts, r.Host)
		v.hosts = append(v.hosts, "")
		copy(v.hosts[at+1:], v.hosts[at:])
		v.hosts[at] = r.Host
	} else {
		v.digest[bucketOf(hostHash(r.Host))] ^= e.hash()
	}
	e.Record = r
	v.digest[bucketOf(hostHash(r.Host))] ^= r.hash()
	return e
}

// Merge merges records that another node sent into the view, and reports whether the view
// changed.
func (v *View) Merge(now time.Time, records []Record) bool {
	changed := false
	for _, r := range records {
		if r.Host == v.self {
			changed = v.mergePastRecord(r) || v.mergeSelf(r) || changed
			continue
		}
		old := v.entries[r.Host]
		if old != nil && !r.newer(old.Record) {
			continue
		}
		if old == nil && (r.State == Gone || v.isForgotten(r)) {
			continue
		}
		v.update(now, r)
		changed = true
	}
	return changed
}

// update stores a newer record of another node.
func (v *View) update(now time.Time, r Record) {
	old, known := v.Record(r.Host)
	e := v.set(r)
	if known && old.Incarnation != r.Incarnation {
		e.pastRecord = mergePast(e.pastRecord, old)
	}
	delete(v.forgotten, r.Host)
	e.failures = 0
	e.backoffUntil = time.Time{}
	e.unreachableSince = time.Time{}
	e.goneSince = time.Time{}
	e.listedLeavingMillis = 0
	if r.State == Gone {
		e.goneSince = now
	}
}

// mergeSelf merges a record with this node's own name and reports whether the view changed.
func (v *View) mergeSelf(r Record) bool {
	self := v.entries[v.self].Record
	if !r.newer(self) {
		return false
	}
	if r.Incarnation == self.Incarnation {
		// Another node reports this one as leaving, as the platform's list says, or as gone
		// (see Supersede).
		self.State = max(self.State, Leaving)
		self.Version = r.Version + 1
		v.set(self)
		return true
	}
	v.Conflicts++
	if r.Address != self.Address {
		v.replaced = true
		return false
	}
	v.pastRecord = mergePast(v.pastRecord, r)
	self.Incarnation = r.Incarnation + 1
	v.set(self)
	return true
}

// mergePastRecord stores an older record with this node's own name, which other nodes have
// kept from an earlier incarnation, and reports whether it did.
func (v *View) mergePastRecord(r Record) bool {
	if r.Incarnation >= v.Self().Incarnation {
		return false
	}
	merged := mergePast(v.pastRecord, r)
	changed := merged != v.pastRecord
	v.pastRecord = merged
	return changed
}

// mergePast returns what two records of a node's earlier incarnations tell about its backend
// server: the newer one of those that have a server, with the most advanced state that either
// reports for that server. An incarnation that ended early may not have heard that the server
// was leaving.
func mergePast(a, b Record) Record {
	if b.Server.ID == "" {
		return a
	}
	if a.Server.ID == "" {
		return b
	}
	older, newer := a, b
	if a.newer(b) {
		older, newer = b, a
	}
	if older.Server.ID == newer.Server.ID {
		newer.Server.State = max(older.Server.State, newer.Server.State)
	}
	return newer
}

// PastRecordOf returns the last record of a node's previous incarnation that had a backend
// server, and whether the node itself needs it: because it knows no server, or does not know
// that its server is leaving.
func (v *View) PastRecordOf(host string) (Record, bool) {
	e := v.entries[host]
	if e == nil || e.pastRecord.Host == "" {
		return Record{}, false
	}
	needed := e.Server.ID == "" || (e.Server.ID == e.pastRecord.Server.ID && e.Server.State < e.pastRecord.Server.State)
	return e.pastRecord, needed
}

// PastRecord returns this node's last record of an earlier incarnation, as other nodes have
// kept it. Its Host is blank if no node has sent one.
func (v *View) PastRecord() Record { return v.pastRecord }

// SetServer changes the backend server in the node's own record.
func (v *View) SetServer(s Server) {
	self := v.Self()
	if self.Server == s {
		return
	}
	self.Server = s
	self.Version++
	v.set(self)
}

// SetStoreLost changes StoreLost in the node's own record and reports whether the record
// changed.
func (v *View) SetStoreLost(lost bool) bool {
	self := v.Self()
	if self.StoreLost == lost {
		return false
	}
	self.StoreLost = lost
	self.Version++
	v.set(self)
	return true
}

// SetSelfState advances the node's own state. It ignores an earlier state.
func (v *View) SetSelfState(s State) {
	self := v.Self()
	self.State = max(self.State, s)
	self.Version++
	v.set(self)
}

// Digest returns the digest of all records.
func (v *View) Digest() Digest { return v.digest }

// Supersede records that a host was found at an address: other hosts whose records have that
// address become Gone. It reports whether there were any.
func (v *View) Supersede(now time.Time, host, address string) bool {
	changed := false
	for _, old := range v.hosts {
		r := v.entries[old].Record
		if old == host || old == v.self || r.Address != address || r.State == Gone {
			continue
		}
		r.State = Gone
		r.Version++
		v.update(now, r)
		changed = true
	}
	return changed
}

// MarkReachable records that a node answered.
func (v *View) MarkReachable(host string) {
	if e := v.entries[host]; e != nil {
		e.failures = 0
		e.backoffUntil = time.Time{}
		e.unreachableSince = time.Time{}
	}
}

// MarkUnreachable records that a node could not be reached.
func (v *View) MarkUnreachable(now time.Time, host string) {
	if e := v.entries[host]; e != nil {
		backoff := min(initialBackoff<<min(e.failures, 10), maxBackoff)
		e.failures++
		e.backoffUntil = now.Add(backoff)
		if e.unreachableSince.IsZero() {
			e.unreachableSince = now
		}
	}
}

// BackedOff returns the hosts that this node does not query at the moment, because it could
// not reach them recently.
func (v *View) BackedOff(now time.Time) []string {
	var hosts []string
	for _, host := range v.hosts {
		if now.Before(v.entries[host].backoffUntil) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// RemoveExpired removes nodes that have been gone, and forgets nodes that have been
// unreachable, for a long time.
func (v *View) RemoveExpired(now time.Time) {
	for host, e := range v.entries {
		if e.State == Gone && !e.goneSince.IsZero() && now.Sub(e.goneSince) >= rememberGoneFor && host != v.self {
			v.remove(host)
		}
	}
	v.forgetUnreachable(now)
}

// remove removes a node from the view.
func (v *View) remove(host string) {
	v.digest[bucketOf(hostHash(host))] ^= v.entries[host].hash()
	delete(v.entries, host)
	at := sort.SearchStrings(v.hosts, host)
	v.hosts = append(v.hosts[:at], v.hosts[at+1:]...)
}

// Rank returns this node's rank, from 0, among the live nodes of its zone. The order is that
// of the rendezvous hashes of their names with a purpose, the highest first. Nodes with the
// same view agree on it.
func (v *View) Rank(purpose string) int {
	return len(v.higherRanked(purpose))
}

// StoreLostBefore returns how many of the nodes that come before this one in rank report that
// their calls to the store fail.
func (v *View) StoreLostBefore(purpose string) int { return v.Standing(purpose).StoreLost }

// HigherRanked returns the live nodes of this node's zone that come before it in rank, in the
// order of their rank, with those that could not be reached recently if unreachable is set, and
// at most limit.
func (v *View) HigherRanked(purpose string, unreachable bool, limit int) []Record {
	higher := v.higherRanked(purpose)
	if !unreachable {
		higher = slices.DeleteFunc(higher, func(e *entry) bool { return !e.unreachableSince.IsZero() })
	}
	slices.SortFunc(higher, func(a, b *entry) int {
		if byRank := cmp.Compare(rendezvous(purpose, b.Host), rendezvous(purpose, a.Host)); byRank != 0 {
			return byRank
		}
		return cmp.Compare(a.Host, b.Host)
	})
	records := make([]Record, min(len(higher), limit))
	for i := range records {
		records[i] = higher[i].Record
	}
	return records
}

// Standing is what a view tells about the nodes that come before its own node in rank.
type Standing struct {
	// Rank is their number; see Rank.
	Rank int
	// StoreLost is how many of them report that their calls to the store fail, and Reachable how
	// many were reached when they were last queried, or never queried.
	StoreLost, Reachable int
}

// Standing returns this node's standing among the nodes of its zone.
func (v *View) Standing(purpose string) Standing {
	higher := v.higherRanked(purpose)
	standing := Standing{Rank: len(higher)}
	for _, e := range higher {
		if e.StoreLost {
			standing.StoreLost++
		}
		if e.unreachableSince.IsZero() {
			standing.Reachable++
		}
	}
	return standing
}

// higherRanked returns the live nodes of this node's zone that come before it in rank.
func (v *View) higherRanked(purpose string) []*entry {
	self := v.Self()
	own := rendezvous(purpose, self.Host)
	var higher []*entry
	for host, e := range v.entries {
		if host == v.self || e.Zone != self.Zone || e.State != Live {
			continue
		}
		weight := rendezvous(purpose, host)
		if weight > own || (weight == own && host < self.Host) {
			higher = append(higher, e)
		}
	}
	return higher
}

// rendezvous returns the rendezvous hash of a host for a purpose.
func rendezvous(purpose, host string) uint64 {
	return xxhash.Sum64String(purpose + "\x00" + host)
}
