// SPDX-License-Identifier: MIT

package spread

import "time"

// A node whose requests must not be decided by an old table must know until when its table was
// certainly the newest, however long a reply is delayed by the network, a slow store or a
// pause of this process. A proof is therefore dated from when its query was sent, not from
// when the reply was read.

const (
	// proofRounds is the number of digest rounds within ProvenWithin; a proof needs several
	// rounds to reach every node through others.
	proofRounds = 20
	// proofWatches is the number of replies of the store within ProvenWithin.
	proofWatches = 5
	// proofShare is the fraction of ProvenWithin during which a proof is valid; the rest
	// allows for the time from the decision about a request until it reaches its server.
	proofShare = 0.9
)

// ProvenNewest reports whether the table in force is proven to have been the newest within the
// time that the settings require; without such a time it always is.
func (s *Spread) ProvenNewest(now time.Time) bool {
	if s.settings.ProvenWithin == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.proven.IsZero() && now.Sub(s.proven) < time.Duration(proofShare*float64(s.settings.ProvenWithin))
}

// prove records that the table in force was the newest at a time.
func (s *Spread) prove(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.proven) {
		s.proven = at
	}
}

// applyProof applies the proof in the digest of a node that was sent a query at a time.
func (s *Spread) applyProof(queried time.Time, d digest) {
	if generation, _ := s.holder.Generation(); d.ProvenMillis > 0 && d.Generation == generation {
		s.prove(queried.Add(-time.Duration(d.ProvenMillis) * time.Millisecond))
	}
}

// roundInterval is the usual time between two rounds.
func (s *Spread) roundInterval() time.Duration {
	if within := s.settings.ProvenWithin; within > 0 {
		return min(s.settings.Interval, within/proofRounds)
	}
	return s.settings.Interval
}

// tableWait is how long the platform holds a watch of the table.
func (s *Spread) tableWait() time.Duration {
	if within := s.settings.ProvenWithin; within > 0 {
		return min(s.settings.WatchWait, within/proofWatches)
	}
	return s.settings.WatchWait
}
