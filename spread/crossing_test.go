// SPDX-License-Identifier: MIT

package spread

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ryehaven/ryehaven/table"
)

// Who alone heard of a table from the platform tells every zone, and each zone is told
// twice: of 300 tables half were in force everywhere after 20 ms and 297 after 265 ms;
// when other zones were told by chance and once, after 125 ms and 1.1 s.
func TestNewsFromThePlatformCrossesZonesAtOnce(t *testing.T) {
	const tables = 30
	var took []time.Duration
	synctest.Test(t, func(t *testing.T) {
		f, wait := startFleet(t)
		f.agree(t, 8*time.Second)
		for i := range tables {
			generation := table.Generation(i + 2)
			f.nodes[i%fleetNodes].spread.offer(snapshot(t, generation, "y"), fromPlatform)
			took = append(took, f.heard(t, "a table", generation, 0))
			time.Sleep(3 * time.Second)
		}
		f.stop(wait)
	})
	slices.Sort(took)
	middle, late := took[tables/2], took[tables*9/10]
	t.Logf("in force everywhere after %v, 9 of 10 after %v, all after %v", middle, late, took[tables-1])
	if middle > 60*time.Millisecond || late > 450*time.Millisecond {
		t.Errorf("half are in force after %v, 9 of 10 after %v", middle, late)
	}
}
