// SPDX-License-Identifier: MIT

package spread

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/ryehaven/ryehaven/store"
)

// Evacuations returns the evacuations in force at this node.
func (s *Spread) Evacuations() store.Evacuations {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations
}

// runEvacuations keeps the evacuations up to date with the platform. A few nodes of each zone
// watch them and all others receive them in digests within a few rounds, so the number of
// calls does not grow with the number of nodes. An isolated node watches them itself.
func (s *Spread) runEvacuations(ctx context.Context) {
	sleep(ctx, joinTimeout) // By then the node knows its rank.
	tag := ""
	var backoff retryBackoff
	for ctx.Err() == nil {
		if s.role() == noRole && !s.isolated(time.Now()) {
			tag = "" // Changes missed meanwhile may have left the store's history.
			sleep(ctx, s.jitter(pollCheckInterval))
			continue
		}
		next, err := s.readEvacuations(ctx, tag)
		if err != nil {
			if isLost(err) && !errors.Is(err, errAbandoned) {
				tag = "" // For the same reason as in watchOnce.
			}
			sleep(ctx, s.jitter(backoff.pause(err, s.maxBackoff())))
			continue
		}
		tag, backoff = next, retryBackoff{}
	}
}

// readEvacuations reads the evacuations at once if tag is blank; otherwise it waits for a
// version other than tag. It returns the tag to continue from.
func (s *Spread) readEvacuations(ctx context.Context, tag string) (string, error) {
	wait := s.settings.WatchWait
	if tag == "" {
		wait = 0
	}
	o, changed, err := s.watch(ctx, store.EvacuationsKey, tag, wait)
	if errors.Is(err, store.ErrNotFound) {
		sleep(ctx, s.jitter(s.settings.WatchWait)) // No zone was ever evacuated.
		return "", nil
	}
	if errors.Is(err, errAbandoned) {
		return tag, err
	}
	if err != nil {
		s.Counters.PlatformErrors.Add(1)
		return tag, err
	}
	if changed {
		e, err := store.DecodeEvacuations(o.Body)
		if err != nil {
			s.badEvacuations(fromPlatform, err)
			return tag, err
		}
		s.offerEvacuations(e, fromPlatform)
	}
	return o.Tag, nil
}

// offerEvacuations accepts a state with a higher version than the current one, and propagates
// it if the evacuations differ.
func (s *Spread) offerEvacuations(e store.Evacuations, source string) {
	s.mu.Lock()
	held := s.evacuations
	newer := e.Version > held.Version
	if newer {
		s.evacuations = e
	}
	s.mu.Unlock()
	if !newer || e.SameZones(held) {
		return // A repeated read with a higher version changes nothing, but keeps older states from being accepted.
	}
	s.propagate(store.EvacuationsKey, source)
	s.Counters.EvacuationChanges.Add(1)
	s.log.Info("evacuations in force",
		zap.Strings("zones", e.ZoneNames()),
		zap.Uint64("version", e.Version),
		zap.String("source", source))
	s.onViewChange()
}

// applyEvacuations applies the evacuations in another node's digest.
func (s *Spread) applyEvacuations(d digest) {
	if err := d.Evacuations.Validate(); err != nil {
		s.badEvacuations("node "+d.Host, err)
		return
	}
	s.offerEvacuations(d.Evacuations, "node "+d.Host)
}

func (s *Spread) badEvacuations(source string, err error) {
	if s.Counters.BadEvacuations.Add(1) == 1 {
		s.log.Warn("invalid evacuations refused; the previous ones stay in force", zap.String("source", source), zap.Error(err))
	}
}
