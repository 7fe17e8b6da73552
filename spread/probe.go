// SPDX-License-Identifier: MIT

package spread

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/ryehaven/ryehaven/store"
)

const (
	// A change must be in force within InForceWithin. Of this time, up to 1/checkDivisor
	// passes until the next check and up to 1/overdueDivisor until its reply is overdue. The
	// rest is for the restarted watch and for propagation to the other nodes, about 0.1 s.
	checkDivisor   = 2
	overdueDivisor = 5
	// slowAnswerFactor is how many times longer than the last reply a reply may take.
	slowAnswerFactor = 3
	// maxAnswerTimeout bounds the timeout for a reply of a slow store.
	maxAnswerTimeout = 2 * time.Second
	// firstProbeTimeout bounds how long the first watch waits for the probe connection. A
	// watch that is older than the probe connection must be restarted, which costs a call.
	firstProbeTimeout = 400 * time.Millisecond
	// recheckInterval is the minimum time between two calls of Recheck that abandon watches,
	// so that false alarms cost at most one restart of the watches in five seconds.
	recheckInterval = 5 * time.Second
	// The first trustedTimeouts timeouts of a series each restart the watches at once; this
	// covers about 11 s during which every new connection stalls soon after it is opened.
	// After that, recheckInterval passes between restarts; each further timeout doubles it, up
	// to maxRecheckDoublings times. A series ends after checksToReset replies in a row.
	trustedTimeouts     = 8
	maxRecheckDoublings = 3
	checksToReset       = 3
)

// Recheck is called when any connection of this node has stalled: its connections to the
// platform may have stalled too. A node with a probe connection checks it at once; other nodes
// restart their watches, at most once per recheckInterval.
func (s *Spread) Recheck() {
	wake(s.recheck)
	now := time.Now()
	s.mu.Lock()
	due := !s.probeOpen && now.Sub(s.lastRecheck) >= recheckInterval
	if due {
		s.lastRecheck = now
	}
	s.mu.Unlock()
	if due {
		s.watches.abandon(now)
	}
}

// shouldProbe reports whether this node checks its connections to the platform. The first node
// of each zone always does. So do an isolated node, a node outside the zone's regular watchers
// that has an open watch (it knows no other node that receives data from the platform), and the other
// regular watchers while the first one or they themselves have lost the store.
func (s *Spread) shouldProbe(now time.Time) bool {
	rank := s.rank()
	return rank == 0 || s.isolated(now) || (s.watches.any() && (rank >= watchers || s.higherRankedLostStore() || s.reportsStoreLost()))
}

// runProbes restarts this node's watches as soon as the probe connection stalls, while
// shouldProbe holds.
func (s *Spread) runProbes(ctx context.Context) {
	prober, ok := s.platform.(store.Prober)
	if !ok {
		return
	}
	select {
	case <-ctx.Done():
	case <-s.joined:
	}
	c := probeState{spread: s, prober: prober}
	for ctx.Err() == nil {
		if !s.shouldProbe(time.Now()) {
			c = probeState{spread: s, prober: prober}
			sleep(ctx, s.jitter(pollCheckInterval))
			continue
		}
		c.run(ctx)
	}
}

// waitForProbe delays the first watch until the probe connection is open.
func (s *Spread) waitForProbe(ctx context.Context) {
	if _, ok := s.platform.(store.Prober); !ok {
		return
	}
	until := time.Now().Add(firstProbeTimeout)
	for s.shouldProbe(time.Now()) && !s.isProbeOpen() && time.Now().Before(until) && ctx.Err() == nil {
		sleep(ctx, firstProbeTimeout/20)
	}
}

// probeState is the state of a node that probes the platform.
type probeState struct {
	spread *Spread
	prober store.Prober
	// lastLatency is how long the last reply took; 0 if there was none since the last timeout.
	lastLatency time.Duration
	// failures counts the failed probes since the last reply.
	failures int
	// timeouts counts the timeouts of the current series, and answers the replies since the
	// last timeout.
	timeouts, answers int
	// watchesRenewed is set if the watches were restarted since the last timeout. lastRenewal
	// is when they last were.
	watchesRenewed bool
	lastRenewal    time.Time
	// lastChangedTag is the last tag that a check reported as outdated. It is reported only
	// once, because the watch restarted after that has read the current version.
	lastChangedTag string
}

// run keeps one probe connection open until a check fails or the node no longer has to probe.
func (c *probeState) run(ctx context.Context) {
	s := c.spread
	sleep(ctx, s.jitter(c.pause()))
	probe, err := c.open(ctx)
	if err != nil {
		c.failures++
		s.noteStore(ctx, err)
		return // Existing watches may still work, so they are kept.
	}
	defer probe.Close()
	opened, answered := time.Now(), false
	s.setProbeOpen(true)
	defer s.setProbeOpen(false)
	for ctx.Err() == nil && s.shouldProbe(time.Now()) {
		tag := s.watchedTag()
		if tag == "" { // Without a table there is no tag to check.
			s.waitForNextCheck(ctx)
			continue
		}
		err := c.check(ctx, probe, tag)
		kind := store.FailureKindOf(err)
		if answered && kind == store.FailedByError {
			return // The store closes idle connections; that says nothing about the watches.
		}
		if !answered || kind == store.FailedByAnswer || c.renewalInterval() == 0 {
			s.noteStore(ctx, err) // Otherwise other nodes would needlessly watch in place of this one.
		}
		switch {
		case err == nil:
			answered = true
			c.renewWatches(opened)
		case kind != store.FailedByAnswer:
			c.noteFailedCheck(ctx, kind, err)
			return
		}
		s.waitForNextCheck(ctx)
	}
}

// renewWatches restarts the watches that are older than the probe connection: their
// connections may have stalled before it was opened. It is called only after a reply, so that
// a store that does not reply is not loaded with calls.
func (c *probeState) renewWatches(opened time.Time) {
	if c.watchesRenewed || time.Since(c.lastRenewal) < c.renewalInterval() {
		return
	}
	c.watchesRenewed, c.lastRenewal = true, time.Now()
	c.spread.watches.abandon(opened)
}

// renewalInterval is the minimum time between two restarts of the watches. It limits the calls
// to a store that replies late, or not at all, on every open connection.
func (c *probeState) renewalInterval() time.Duration {
	if c.timeouts <= trustedTimeouts {
		return 0
	}
	return recheckInterval << min(c.timeouts-trustedTimeouts-1, maxRecheckDoublings)
}

// pause is the delay before the next probe connection is opened: none after the first failure,
// so that one stalled connection is replaced at once, and longer after each further failure.
func (c *probeState) pause() time.Duration {
	if c.failures < 2 {
		return 0
	}
	maxDelay := maxWatcherBackoff
	if c.spread.rank() > 0 {
		maxDelay = maxBackupBackoff
	}
	return min(minBackoff<<min(c.failures-2, 16), maxDelay)
}

// answerTimeout is how long a reply may take.
func (c *probeState) answerTimeout() time.Duration {
	if c.lastLatency == 0 {
		return maxAnswerTimeout
	}
	return min(max(slowAnswerFactor*c.lastLatency, c.spread.settings.InForceWithin/overdueDivisor), maxAnswerTimeout)
}

// open opens a probe connection. If this takes longer than the timeout, the first packet was
// lost, which the kernel retransmits only after a second.
func (c *probeState) open(ctx context.Context) (store.Probe, error) {
	return c.prober.Probe(ctx, c.spread.settings.InForceWithin/overdueDivisor)
}

// check sends one check on the probe connection and waits for the reply.
func (c *probeState) check(ctx context.Context, probe store.Probe, tag string) error {
	s := c.spread
	s.Counters.Probes.Add(1)
	began := time.Now()
	changed, err := probe.Check(ctx, tag, c.answerTimeout())
	if err != nil {
		return err
	}
	c.lastLatency = time.Since(began)
	c.failures = 0
	if c.answers++; c.answers >= checksToReset {
		c.timeouts = 0
	}
	if changed && tag != c.lastChangedTag {
		c.lastChangedTag = tag
		s.watches.changedElsewhere(store.TableKey)
	}
	return nil
}

// noteFailedCheck records a check that had no reply.
func (c *probeState) noteFailedCheck(ctx context.Context, kind store.FailureKind, err error) {
	c.failures++
	if kind == store.FailedByError {
		return // A connection that was refused or reset has not stalled.
	}
	c.timeouts++
	c.answers, c.lastLatency, c.watchesRenewed = 0, 0, false
	if ctx.Err() == nil {
		c.spread.Counters.ProbeTimeouts.Add(1)
		c.spread.log.Info("platform did not reply on an open connection", zap.String("by", string(store.FailureKindOf(err))), zap.Error(err))
	}
}

// waitForNextCheck waits until the next check is due or Recheck is called.
func (s *Spread) waitForNextCheck(ctx context.Context) {
	timer := time.NewTimer(s.settings.InForceWithin / checkDivisor)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.recheck:
	}
}

func (s *Spread) setProbeOpen(open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probeOpen = open
}

func (s *Spread) isProbeOpen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probeOpen
}

// watchedTag returns the version of the table's object from which this node's watch continues.
func (s *Spread) watchedTag() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tableTag
}
