// SPDX-License-Identifier: MIT

package spread

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/store"
)

const (
	// watchers is how many nodes of each zone hold a watch.
	watchers = 2
	// rankStep spreads the polls of the other nodes once the confirmation is
	// old, up to rankMost.
	rankStep = 250 * time.Millisecond
	rankMost = 8 * time.Second
	// echo is how much later than this node's own a confirmation must be to be
	// another node's and not its own, come back through others.
	echo = 200 * time.Millisecond
	// checkEvery is how often a node without a watch looks at the age.
	checkEvery = 250 * time.Millisecond
	// backoffFirst and backoffMost bound the wait after a failed call.
	backoffFirst = 500 * time.Millisecond
	backoffMost  = time.Minute
	// backoffWatcher bounds it for a watcher, which is one of few.
	backoffWatcher = 2 * time.Second
	// backoffRegister bounds it for a node that nobody may know yet, and
	// registerLimit each of its calls, so that it is listed within two seconds
	// of the store's return.
	backoffRegister = time.Second
	registerLimit   = 600 * time.Millisecond
)

const rankPurpose = "watch"

func (s *Spread) rank() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Rank(rankPurpose)
}

// watchState is what runWatch knows.
type watchState struct {
	tag      string
	backoff  time.Duration
	nextPoll time.Time
	// acting says that this node watches although it is none of the zone's
	// first, since nobody else has confirmed the table.
	acting bool
}

// runWatch keeps the table in step with the platform, by a watch or by polls.
func (s *Spread) runWatch(ctx context.Context) {
	w := watchState{nextPoll: time.Now().Add(s.jitter(s.settings.PollEvery))}
	for ctx.Err() == nil {
		rank := s.rank()
		watching := rank < watchers || w.acting || s.isolated(time.Now())
		if !watching && !s.pollDue(rank, w.nextPoll) {
			sleep(ctx, s.jitter(checkEvery))
			continue
		}
		s.watchOnce(ctx, &w, watching, rank)
	}
}

// watchOnce reads the table's object once, waiting for a change if the node is
// watching.
func (s *Spread) watchOnce(ctx context.Context, w *watchState, watching bool, rank int) {
	wait, most := time.Duration(0), backoffMost
	if watching {
		wait, most = s.settings.WatchWait, backoffWatcher
	}
	tag, err := s.readTable(ctx, w.tag, wait)
	w.nextPoll = time.Now().Add(s.jitter(s.settings.PollEvery))
	if err != nil {
		w.backoff = min(max(2*w.backoff, backoffFirst), most)
		w.acting = false
		sleep(ctx, s.jitter(w.backoff))
		return
	}
	// A node that reaches the platform while nobody else is known to stays
	// with it, so that the next change finds it watching.
	w.acting = rank >= watchers && !s.isolated(time.Now()) && s.aloneWithPlatform(time.Now())
	w.tag, w.backoff = tag, 0
}

// aloneWithPlatform reports whether no other node is known to have confirmed
// the table of late.
func (s *Spread) aloneWithPlatform(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.othersConfirmed) > s.settings.StaleAfter
}

// pollDue reports whether a node without a watch should ask the platform: in
// its slow turn, or when nobody has confirmed the table for long. A node
// without any table asks at once.
func (s *Spread) pollDue(rank int, nextPoll time.Time) bool {
	now := time.Now()
	if now.After(nextPoll) || s.holder.Current() == nil {
		return true
	}
	age, ok := s.ConfirmedAge(now)
	return !ok || age > s.settings.StaleAfter+min(time.Duration(rank-watchers)*rankStep, rankMost)
}

// readTable reads the table's object if it is not at tag, and returns the tag
// that it is at.
func (s *Spread) readTable(ctx context.Context, tag string, wait time.Duration) (string, error) {
	s.Counters.PlatformReads.Add(1)
	if tag == "" {
		wait = 0
	}
	o, changed, err := s.platform.Watch(ctx, store.TableKey, tag, wait)
	s.noteStore(ctx, err)
	if errors.Is(err, store.ErrNotFound) {
		return "", err // Nobody has applied a table yet.
	}
	if err != nil {
		s.Counters.PlatformErrors.Add(1)
		return "", err
	}
	if changed {
		if err := s.offerObject(o); err != nil {
			return tag, err
		}
		tag = o.Tag
	}
	s.mu.Lock()
	s.confirmed = time.Now()
	s.ownConfirmed = s.confirmed
	s.mu.Unlock()
	return tag, nil
}

func (s *Spread) offerObject(o store.Object) error {
	envelope, err := store.DecodeEnvelope(o.Body)
	if err != nil {
		s.badTable("platform", err)
		return err
	}
	snapshot, err := envelope.Snapshot()
	if err != nil {
		s.badTable("platform", err)
		return err
	}
	s.offer(snapshot, "platform")
	return nil
}

// runHosts reads the list of hosts in one node of each zone, and in any node
// that knows no other.
func (s *Spread) runHosts(ctx context.Context) {
	s.waitForRegistering(ctx)
	backoff := time.Duration(0)
	for first := s.settings.Register; ctx.Err() == nil; {
		wait := s.settings.HostsEvery
		if first || s.alone() || s.rank() == 0 {
			err := s.readHosts(ctx)
			if first = first && err != nil; first || s.alone() {
				backoff = min(max(2*backoff, backoffFirst), backoffWatcher)
				wait = min(wait, backoff)
			}
		}
		s.waitForHosts(ctx, s.jitter(wait))
	}
}

// waitForHosts waits, but not long once no other node is known.
func (s *Spread) waitForHosts(ctx context.Context, wait time.Duration) {
	until := time.Now().Add(wait)
	for ctx.Err() == nil && time.Now().Before(until) {
		sleep(ctx, min(time.Until(until), backoffWatcher))
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

// runRegister makes the node known in the store until that has succeeded.
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
		backoff = min(max(2*backoff, backoffFirst), backoffRegister)
		sleep(ctx, s.jitter(backoff))
	}
}

// noteStore takes how a call to the store ended, unless the node is ending.
func (s *Spread) noteStore(ctx context.Context, err error) {
	if ctx.Err() == nil {
		s.reached.note(s.log, time.Now(), err)
	}
}

// register makes one call. One that is not answered in time is made again; what
// it says is the same, so that it does no harm if it takes effect late.
func register(ctx context.Context, directory store.Directory, host store.Host) error {
	limited, cancel := context.WithTimeout(ctx, registerLimit)
	defer cancel()
	return directory.Register(limited, host)
}

// waitForRegistering waits until the node is known in the store, so that of two
// nodes that start at once the later reader finds the other, or until other
// nodes have found this one.
func (s *Spread) waitForRegistering(ctx context.Context) {
	ticker := time.NewTicker(checkEvery)
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

// hasVanished reports whether a listed host's node is known to be no more: another
// was met in its place, or nobody has met it for long.
func (s *Spread) hasVanished(l member.Listed) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, known := s.view.Record(l.Host)
	return (known && record.State == member.Gone) || (!known && s.view.HasForgotten(l.Host, l.Address))
}

// removeVanished takes hosts out of the store's list whose nodes have vanished.
func (s *Spread) removeVanished(ctx context.Context, listed []member.Listed) {
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
			return // The next reading tries again.
		}
	}
}

func (s *Spread) readHosts(ctx context.Context) error {
	s.Counters.PlatformReads.Add(1)
	o, err := s.platform.Get(ctx, store.HostsKey)
	s.noteStore(ctx, err)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		s.Counters.PlatformErrors.Add(1)
		return err
	}
	var hosts []store.Host
	if err := json.Unmarshal(o.Body, &hosts); err != nil {
		s.Counters.PlatformErrors.Add(1)
		s.log.Warn("list of hosts cannot be read", zap.Error(err))
		return err
	}
	listed := make([]member.Listed, len(hosts))
	for i, h := range hosts {
		listed[i] = member.Listed{
			Host:          h.Host,
			Address:       h.Address,
			Zone:          h.Zone,
			Region:        h.Region,
			Leaving:       h.State == store.HostLeaving,
			ChangedMillis: h.ChangedMillis,
		}
	}
	news := false
	s.View(func(v *member.View) { news = v.List(time.Now(), listed) })
	if news {
		s.onView()
		s.hasNews()
	}
	s.removeVanished(ctx, listed)
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
