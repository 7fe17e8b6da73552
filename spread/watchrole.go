// SPDX-License-Identifier: MIT

package spread

import (
	"context"
	"time"

	"github.com/ryehaven/ryehaven/member"
)

// The store may be unreachable for just the nodes that watch it, while it serves others: it is
// cut off from them, refuses their calls or does not reply. A node that loses the store says
// so in its record, and other nodes of its zone watch until the store serves it again.
const (
	// backupWatchers is how many nodes of a zone watch in place of those that lost the store.
	// All of them start at once, because only trying shows which of them reach the store. More
	// of them would only add calls to a store that is down for all nodes.
	backupWatchers = 4
	// maxBackupBackoff bounds the delay of a backup watcher after a failed call. It is long
	// because the zone's regular watchers already call the store every two seconds while it is
	// down for all nodes.
	maxBackupBackoff = 20 * time.Second
	// regainedAfter is how long after its last failed call a node reports that it has the
	// store again. A watcher for which every other call fails can't be relied on.
	regainedAfter = 5 * time.Second
)

// watchRole is a node's role in watching the store for its zone.
type watchRole int

const (
	// noRole: the node does not watch and receives changes from other nodes.
	noRole watchRole = iota
	// backupWatcher: the node watches while a higher-ranked node has lost the store.
	backupWatcher
	// cutOffWatcher: the node watches while it can reach no higher-ranked node.
	cutOffWatcher
	// zoneWatcher: the node is one of the first of its zone, which always watch.
	zoneWatcher
)

// role returns this node's role.
func (s *Spread) role() watchRole {
	s.mu.Lock()
	defer s.mu.Unlock()
	standing := s.view.Standing(watchRankPurpose)
	switch {
	case standing.Rank < watchers:
		return zoneWatcher
	case standing.Rank < watchers+backupWatchers && standing.StoreLost > 0:
		return backupWatcher
	case standing.Reachable == 0:
		return cutOffWatcher
	}
	return noRole
}

// reportsStoreLost reports whether this node's record says that it has lost the store.
func (s *Spread) reportsStoreLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Self().StoreLost
}

// noteStore records the result of a call to the store, unless the node is stopping, and
// announces this node's record when the store is lost or regained.
func (s *Spread) noteStore(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	s.storeOutage.note(s.log, now, err)
	s.mu.Lock()
	if isLost(err) {
		s.lastStoreFailure = now
	}
	changed := s.view.SetStoreLost(!s.lastStoreFailure.IsZero() && now.Sub(s.lastStoreFailure) < regainedAfter)
	s.mu.Unlock()
	if changed {
		s.Announce()
	}
}

// higherRankedLostStore reports whether a node with a higher rank than this one has lost the
// store.
func (s *Spread) higherRankedLostStore() (lost bool) {
	s.View(func(v *member.View) { lost = v.StoreLostBefore(watchRankPurpose) > 0 })
	return lost
}

// MayBeStale reports whether the table in force may not be the newest. That is so if the last
// confirmation is older than a watch takes, if this node has had no contact since the host
// resumed from a suspension, or if this node or a higher-ranked node of its zone has lost the
// store: changes may then have been missed.
func (s *Spread) MayBeStale(now time.Time) bool {
	age, confirmed := s.ConfirmedAge(now)
	return !confirmed || age > s.settings.WatchWait+regainedAfter || s.noContactSinceResume() || s.reportsStoreLost() || s.higherRankedLostStore()
}

// noContactSinceResume reports whether this node has neither exchanged digests nor confirmed
// the table itself since the host resumed from a suspension. It may then have missed changes,
// however recent its confirmation seems to be.
func (s *Spread) noContactSinceResume() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastExchange.After(s.lastResumed) && !s.ownConfirmed.After(s.lastResumed)
}

// Resumed is called after the host was suspended for some time. It moves all recorded times
// back by that time, since the monotonic clock stood still, starts exchanges with other nodes
// and checks the connection to the store.
func (s *Spread) Resumed(now time.Time, slept time.Duration) {
	s.mu.Lock()
	s.lastResumed = now
	for _, at := range []*time.Time{&s.confirmed, &s.proven, &s.ownConfirmed, &s.othersConfirmed, &s.lastExchange} {
		if !at.IsZero() {
			*at = at.Add(-slept)
		}
	}
	s.mu.Unlock()
	s.requestGossip()
	wake(s.recheck)
}
