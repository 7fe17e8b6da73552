// SPDX-License-Identifier: MIT

package spread

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ryehaven/ryehaven/store"
)

// Nothing is asked while there is no table, so nothing is heard either: a watch that was
// open before the probe was begun anew although the store had answered nobody.
func TestProbeThatAsksNothingAbandonsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSpread(t, 1000)
		s.platform = newLineStore()
		s.settings.InForce = inForce
		close(s.joined)
		watching, end := s.watches.begin(t.Context(), store.EvacuationsKey)
		defer end()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		time.Sleep(time.Millisecond)
		s.runProbes(ctx)
		if watching.Err() != nil {
			t.Error("a watch was abandoned although nothing was answered")
		}
	})
}

// flawed is a store whose probes have a flaw.
type flawed struct {
	*lineStore
	flaw func(ctx context.Context, p *flawedProbe, tag string, limit time.Duration) (bool, error)
}

// flawedProbe is a probe of a flawed store.
type flawedProbe struct {
	store.Probe
	flaw func(ctx context.Context, p *flawedProbe, tag string, limit time.Duration) (bool, error)
	// nth is which check of the connection it is, from 1.
	nth int
}

// Probe implements store.Prober.
func (s *flawed) Probe(ctx context.Context, limit time.Duration) (store.Probe, error) {
	p, err := s.lineStore.Probe(ctx, limit)
	return &flawedProbe{Probe: p, flaw: s.flaw}, err
}

// Check implements store.Probe.
func (p *flawedProbe) Check(ctx context.Context, tag string, limit time.Duration) (bool, error) {
	p.nth++
	return p.flaw(ctx, p, tag, limit)
}

// forgetful says of every version that it has changed: the history is gone.
func forgetful(ctx context.Context, p *flawedProbe, tag string, limit time.Duration) (bool, error) {
	_, err := p.Probe.Check(ctx, tag, limit)
	return true, err
}

// Calls of a minute, of 13 nodes in three zones: checks that were wrong about a silence
// or a change had the watches begun anew again and again.
func TestFlawedChecksCostFewCalls(t *testing.T) {
	const calm = 24
	for _, test := range []struct {
		name string
		flaw func(ctx context.Context, p *flawedProbe, tag string, limit time.Duration) (bool, error)
		// most calls in a minute.
		most int
	}{
		{"history gone", forgetful, calm},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, s, wait := beginWatchingBy(t, 13, 3, func(s *lineStore) store.Client { return &flawed{s, test.flaw} })
				defer f.stop(wait)
				time.Sleep(10 * time.Second)
				before, _ := s.counts()
				time.Sleep(time.Minute)
				after, _ := s.counts()
				t.Logf("%d calls", after-before)
				if after-before > test.most {
					t.Errorf("%d calls in a minute, more than %d", after-before, test.most)
				}
			})
		})
	}
}
