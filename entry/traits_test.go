// SPDX-License-Identifier: MIT

package entry

import (
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/table"
)

func TestTraitsOfARoute(t *testing.T) {
	e := &Entry{traits: map[string]*traits{}}
	route := &table.Route{Host: "h", Prefix: "/a/"}
	if len(e.Latencies()) != 0 || e.traitsOf(route).demand(time.Now(), time.Now()).Known() {
		t.Error("something is known of a route without answers")
	}
	for n := range 100 {
		e.traitsOf(route).observe(time.Duration(n+1)*time.Millisecond, 1000)
	}
	got := e.Latencies()
	if len(got) != 1 || got[0].Route != "h/a/" || got[0].Count != 100 || got[0].P50 < 45 || got[0].P50 > 56 || got[0].Max < 99 {
		t.Errorf("latencies %+v", got)
	}
	now := time.Now()
	if d := e.traitsOf(route).demand(now, now.Add(time.Second)); !d.Known() || d.Bytes < 900 || d.Bytes > 1100 || d.Aim != time.Second {
		t.Errorf("demand %+v", d)
	}
	e.dropTraits(&table.Table{})
	if len(e.Latencies()) != 0 {
		t.Error("a route that the table no longer has is kept")
	}
}
