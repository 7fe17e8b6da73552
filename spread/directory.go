// SPDX-License-Identifier: MIT

package spread

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/store"
)

const (
	// neighborTimeout is how long a starting node tries to reach one of its neighbors in the
	// store's list before it reads the whole list: all neighbors may be unreachable.
	neighborTimeout = time.Second
	// maxRegisterBackoff bounds the delay after a failed call to register, and registerTimeout
	// each such call. The node must be listed within two seconds of the store's return,
	// because no other node may know it yet.
	maxRegisterBackoff = time.Second
	registerTimeout    = 600 * time.Millisecond
)

// runHosts reads the list of hosts periodically, in one node of each zone and in any node that
// knows no other.
func (s *Spread) runHosts(ctx context.Context) {
	s.waitForRegistering(ctx)
	contacted := s.contactNeighbors(ctx)
	backoff := time.Duration(0)
	for first := s.settings.Register && !contacted; ctx.Err() == nil; {
		wait := s.settings.HostsInterval
		if first || s.alone() || (s.rank() == 0 && !contacted) {
			_, err := s.readHosts(ctx)
			if first = first && err != nil; first || s.alone() {
				backoff = min(max(2*backoff, minBackoff), maxWatcherBackoff)
				wait = min(wait, backoff)
			}
		}
		contacted = false
		s.waitForHosts(ctx, s.jitter(wait))
	}
}

// contactNeighbors makes a node that has just registered read the hosts that follow it in the
// store's list, and reports whether it exchanged digests with any node. This takes one call,
// or two for the last host in the list, however many nodes are listed. Every node except the
// first to register finds one that registered earlier, so all nodes are connected and learn of
// the others by gossip.
func (s *Spread) contactNeighbors(ctx context.Context) bool {
	directory, ok := s.platform.(store.Directory)
	if !s.settings.Register || !ok {
		return false
	}
	began := time.Now()
	if !s.readNextHosts(ctx, directory) {
		return false
	}
	for until := began.Add(neighborTimeout); time.Now().Before(until) && ctx.Err() == nil; sleep(ctx, urgentInterval) {
		if s.exchangedSince(began) {
			return true
		}
	}
	return false
}

// readNextHosts reads the page of hosts whose names follow this one's, or the first page if
// none follow. It reports whether any other host was listed.
func (s *Spread) readNextHosts(ctx context.Context, directory store.Directory) bool {
	self := s.self().Host
	for _, after := range []string{self, ""} {
		s.Counters.PlatformReads.Add(1)
		hosts, err := directory.Hosts(ctx, after)
		if err != nil && !errors.Is(err, store.ErrEntriesSkipped) {
			s.noteStore(ctx, err)
			s.Counters.PlatformErrors.Add(1)
			return false
		}
		s.noteStore(ctx, nil)
		s.logHostsError(err)
		if slices.ContainsFunc(hosts, func(h store.Host) bool { return h.Host != self }) {
			s.applyHosts(hosts)
			return true
		}
	}
	return false
}

// exchangedSince reports whether this node has exchanged digests with any node since a time.
func (s *Spread) exchangedSince(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastExchange.After(since)
}

// waitForHosts waits, but returns early if this node is set to register and knows no other
// node.
func (s *Spread) waitForHosts(ctx context.Context, wait time.Duration) {
	until := time.Now().Add(wait)
	for ctx.Err() == nil && time.Now().Before(until) {
		sleep(ctx, min(time.Until(until), maxWatcherBackoff))
		if s.settings.Register && s.alone() {
			return
		}
	}
}

// alone reports whether no other node is known.
func (s *Spread) alone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Len() <= 1
}

// runRegister registers the node in the store; it retries until that succeeds.
func (s *Spread) runRegister(ctx context.Context) {
	defer close(s.registered)
	directory, ok := s.platform.(store.Directory)
	if !s.settings.Register || !ok {
		return
	}
	var self member.Record
	s.View(func(v *member.View) { self = v.Self() })
	host := store.Host{Host: self.Host, Address: self.Address, Zone: self.Zone, Region: self.Region, State: store.HostLive}
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		s.Counters.PlatformReads.Add(1)
		err := register(ctx, directory, host)
		s.noteStore(ctx, err)
		if err == nil {
			return
		}
		s.Counters.PlatformErrors.Add(1)
		backoff = min(max(2*backoff, minBackoff), maxRegisterBackoff)
		sleep(ctx, s.jitter(backoff))
	}
}

// register makes one call. A call that times out is repeated. The repeated call writes the
// same entry, so it does no harm if the first one takes effect late.
func register(ctx context.Context, directory store.Directory, host store.Host) error {
	limited, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return directory.Register(limited, host)
}

// waitForRegistering waits until the node is registered in the store or other nodes have
// contacted it. Of two nodes that start at the same time, the one that reads the list later
// then finds the other.
func (s *Spread) waitForRegistering(ctx context.Context) {
	ticker := time.NewTicker(pollCheckInterval)
	defer ticker.Stop()
	for s.alone() {
		select {
		case <-ctx.Done():
			return
		case <-s.registered:
			return
		case <-ticker.C:
		}
	}
}

// hasVanished reports whether the node of a listed host no longer exists: another node runs at
// its address, or it has been unreachable for so long that this node has forgotten it.
func (s *Spread) hasVanished(l member.ListedHost) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, known := s.view.Record(l.Host)
	return (known && record.State == member.Gone) || (!known && s.view.HasForgotten(l.Host, l.Address))
}

// removeVanished removes hosts whose nodes have vanished from the store's list.
func (s *Spread) removeVanished(ctx context.Context, listed []member.ListedHost) {
	directory, ok := s.platform.(store.Directory)
	if !s.settings.Register || !ok || s.rank() != 0 {
		return
	}
	for _, l := range listed {
		if !s.hasVanished(l) {
			continue
		}
		s.Counters.PlatformReads.Add(1)
		err := directory.Remove(ctx, l.Host)
		s.noteStore(ctx, err)
		if err != nil {
			s.Counters.PlatformErrors.Add(1)
			return // The next read tries again.
		}
	}
}

// readHosts reads the whole list of hosts, applies it and returns its entries.
func (s *Spread) readHosts(ctx context.Context) ([]member.ListedHost, error) {
	s.Counters.PlatformReads.Add(1)
	o, err := s.platform.Get(ctx, store.HostsKey)
	s.noteStore(ctx, err)
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		s.Counters.PlatformErrors.Add(1)
		return nil, err
	}
	hosts, err := store.DecodeHosts(o.Body)
	s.logHostsError(err)
	if err != nil && !errors.Is(err, store.ErrEntriesSkipped) {
		return nil, err
	}
	listed := s.applyHosts(hosts)
	s.removeVanished(ctx, listed)
	return listed, nil
}

// logHostsError counts an error in decoding the store's list of hosts, and logs it unless it is
// the same as the last one.
func (s *Spread) logHostsError(err error) {
	if err == nil {
		return
	}
	s.Counters.EntriesLeftOut.Add(1)
	s.mu.Lock()
	alreadyLogged := s.lastHostsError == err.Error()
	s.lastHostsError = err.Error()
	s.mu.Unlock()
	if !alreadyLogged {
		s.log.Warn("invalid entries in the store's list of hosts skipped", zap.Error(err))
	}
}

// applyHosts merges a part of the list of hosts into the view.
func (s *Spread) applyHosts(hosts []store.Host) []member.ListedHost {
	listed := make([]member.ListedHost, len(hosts))
	for i, h := range hosts {
		listed[i] = member.ListedHost{
			Host:          h.Host,
			Address:       h.Address,
			Zone:          h.Zone,
			Region:        h.Region,
			Leaving:       h.State == store.HostLeaving,
			ChangedMillis: h.ChangedMillis,
		}
	}
	changed := false
	s.View(func(v *member.View) { changed = v.MergeListed(time.Now(), listed) })
	if changed {
		s.onViewChange()
		s.requestGossip()
	}
	return listed
}
