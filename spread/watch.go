// SPDX-License-Identifier: MIT

package spread

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/platform"
)

const (
	// watchers is how many nodes of each zone hold a watch.
	watchers = 2
	// rankStep spreads the polls of the other nodes once the confirmation is
	// old.
	rankStep = time.Second
	// checkEvery is how often a node without a watch looks at the age.
	checkEvery = time.Second
	// backoffFirst and backoffMost bound the wait after a failed call.
	backoffFirst = 500 * time.Millisecond
	backoffMost  = time.Minute
	// backoffWatcher bounds it for a watcher, which is one of few.
	backoffWatcher = 2 * time.Second
)

const rankPurpose = "watch"

func (s *Spread) rank() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Rank(rankPurpose)
}

// runWatch keeps the table in step with the platform, by a watch or by polls.
func (s *Spread) runWatch(ctx context.Context) {
	tag := ""
	backoff := time.Duration(0)
	nextPoll := time.Now().Add(s.jitter(s.settings.PollEvery))
	for ctx.Err() == nil {
		rank := s.rank()
		wait := time.Duration(0)
		most := backoffMost
		if rank < watchers {
			wait, most = s.settings.WatchWait, backoffWatcher
		} else if !s.pollDue(rank, nextPoll) {
			sleep(ctx, s.jitter(checkEvery))
			continue
		}
		newTag, err := s.readTable(ctx, tag, wait)
		nextPoll = time.Now().Add(s.jitter(s.settings.PollEvery))
		if err != nil {
			backoff = min(max(2*backoff, backoffFirst), most)
			sleep(ctx, s.jitter(backoff))
			continue
		}
		tag, backoff = newTag, 0
	}
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
	return !ok || age > s.settings.StaleAfter+time.Duration(rank-watchers)*rankStep
}

// readTable reads the table's object if it is not at tag, and returns the tag
// that it is at.
func (s *Spread) readTable(ctx context.Context, tag string, wait time.Duration) (string, error) {
	s.Counters.PlatformReads.Add(1)
	if tag == "" {
		wait = 0
	}
	o, changed, err := s.platform.Watch(ctx, platform.TableKey, tag, wait)
	if errors.Is(err, platform.ErrNotFound) {
		return "", err // Nobody has applied a table yet.
	}
	if err != nil {
		s.Counters.PlatformErrors.Add(1)
		return "", err
	}
	if changed {
		s.offerObject(o)
		tag = o.Tag
	}
	s.mu.Lock()
	s.confirmed = time.Now()
	s.mu.Unlock()
	return tag, nil
}

func (s *Spread) offerObject(o platform.Object) {
	envelope, err := platform.DecodeEnvelope(o.Body)
	if err != nil {
		s.badTable("platform", err)
		return
	}
	snapshot, err := envelope.Snapshot()
	if err != nil {
		s.badTable("platform", err)
		return
	}
	s.offer(snapshot, "platform")
}

// runHosts reads the platform's list of hosts in one node of each zone.
func (s *Spread) runHosts(ctx context.Context) {
	for ctx.Err() == nil {
		if s.rank() == 0 {
			s.readHosts(ctx)
		}
		sleep(ctx, s.jitter(s.settings.HostsEvery))
	}
}

func (s *Spread) readHosts(ctx context.Context) {
	s.Counters.PlatformReads.Add(1)
	o, err := s.platform.Get(ctx, platform.HostsKey)
	if errors.Is(err, platform.ErrNotFound) {
		return
	}
	if err != nil {
		s.Counters.PlatformErrors.Add(1)
		return
	}
	var hosts []platform.Host
	if err := json.Unmarshal(o.Body, &hosts); err != nil {
		s.Counters.PlatformErrors.Add(1)
		s.log.Warn("list of hosts cannot be read", zap.Error(err))
		return
	}
	listed := make([]member.Listed, len(hosts))
	for i, h := range hosts {
		listed[i] = member.Listed{
			Host:          h.Host,
			Address:       h.Address,
			Zone:          h.Zone,
			Region:        h.Region,
			Leaving:       h.State == platform.HostLeaving,
			ChangedMillis: h.ChangedMillis,
		}
	}
	news := false
	s.View(func(v *member.View) { news = v.List(time.Now(), listed) })
	if news {
		s.onView()
		s.Announce()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
