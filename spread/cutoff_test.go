// SPDX-License-Identifier: MIT

package spread

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ryehaven/ryehaven/store"
	"github.com/ryehaven/ryehaven/table"
)

// Guards against a group of nodes that keeps an old table: nodes that are cut off together reach each
// other and the store, but none of them watches it, so that they heard of a change only after 31 s.
func TestGroupCutOffTogetherFollowsTheStore(t *testing.T) {
	for _, test := range []struct {
		nodes, zones int
		// share is the part of the nodes of the first zone that are cut off.
		share  float64
		silent bool
	}{
		{13, 3, 0.5, false}, {13, 3, 0.5, true}, {13, 3, 0.7, false},
		{largeFleet, 3, 0.2, false}, {largeFleet, 3, 0.2, true}, {largeFleet, 3, 0.8, true},
	} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, s, wait := beginWatchingWith(t, test.nodes, test.zones, func(s *connStore) store.Client { return s })
				defer f.stop(wait)
				time.Sleep(10 * time.Second)
				generation := table.Generation(1)
				before, _ := s.counts()
				for range 3 {
					f.cut(test.silent, f.lastOfFirstZone(test.share))
					time.Sleep(3 * time.Second)
					for range 3 {
						generation++
						s.putTable(t, generation)
						f.waitUntilInForce(t, "the table", generation, 1)
						time.Sleep(time.Second)
					}
					f.cut(false, nil)
					time.Sleep(30 * time.Second)
				}
				after, _ := s.counts()
				t.Logf("%d calls of the store", after-before)
				for _, n := range f.nodes {
					if n.spread.role() == cutOffWatcher {
						t.Errorf("%s still watches for its group", n.record.Host)
					}
				}
			})
		})
	}
}

// lastOfFirstZone returns the nodes of the first zone that come last in rank, a share of them.
func (f *fleet) lastOfFirstZone(share float64) map[string]bool {
	var inZone []*fleetNode
	for _, n := range f.nodes {
		if n.record.Zone == f.nodes[0].record.Zone {
			inZone = append(inZone, n)
		}
	}
	hosts := map[string]bool{}
	for _, n := range inZone {
		if n.spread.rank() >= max(int((1-share)*float64(len(inZone))), watchers) {
			hosts[n.record.Host] = true
		}
	}
	return hosts
}
