// SPDX-License-Identifier: MIT

package gate

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/wire"
)

func TestHeadroomChanged(t *testing.T) {
	cold := wire.Headroom{AdmittedPriorities: 3, ColdMillis: 2000, TokenIntervalMillis: 55, BulkTokenWaitMillis: 100}
	with := func(change func(r *wire.Headroom)) wire.Headroom {
		r := cold
		change(&r)
		return r
	}
	for _, c := range []struct {
		name               string
		believed, headroom wire.Headroom
		ago                time.Duration
		want               bool
	}{
		{"unchanged", cold, cold, time.Second, false},
		{"still warm", wire.Headroom{AdmittedPriorities: 3}, wire.Headroom{AdmittedPriorities: 3}, time.Second, false},
		{"became cold", wire.Headroom{AdmittedPriorities: 3}, cold, 0, true},
		{"became warm earlier than reported", cold, wire.Headroom{AdmittedPriorities: 3}, 0, true},
		{"end of cold time moved a little", cold, with(func(r *wire.Headroom) { r.ColdMillis -= 150 }), time.Second, false},
		{"end of cold time moved", cold, with(func(r *wire.Headroom) { r.ColdMillis += 500 }), 0, true},
		{"one more request waits", cold, with(func(r *wire.Headroom) { r.BulkTokenWaitMillis += 55 }), time.Second, false},
		{"three more requests wait", cold, with(func(r *wire.Headroom) { r.BulkTokenWaitMillis += 165 }), time.Second, true},
		{"three more requests wait, reported just now", cold, with(func(r *wire.Headroom) { r.BulkTokenWaitMillis += 165 }), 100 * time.Millisecond, false},
		{"different rate", cold, with(func(r *wire.Headroom) { r.TokenIntervalMillis = 70 }), 0, true},
		{"fewer priority levels", cold, with(func(r *wire.Headroom) { r.AdmittedPriorities = 1 }), 0, true},
	} {
		if got := headroomChanged(c.believed, c.headroom, c.ago); got != c.want {
			t.Errorf("%s: changed %v, want %v", c.name, got, c.want)
		}
	}
}

// A gate notifies entries once when its server becomes cold or may have, and once when it is
// warm.
func TestHeadroomUpdateOfAColdServer(t *testing.T) {
	var left atomic.Int64
	left.Store(700)
	g := coldGate(t, &left)
	now := time.Now()
	headroom, ok := g.HeadroomUpdate(now)
	if !ok || headroom.ColdMillis < 3_500_000 || headroom.TokenIntervalMillis != 200 || headroom.BulkTokenWaitMillis > 200 {
		t.Fatalf("assumed cold: %+v, update %v", headroom, ok)
	}
	if headroom, ok = g.HeadroomUpdate(now.Add(10 * time.Millisecond)); ok {
		t.Errorf("second update without a change: %+v", headroom)
	}
	g.probeNow()
	if headroom, ok = g.HeadroomUpdate(time.Now()); !ok || headroom.ColdMillis > 700 || headroom.ColdMillis < 500 {
		t.Errorf("reported as cold: %+v, update %v", headroom, ok)
	}
	if headroom, ok = g.HeadroomUpdate(time.Now().Add(time.Second)); ok {
		t.Errorf("update although the cold time ended as reported: %+v", headroom)
	}
	left.Store(0)
	g.probeNow()
	g.AssumeCold(time.Now())
	if headroom, ok = g.HeadroomUpdate(time.Now()); !ok || headroom.ColdMillis == 0 {
		t.Errorf("assumed cold again: %+v, update %v", headroom, ok)
	}
	g.probeNow()
	if headroom, ok = g.HeadroomUpdate(time.Now()); !ok || headroom.ColdMillis != 0 || headroom.TokenIntervalMillis != 0 {
		t.Errorf("warm: %+v, update %v", headroom, ok)
	}
}
