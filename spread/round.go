// SPDX-License-Identifier: MIT

package spread

import (
	"context"
	"sync"
	"time"

	"github.com/ryehaven/ryehaven/member"
)

const (
	// fanout is the number of nodes of the own zone with which digests are exchanged at once
	// after a change, and again in repeatRounds hastened rounds. Without the repetition, if
	// each of 12 nodes contacts four others at random, one change in twelve misses a node,
	// which then receives it a second late.
	fanout       = 4
	repeatRounds = 2
	// crossZonePerRound is the average number of exchanges with other zones that the nodes of
	// one zone start in a round, all together. Each node starts one at random with a
	// probability of its share. No node is designated for it, so no single failure matters,
	// and the traffic between zones does not grow with the number of nodes.
	crossZonePerRound = 2
	// hastenFactor is how many times sooner the next round comes after new records, and after
	// a round in which no node replied.
	hastenFactor = 4
	// urgentInterval is the time between rounds while the node lacks a table.
	urgentInterval = 100 * time.Millisecond
	// minRoundDelay is the minimum pause between rounds, also if they are overdue.
	minRoundDelay = time.Millisecond
	// roundsPerSeedQuery is the number of rounds between queries to a seed. They rejoin groups
	// of nodes that have lost contact with each other.
	roundsPerSeedQuery = 30
)

// Run exchanges data with other nodes and the platform until ctx ends. It returns once all its
// goroutines have ended.
func (s *Spread) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { s.runRounds(ctx) })
	wait.Go(func() { s.runTablePulls(ctx) })
	wait.Go(func() { s.runMonitor(ctx) })
	if s.platform != nil {
		wait.Go(func() { s.runWatch(ctx) })
		wait.Go(func() { s.runRankChecks(ctx) })
		wait.Go(func() { s.runProbes(ctx) })
		wait.Go(func() { s.runRegister(ctx) })
		wait.Go(func() { s.runHosts(ctx) })
		wait.Go(func() { s.runEras(ctx) })
		if s.settings.WatchEvacuations {
			wait.Go(func() { s.runEvacuations(ctx) })
		}
	}
	wait.Wait()
}

func (s *Spread) runRounds(ctx context.Context) {
	due, repeats := time.Now(), 0
	timer := time.NewTimer(minRoundDelay)
	defer timer.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-s.gossip:
			s.exchangeAll(s.targets(fanout))
			due, repeats = s.hastenedDue(due), repeatRounds
		case <-s.broadcast:
			s.exchangeAll(s.broadcastTargets())
			due, repeats = s.hastenedDue(due), repeatRounds
		case <-s.ownUpdate:
			s.pushOwnRecord(s.broadcastTargets())
			s.hasten()
			due = time.Now().Add(s.nextDelay())
		case <-timer.C:
			if repeats > 0 {
				s.round(number, fanout)
				due, repeats = s.hastenedDue(time.Now().Add(s.roundInterval())), repeats-1
				break
			}
			s.round(number, 1)
			due = time.Now().Add(s.nextDelay())
		}
		timer.Reset(max(time.Until(due), minRoundDelay))
	}
}

// hastenedDue returns when the next round comes after a change: a hastened interval from now,
// or at due if that is earlier.
func (s *Spread) hastenedDue(due time.Time) time.Time {
	s.hasten()
	if next := time.Now().Add(s.nextDelay()); next.Before(due) {
		return next
	}
	return due
}

// nextDelay returns the time until the next round, with a jitter of a fifth that keeps nodes
// that started together out of step.
func (s *Spread) nextDelay() time.Duration {
	interval := s.roundInterval()
	if s.takeHastened() {
		interval /= hastenFactor
	}
	if s.lacksTable() {
		interval = min(interval, urgentInterval)
	}
	return s.jitter(interval)
}

// lacksTable reports whether the node has no table and has not learned that there is none yet.
func (s *Spread) lacksTable() bool {
	_, confirmed := s.ConfirmedAge(time.Now())
	return s.holder.Current() == nil && !confirmed
}

// hasten makes the next round come sooner.
func (s *Spread) hasten() {
	s.mu.Lock()
	s.hastened = true
	s.mu.Unlock()
}

// takeHastened reports whether the next round should come sooner, and resets that.
func (s *Spread) takeHastened() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	hastened := s.hastened
	s.hastened = false
	return hastened
}

func (s *Spread) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(d) * (0.8 + 0.4*s.rng.Float64()))
}

// round exchanges digests with up to count nodes of the own zone and sometimes with one of
// another zone. number counts the rounds, from 0.
func (s *Spread) round(number, count int) {
	s.View(func(v *member.View) { v.RemoveExpired(time.Now()) })
	targets := s.targets(count)
	if len(targets) == 0 || number%roundsPerSeedQuery == 0 {
		targets = append(targets, s.seeds(len(targets) == 0)...)
	}
	if s.exchangeAll(targets) == 0 && len(targets) > 0 {
		s.hasten()
	}
}

// targets returns up to count nodes of the own zone and sometimes one of another zone; always
// one of another zone if none of the own zone can be queried.
func (s *Spread) targets(count int) []member.Record {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := s.view.Sample(now, s.rng, count, member.OwnZone)
	if s.rng.Float64()*float64(s.view.ReachableInOwnZone(now)) < crossZonePerRound {
		targets = append(targets, s.view.Sample(now, s.rng, 1, member.OtherZones)...)
	}
	return targets
}

// broadcastTargets returns the nodes to contact at once about a change that only this node may
// know: some of its own zone and one of each other zone.
func (s *Spread) broadcastTargets() []member.Record {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := s.view.Sample(now, s.rng, fanout, member.OwnZone)
	return append(targets, s.view.OneOfEachOtherZone(now, s.rng)...)
}

// seeds returns all seeds or a random one, as records without a host.
func (s *Spread) seeds(all bool) []member.Record {
	self := ""
	s.View(func(v *member.View) { self = v.Self().Address })
	var records []member.Record
	for _, address := range s.settings.Seeds {
		if address != self {
			records = append(records, member.Record{Address: address})
		}
	}
	if !all && len(records) > 1 {
		s.mu.Lock()
		i := s.rng.IntN(len(records))
		s.mu.Unlock()
		return records[i : i+1]
	}
	return records
}
