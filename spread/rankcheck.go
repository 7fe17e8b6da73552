// SPDX-License-Identifier: MIT

package spread

import (
	"context"
	"slices"
	"time"

	"github.com/ryehaven/ryehaven/member"
)

// Nodes that are cut off together reach each other, so that none of them is isolated, and none of
// them may be a watcher of its zone. A node that could not reach another one therefore asks those of
// its zone that come before it in rank, the first ones first, until one of them answers. If none
// does, it is the first of a group and watches.
const (
	// rankCheckBatch is how many nodes are asked at once, and maxRankChecks how many times in a
	// row if none answers.
	rankCheckBatch = 4
	maxRankChecks  = 4
	// rankCheckInterval is the minimum time between two checks, and the time between checks
	// whether a higher-ranked node can be reached again.
	rankCheckInterval = time.Second
)

// runRankChecks checks the higher-ranked nodes when another node could not be reached.
func (s *Spread) runRankChecks(ctx context.Context) {
	for ctx.Err() == nil {
		if s.role() != cutOffWatcher {
			select {
			case <-ctx.Done():
				return
			case <-s.unreached:
			}
		}
		if s.role() == zoneWatcher {
			continue
		}
		s.checkHigherRanked()
		sleep(ctx, s.jitter(rankCheckInterval))
	}
}

// checkHigherRanked exchanges digests with higher-ranked nodes until one of them answers. If that
// one is the first of a group, it may not know that yet and is asked to check, too.
func (s *Spread) checkHigherRanked() {
	for range maxRankChecks {
		reachable := s.higherRanked(false)
		if len(reachable) == 0 {
			s.exchangeAll(s.higherRanked(true))
			return
		}
		if s.exchangeAll(reachable) > 0 {
			s.requestRankCheck()
			return
		}
	}
}

// requestRankCheck asks the first reachable node before this one in rank to check those before
// it, if all watchers of the zone come before it and cannot be reached.
func (s *Spread) requestRankCheck() {
	all, reachable := s.higherRanked(true), s.higherRanked(false)
	if len(all) <= watchers || len(reachable) == 0 {
		return
	}
	if slices.ContainsFunc(all[:watchers], func(r member.Record) bool { return r.Host == reachable[0].Host }) {
		return
	}
	if l, err := s.connect(reachable[0].Address, s.settings.QueryTimeout); err == nil {
		_, _ = l.Ask(TopicRankCheck, nil, s.settings.QueryTimeout) // The next check asks again.
	}
}

// higherRanked returns the first nodes before this one in rank; unreachable includes those that
// could not be reached recently.
func (s *Spread) higherRanked(unreachable bool) (nodes []member.Record) {
	s.View(func(v *member.View) { nodes = v.HigherRanked(watchRankPurpose, unreachable, rankCheckBatch) })
	return nodes
}
