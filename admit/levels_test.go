// SPDX-License-Identifier: MIT

package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/table"
)

// Urgent pushes of 120 ms come beside bulk work of 94 ms that alone asks up to three times
// what the server can do: pushes, for which there would be room, are no longer lost to bulk
// work that began before them, and what room they leave is filled.
func TestLeastUrgentLevelsAreTurnedAwayFirst(t *testing.T) {
	push := stream{perSecond: 12, work: 120 * time.Millisecond, aim: 400 * time.Millisecond, deadline: 1200 * time.Millisecond,
		wait: 400 * time.Millisecond / 7, priority: table.Normal}
	for _, test := range []struct{ bulk, gain float64 }{{0.2, 0}, {1.5, 0.03}, {3, 0.03}} {
		var pushes, all [2]float64
		for i, blind := range []bool{true, false} {
			got := sum(2*replaySeeds, replayLength, blind, func(seed uint64) *replay {
				return newReplay(seed, push, fetch(test.bulk*4/0.094))
			})
			got[0].log(t, fmt.Sprintf("pushes beside %.1f, blind %v", test.bulk, blind))
			got[1].log(t, fmt.Sprintf("bulk of %.1f, blind %v", test.bulk, blind))
			pushes[i] = got[0].share(got[0].inTime)
			all[i] = float64(got[0].inTime + got[1].inTime)
		}
		if pushes[1] < pushes[0]+test.gain {
			t.Errorf("beside %.1f, %.3f of the pushes are in time, %.3f without knowing of aims", test.bulk, pushes[1], pushes[0])
		}
		if all[1] < 0.95*all[0] {
			t.Errorf("beside %.1f, %.0f are in time, %.0f without knowing of aims", test.bulk, all[1], all[0])
		}
	}
}

// A level of which a part is turned away is let in evenly by the rest.
func TestPartOfALevelFindsRoom(t *testing.T) {
	l := levelsOpen{shut: 0.25}
	in := 0
	for range 100 {
		if !l.shuts(&Ticket{Priority: table.Bulk, Aim: start}) {
			in++
		}
		if l.shuts(&Ticket{Priority: table.Normal, Aim: start}) {
			t.Fatal("a level is turned away although one that is less urgent finds room")
		}
	}
	if in != 75 {
		t.Errorf("%d of 100 found room, want 75", in)
	}
}

// Levels change twice a second at most, the most urgent that loses requests is never turned
// away, and all find room again once nothing is lost.
func TestLevelsChangeSeldom(t *testing.T) {
	var l levelsOpen
	changes, now := 0, start
	lose := func(priority table.Priority) {
		for range 10 {
			l.ended(&Ticket{Priority: priority, Patient: true, Aim: start}, true)
		}
	}
	for i := range 400 {
		before := l.open()
		now = now.Add(25 * time.Millisecond)
		if i < 200 && before == table.Priorities {
			lose(table.Normal) // It helps at once.
		}
		if l.roll(now); l.open() != before {
			changes++
		}
		if l.open() <= int(table.Normal) {
			t.Fatal("a level is turned away although none that is more urgent loses requests")
		}
	}
	if changes > 10 {
		t.Errorf("%d changes in five seconds of losses", changes)
	}
	if l.open() != table.Priorities {
		t.Errorf("%d levels find room after five calm seconds", l.open())
	}
	lose(table.Bulk)
	if l.roll(now.Add(levelWindow)); l.open() != table.Priorities {
		t.Error("a level is turned away for its own losses")
	}
}
