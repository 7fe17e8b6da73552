// SPDX-License-Identifier: MIT

package spread

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/store"
)

// The store may be restored from a copy of its data that is some seconds old. Writes of nodes
// since that copy are lost, and the same revision number may then stand for other content.
// Every tag therefore belongs to an era, so that reads start afresh in a new era. Lost entries
// are written again by those nodes that notice the new era, for all hosts of their zone: a
// node registers only once per incarnation, and most nodes never call the store again.

const (
	// restoreRankDelay is how long a node waits per higher-ranked node before it restores
	// entries. In a zone of 100 hosts restoring takes longer than that (1.4 s at 4 ms per
	// call), so two nodes may write the same entry; the store then refuses one of the writes.
	restoreRankDelay = 300 * time.Millisecond
	// restoreInterval is the minimum time between two writes. Three zones then make at most
	// 300 writes per second of the 400 that the store accepts at the smallest sites.
	restoreInterval = 10 * time.Millisecond
	// maxRestoreBackoff bounds the delay after a failed attempt. All hosts must be listed
	// within two seconds of the store's return; with hundreds of hosts it may take longer.
	maxRestoreBackoff = time.Second
)

// errNotRestored reports that some host could not be written again.
var errNotRestored = eris.New("not all hosts that the store has lost were restored")

// runEras waits for new eras of the store. In each one it reads everything afresh and restores
// lost entries.
func (s *Spread) runEras(ctx context.Context) {
	reporter, ok := s.platform.(store.EraReporter)
	if !ok {
		return
	}
	for era, next := reporter.Era(); ; {
		select {
		case <-ctx.Done():
			return
		case <-next:
		}
		for started := era; ctx.Err() == nil; started = era { // Another era may begin meanwhile.
			if era, next = reporter.Era(); era == started {
				break
			}
			s.beginEra(ctx, era)
		}
	}
}

// beginEra restarts the watches and restores lost entries in a new era of the store.
func (s *Spread) beginEra(ctx context.Context, era uint64) {
	s.Counters.StoreEras.Add(1)
	s.log.Warn("store was restored from an older copy; reading everything again", zap.Uint64("era", era))
	s.watches.abandon(time.Now())
	s.restoreHosts(ctx)
}

// restoreHosts writes hosts of this zone that the store has lost, until all are listed.
func (s *Spread) restoreHosts(ctx context.Context) {
	directory, ok := s.platform.(store.Directory)
	if !s.settings.Register || !ok {
		return
	}
	sleep(ctx, time.Duration(s.rank())*restoreRankDelay)
	backoff := time.Duration(0)
	for ctx.Err() == nil && s.restoreOnce(ctx, directory) != nil {
		backoff = min(max(2*backoff, minBackoff), maxRestoreBackoff)
		sleep(ctx, s.jitter(backoff))
	}
}

// restoreOnce reads the list of hosts and writes those of this zone that are missing.
func (s *Spread) restoreOnce(ctx context.Context, directory store.Directory) error {
	listed, err := s.readHosts(ctx)
	if err != nil {
		return err
	}
	for _, r := range s.unlisted(listed) {
		s.Counters.PlatformReads.Add(1)
		host := store.Host{Host: r.Host, Address: r.Address, Zone: r.Zone, Region: r.Region, State: store.HostLive}
		limited, cancel := context.WithTimeout(ctx, registerTimeout)
		err := directory.Restore(limited, host)
		cancel()
		s.noteStore(ctx, err)
		if err != nil {
			s.Counters.PlatformErrors.Add(1)
			return eris.Wrap(errNotRestored, err.Error())
		}
		s.Counters.HostsRestored.Add(1)
		s.log.Info("host restored in the store's list", zap.String("lost", r.Host))
		sleep(ctx, restoreInterval)
	}
	return nil
}

// unlisted returns the members of this zone, including this node, that are missing from a
// list.
func (s *Spread) unlisted(listed []member.ListedHost) []member.Record {
	named := make(map[string]bool, len(listed))
	for _, l := range listed {
		named[l.Host] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	zone := s.view.Self().Zone
	var lost []member.Record
	for _, r := range s.view.All() {
		if r.Zone == zone && r.State != member.Gone && r.Address != "" && !named[r.Host] {
			lost = append(lost, r)
		}
	}
	return lost
}
