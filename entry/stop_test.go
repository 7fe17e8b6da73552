// SPDX-License-Identifier: MIT

package entry

import (
	"testing"
	"time"
)

// What a stopping entry takes: all of it can end before the node does.
func TestStoppingEntryTakesWhatItCanAnswer(t *testing.T) {
	began := time.Now()
	known, unknown := &traits{}, &traits{}
	for range longestLeast {
		known.observe(200*time.Millisecond, 0, 100)
	}
	for _, test := range []struct {
		name   string
		after  time.Duration
		budget time.Duration
		traits *traits
		grace  time.Duration
		want   bool
	}{
		{"at once, short", 0, time.Second, unknown, 6 * time.Second, true},
		{"at once, longer than the stop, usually short", 0, 10 * time.Second, known, 6 * time.Second, true},
		{"at once, longer than the stop, nothing known", 0, 10 * time.Second, unknown, 6 * time.Second, false},
		{"callers turned away, fits at most", 3 * time.Second, 1500 * time.Millisecond, known, 6 * time.Second, true},
		{"callers turned away, fits usually only", 5 * time.Second, 1500 * time.Millisecond, known, 6 * time.Second, false},
		{"just before the end", 5900 * time.Millisecond, time.Second, known, 6 * time.Second, false},
		{"short grace, usually short", time.Second, 5 * time.Second, known, 3 * time.Second, true},
		{"short grace, too late for the usual", 2900 * time.Millisecond, time.Second, known, 3 * time.Second, false},
		{"long grace", 20 * time.Second, 5 * time.Second, known, 30 * time.Second, true},
		{"no route, fits", time.Second, time.Second, nil, 6 * time.Second, true},
		{"no route, does not fit", time.Second, 8 * time.Second, nil, 6 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := &Entry{}
			now := began.Add(test.after)
			r := &request{deadline: now.Add(test.budget), traits: test.traits}
			if !e.takes(now, r) {
				t.Fatal("an entry that goes on refuses")
			}
			e.Stop(began.Add(2*time.Second), began.Add(test.grace))
			if got := e.takes(now, r); got != test.want {
				t.Errorf("takes %v, want %v", got, test.want)
			}
		})
	}
}
