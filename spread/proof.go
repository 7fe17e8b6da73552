// SPDX-License-Identifier: MIT

package spread

import "time"

// Who may not go on with an old table must know until when it was the newest, whatever
// delays an answer: a network, a slow store, or this process standing still. So a proof
// counts from when its question was put, not from when the answer was read.

const (
	// proofRounds is how many rounds of digests the time for a proof has, so that it
	// comes to every node by way of others.
	proofRounds = 20
	// proofWatches is how many answers of the store it has.
	proofWatches = 5
	// proofShare is the part of that time for which a proof is good; the rest is for what
	// a request takes from where it is judged to its server.
	proofShare = 0.9
)

// ProvenNewest reports whether the table in force is known to have been the newest within
// the time that is asked for; without such a time every table is.
func (s *Spread) ProvenNewest(now time.Time) bool {
	if s.settings.ProvenWithin == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.proven.IsZero() && now.Sub(s.proven) < time.Duration(proofShare*float64(s.settings.ProvenWithin))
}

// prove takes note that the table in force was the newest at a time.
func (s *Spread) prove(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.proven) {
		s.proven = at
	}
}

// learnProof takes what a node that was asked at a time says of its table.
func (s *Spread) learnProof(asked time.Time, d digest) {
	if generation, _ := s.holder.Generation(); d.ProvenMillis > 0 && d.Generation == generation {
		s.prove(asked.Add(-time.Duration(d.ProvenMillis) * time.Millisecond))
	}
}

// roundInterval is the usual time between two rounds.
func (s *Spread) roundInterval() time.Duration {
	if within := s.settings.ProvenWithin; within > 0 {
		return min(s.settings.Interval, within/proofRounds)
	}
	return s.settings.Interval
}

// tableWait is how long a watch of the table waits.
func (s *Spread) tableWait() time.Duration {
	if within := s.settings.ProvenWithin; within > 0 {
		return min(s.settings.WatchWait, within/proofWatches)
	}
	return s.settings.WatchWait
}
