// SPDX-License-Identifier: MIT

package blame

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// named returns a print for a name.
func named(name string) (p Print) {
	copy(p[:], name)
	return p
}

func verdictOf(l *Ledger, now time.Time, p Print) Verdict {
	v, _ := l.Judge(now, p)
	return v
}

// The culprit is at work at both ends. Those beside it at the first are suspects; one that
// was at the second too, beside a suspect that ran alone, is not what ended it.
func TestCulpritIsToldFromThoseBesideIt(t *testing.T) {
	var l Ledger
	culprit, beside, later := named("culprit"), named("beside"), named("later")
	if !l.Empty() || verdictOf(&l, start, culprit) != Clear {
		t.Fatal("an empty ledger suspects somebody")
	}
	l.Ended(start, 1, []AtWork{{Print: culprit}, {Print: beside}})
	for _, p := range []Print{culprit, beside} {
		if v := verdictOf(&l, start, p); v != Suspect {
			t.Errorf("after one end: %v, want a suspect", v)
		}
	}
	l.Ended(start, 2, []AtWork{{Print: culprit, Suspect: true}, {Print: later}})
	want := map[Print]Verdict{culprit: Blamed, beside: Suspect, later: Suspect, named("other"): Clear}
	for p, v := range want {
		if got := verdictOf(&l, start, p); got != v {
			t.Errorf("%s: %v, want %v", p[:], got, v)
		}
	}
}

// All servers of a service ended at one moment, and requests were at work at several of
// them: that is no reason to blame any, as none had been sent to a server after an end.
func TestEndsOfOneMomentBlameNobody(t *testing.T) {
	var l Ledger
	for end := range uint64(5) {
		l.Ended(start, end, []AtWork{{Print: named("hot")}})
	}
	if v := verdictOf(&l, start, named("hot")); v != Suspect {
		t.Errorf("%v, want a suspect", v)
	}
}

// A path that many callers ask for is at work at nearly every end, and is answered
// everywhere else.
func TestAnswerClears(t *testing.T) {
	var l Ledger
	hot := named("hot")
	for end := range uint64(20) {
		l.Ended(start, end, []AtWork{{Print: hot, Suspect: true}})
		l.Answered(start, hot)
		if v := verdictOf(&l, start, hot); v != Clear {
			t.Fatalf("after %d ends with an answer after each: %v, want clear", end+1, v)
		}
	}
	// A record from before the answer changes nothing.
	l.Merge(start, []Record{{Print: hot, Ends: []uint64{1, 2}, Alone: true}})
	if v := verdictOf(&l, start, hot); v != Clear {
		t.Errorf("after an old record: %v, want clear", v)
	}
}

// A blame is lifted by itself, each time later, and what is lifted is suspect for a while.
func TestBackoffsEndAndGrow(t *testing.T) {
	var l Ledger
	p, now, before := named("p"), start, time.Duration(0)
	l.Ended(now, 0, []AtWork{{Print: p}})
	for end := uint64(1); end < 7; end++ {
		l.Ended(now, end, []AtWork{{Print: p, Suspect: true}})
		_, left := l.Judge(now, p)
		if left <= before && left < longestBackoff {
			t.Errorf("end %d: backoff %v after %v", end, left, before)
		}
		if v := verdictOf(&l, now.Add(left-1), p); v != Blamed {
			t.Errorf("end %d: %v before the backoff is over", end, v)
		}
		now, before = now.Add(left), left
		if v := verdictOf(&l, now, p); v != Suspect {
			t.Errorf("end %d: %v after the backoff, want a suspect", end, v)
		}
	}
	l.Sum(now.Add(keptFor))
	if !l.Empty() {
		t.Error("it is never forgotten")
	}
}

// However many requests are suspects, those that are blamed stay.
func TestFloodIsBoundedAndPushesOutNoBlame(t *testing.T) {
	var l Ledger
	p := named("p")
	l.Ended(start, 0, []AtWork{{Print: p}})
	l.Ended(start, 1, []AtWork{{Print: p, Suspect: true}})
	for i := range 3 * MaxRecords {
		l.Ended(start.Add(time.Second), uint64(i+2), []AtWork{{Print: Print{1, byte(i), byte(i >> 8)}}})
	}
	if n := len(l.Records(start.Add(time.Second))); n != MaxRecords {
		t.Errorf("%d records, want %d", n, MaxRecords)
	}
	if v := verdictOf(&l, start.Add(time.Second), p); v != Blamed {
		t.Errorf("%v, want blamed", v)
	}
}

// Records of other builds, or that were changed on the way, are left out.
func TestBadRecordsAreLeftOut(t *testing.T) {
	for name, r := range map[string]Record{
		"negative age":  {Print: named("p"), Ends: []uint64{1}, AgeMillis: -1},
		"too old":       {Print: named("p"), Ends: []uint64{1}, AgeMillis: keptFor.Milliseconds()},
		"unsorted ends": {Print: named("p"), Ends: []uint64{2, 1}},
		"too many ends": {Print: named("p"), Ends: make([]uint64, maxEnds+1)},
	} {
		var l Ledger
		if l.Merge(start, []Record{r}); !l.Empty() {
			t.Errorf("%s: taken", name)
		}
	}
}

// Nodes that see ends and answers, and tell each other in any order, any number of times,
// end with the same records and verdicts.
func TestNodesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := make([]Ledger, rapid.IntRange(2, 4).Draw(t, "nodes"))
		prints := []Print{named("a"), named("b"), named("c")}
		pick := rapid.IntRange(0, len(nodes)-1)
		which := rapid.SampledFrom(prints)
		now, end := start, uint64(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			node := &nodes[pick.Draw(t, "node")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				end++
				node.Ended(now, end, []AtWork{{Print: which.Draw(t, "culprit"), Suspect: rapid.Bool().Draw(t, "alone")}})
			case 1:
				node.Answered(now, which.Draw(t, "answered"))
			default:
				node.Merge(now, nodes[pick.Draw(t, "from")].Records(now))
			}
		}
		for range 2 { // Until all has come round.
			for i := range nodes {
				for j := range nodes {
					nodes[i].Merge(now, nodes[j].Records(now))
				}
			}
		}
		for i := range nodes {
			if nodes[i].Sum(now) != nodes[0].Sum(now) {
				t.Fatalf("nodes 0 and %d know %+v and %+v", i, nodes[0].Records(now), nodes[i].Records(now))
			}
			for _, p := range prints {
				if a, b := verdictOf(&nodes[0], now, p), verdictOf(&nodes[i], now, p); a != b {
					t.Fatalf("verdicts %v and %v", a, b)
				}
			}
		}
		again := nodes[0].Merge(now, slices.Concat(nodes[0].Records(now), nodes[1].Records(now)))
		if len(again) != 0 {
			t.Fatalf("what is known is news: %+v", again)
		}
	})
}
