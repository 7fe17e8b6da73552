// SPDX-License-Identifier: MIT

package spread

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/ryehaven/ryehaven/store"
)

const (
	// watchers is the number of nodes in each zone that always hold a watch.
	watchers = 2
	// rankDelayStep is the delay per rank, up to maxRankDelay, that spreads the polls of the
	// other nodes once the confirmation is old.
	rankDelayStep = 250 * time.Millisecond
	maxRankDelay  = 8 * time.Second
	// echoDelay is how much later than this node's own confirmation another one must be to
	// count as another node's. An earlier one may be this node's own, passed back by others.
	echoDelay = 200 * time.Millisecond
	// pollCheckInterval is how often a node without a watch checks whether a poll is due.
	pollCheckInterval = 250 * time.Millisecond
	// minBackoff and maxPollBackoff bound the delay after a failed call.
	minBackoff     = 500 * time.Millisecond
	maxPollBackoff = time.Minute
	// maxWatcherBackoff bounds it for a watcher. It can be short because a zone has few
	// watchers.
	maxWatcherBackoff = 2 * time.Second
	// joinTimeout bounds how long a starting node waits to learn of others before it decides
	// whether to hold a watch. A node that knows no others holds a watch, and so would every
	// other node that starts then. One page of the store's list takes only a few milliseconds
	// to read.
	joinTimeout = time.Second
)

const watchRankPurpose = "watch"

func (s *Spread) rank() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Rank(watchRankPurpose)
}

// watchState is the state of runWatch.
type watchState struct {
	tag      string
	backoff  retryBackoff
	nextPoll time.Time
	// soleWatcher is set if this node watches although it is not among the first of its zone,
	// because no other node has confirmed the table.
	soleWatcher bool
}

// runWatch keeps the table up to date with the platform, by a watch or by polls.
func (s *Spread) runWatch(ctx context.Context) {
	w := watchState{nextPoll: time.Now().Add(s.jitter(s.settings.PollInterval))}
	if s.watchOnce(ctx, &w, false, 0); w.tag != "" {
		s.waitForOthers(ctx)
	}
	close(s.joined)
	s.waitForProbe(ctx)
	for ctx.Err() == nil {
		rank := s.rank()
		watching := s.role() != noRole || w.soleWatcher || s.isolated(time.Now())
		if !watching && !s.isPollDue(rank, w.nextPoll) {
			sleep(ctx, s.jitter(pollCheckInterval))
			continue
		}
		s.watchOnce(ctx, &w, watching, rank)
	}
}

// maxBackoff returns the maximum delay after a failed call of a node that watches.
func (s *Spread) maxBackoff() time.Duration {
	if s.role() == backupWatcher {
		return maxBackupBackoff
	}
	return maxWatcherBackoff
}

// waitForOthers waits until the node knows another one, for at most joinTimeout.
func (s *Spread) waitForOthers(ctx context.Context) {
	until := time.Now().Add(joinTimeout)
	for s.alone() && time.Now().Before(until) && ctx.Err() == nil {
		sleep(ctx, urgentInterval)
	}
}

// watchOnce reads the table's object once. If the node is watching, it waits for a change.
func (s *Spread) watchOnce(ctx context.Context, w *watchState, watching bool, rank int) {
	wait, maxDelay := time.Duration(0), maxPollBackoff
	if watching {
		wait, maxDelay = s.tableWait(), s.maxBackoff()
	}
	tag, err := s.readTable(ctx, w.tag, wait)
	w.nextPoll = time.Now().Add(s.jitter(s.settings.PollInterval))
	if err != nil {
		w.soleWatcher = w.soleWatcher && errors.Is(err, errAbandoned)
		if isLost(err) && !errors.Is(err, errAbandoned) {
			// The store may be back with an older copy of its data, in which no later version
			// ever follows the tag. Reading afresh costs one call per lost connection.
			w.tag = ""
		}
		sleep(ctx, s.jitter(w.backoff.pause(err, maxDelay)))
		return
	}
	// If no other node is known to reach the platform, this one keeps watching, so that it
	// receives the next change at once.
	w.soleWatcher = rank >= watchers && !s.isolated(time.Now()) && s.noOtherConfirmation(time.Now())
	w.tag, w.backoff = tag, retryBackoff{}
	s.mu.Lock()
	s.tableTag = tag
	s.mu.Unlock()
}

// retryBackoff counts the calls in a row that failed.
type retryBackoff struct{ failures int }

// pause returns how long to wait after a failure, at most limit. There is no wait after a
// watch was abandoned, or after a first failure without a reply, so that a stalled connection
// is replaced at once. After that the wait doubles with each failure.
func (r *retryBackoff) pause(err error, limit time.Duration) time.Duration {
	if errors.Is(err, errAbandoned) {
		return 0 // Callers that abandon watches limit how often they do so.
	}
	r.failures++
	if r.failures == 1 && store.FailureKindOf(err) != store.FailedByAnswer {
		return 0
	}
	return min(minBackoff<<min(r.failures-1, 16), limit)
}

// noOtherConfirmation reports whether no other node is known to have confirmed the table
// recently.
func (s *Spread) noOtherConfirmation(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.othersConfirmed) > s.settings.StaleAfter
}

// isPollDue reports whether a node without a watch should poll the platform: because its
// routine poll is due, or because the last confirmation is old. A node that has not learned
// whether there is a table polls at once.
func (s *Spread) isPollDue(rank int, nextPoll time.Time) bool {
	now := time.Now()
	if now.After(nextPoll) {
		return true
	}
	age, ok := s.ConfirmedAge(now)
	return !ok || age > s.settings.StaleAfter+min(time.Duration(rank-watchers)*rankDelayStep, maxRankDelay)
}

// readTable reads the table's object if its version is not tag, and returns the version.
func (s *Spread) readTable(ctx context.Context, tag string, wait time.Duration) (string, error) {
	if tag == "" {
		wait = 0
	}
	queried := time.Now()
	o, changed, err := s.watch(ctx, store.TableKey, tag, wait)
	if errors.Is(err, store.ErrNotFound) && o.Tag != "" {
		if s.holder.Current() == nil {
			s.noteConfirmed() // No table was ever applied.
		}
		return o.Tag, nil // The tag says from which version to watch.
	}
	if errors.Is(err, store.ErrNotFound) {
		return "", err
	}
	if errors.Is(err, errAbandoned) {
		return tag, err
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
	s.noteConfirmed()
	s.prove(queried)
	return tag, nil
}

// watch makes one call to the platform, which waits for a change unless wait is 0, and records
// how the call ended.
func (s *Spread) watch(ctx context.Context, key, tag string, wait time.Duration) (store.Object, bool, error) {
	s.Counters.PlatformReads.Add(1)
	began := time.Now()
	watchContext, end := ctx, func() {}
	if wait > 0 {
		watchContext, end = s.watches.begin(ctx, key)
	}
	defer end()
	o, changed, err := s.platform.Watch(watchContext, key, tag, wait)
	if err != nil && errors.Is(context.Cause(watchContext), errAbandoned) {
		s.noteAbandoned(key, time.Since(began))
		return o, changed, errAbandoned
	}
	s.noteStore(ctx, err)
	if wait > 0 && isLost(err) && ctx.Err() == nil {
		s.noteWatchEnd(key, store.FailureKindOf(err), time.Since(began), err)
	}
	return o, changed, err
}

func (s *Spread) noteAbandoned(key string, after time.Duration) {
	s.Counters.WatchesAbandoned.Add(1)
	s.log.Info("watch ended", zap.String("key", key), zap.String("by", "abandoned"), zap.Duration("after", after))
}

// noteWatchEnd counts and logs why a watch failed.
func (s *Spread) noteWatchEnd(key string, kind store.FailureKind, after time.Duration, err error) {
	switch kind {
	case store.FailedByTimeLimit:
		s.Counters.WatchTimeouts.Add(1)
	case store.FailedByKeepAlive:
		s.Counters.WatchKeepAliveFailures.Add(1)
	default:
		s.Counters.WatchErrors.Add(1)
	}
	s.log.Info("watch ended",
		zap.String("key", key),
		zap.String("by", string(kind)),
		zap.Duration("after", after),
		zap.Error(err))
}

// noteConfirmed records that the store has just reported the current table, or that there is
// none.
func (s *Spread) noteConfirmed() {
	s.mu.Lock()
	s.confirmed = time.Now()
	s.ownConfirmed = s.confirmed
	s.mu.Unlock()
}

func (s *Spread) offerObject(o store.Object) error {
	envelope, err := store.DecodeEnvelope(o.Body)
	if err != nil {
		s.badTable(fromPlatform, err)
		return err
	}
	snapshot, err := envelope.Snapshot()
	if err != nil {
		s.badTable(fromPlatform, err)
		return err
	}
	s.offer(snapshot, fromPlatform)
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return // A timer that is due at once would still cost a wake-up.
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
