// SPDX-License-Identifier: MIT

package gate

import (
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/peer"
)

// A report that leaves a request out whose answer is on the way is taken back with it, and
// no other.
func TestReportIsDoubtedOnceACountedRequestIsAnswered(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name string
		// age is the answered request's when the report came, and after how much later its
		// answer began.
		age, after time.Duration
		stands     bool
	}{
		{"at once", reportLeast, ms, false},
		{"just in time", reportLeast, reportLeast - ms, false},
		{"too late", reportLeast, reportLeast, true},
		{"of one too young to be counted", reportLeast - ms, ms, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := startSpeedServer(t).gate(50)
			t.Cleanup(g.Close)
			reported := time.Now()
			lost, earlier := &job{denied: reported}, &job{denied: reported.Add(-time.Second)}
			answered := &job{began: reported.Add(-test.age)}
			g.jobs = map[*peer.Stream]*job{{}: lost, {}: earlier, {}: answered}
			g.silence.denied = reported
			g.heard(answered, reported.Add(test.after))
			if stands := !lost.denied.IsZero(); stands != test.stands {
				t.Errorf("the denial stands: %v, want %v", stands, test.stands)
			}
			if earlier.denied.IsZero() {
				t.Error("an earlier denial was taken back")
			}
		})
	}
}

// What a report denies severs nothing for as long as a process may stand still.
func TestDenialMustStand(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		since time.Time
		long  bool
	}{
		{time.Time{}, false},
		{now.Add(-patienceLeast + 1), false},
		{now.Add(-patienceLeast), true},
	} {
		if j := (&job{denied: test.since}); j.deniedLong(now) != test.long {
			t.Errorf("denied since %v, now %v: severed %v, want %v", test.since, now, !test.long, test.long)
		}
	}
}
