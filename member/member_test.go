// SPDX-License-Identifier: MIT

package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func record(n int) Record {
	return Record{Host: fmt.Sprint("h", n), Incarnation: 100, Address: fmt.Sprint("a", n), Zone: fmt.Sprint("z", n%2)}
}

// Two views that merge the same records in different orders and numbers of times end up with
// the same records and digests.
func TestViewsConvergeForAnyMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Record {
			r := record(rapid.IntRange(1, 5).Draw(t, "host"))
			r.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			r.Address = fmt.Sprint(r.Host, r.Incarnation) // An incarnation has one address.
			r.State = State(rapid.IntRange(0, 1).Draw(t, "state"))
			return r
		})).Draw(t, "records")
		first, second := NewView(record(0)), NewView(record(0))
		for _, r := range records {
			first.Merge(start, []Record{r})
		}
		for _, i := range rand.Perm(len(records)) {
			second.Merge(start, []Record{records[i], records[0]})
		}
		if first.Digest() != second.Digest() {
			t.Fatalf("views differ:\n%v\n%v", first.All(), second.All())
		}
		if buckets := first.Digest().Differing(second.Digest().Truncate()); buckets != 0 {
			t.Fatalf("views with equal digests differ in the buckets %b", buckets)
		}
		for _, r := range first.All() {
			for _, other := range records {
				if other.Host == r.Host && other.newer(r) {
					t.Fatalf("the view has %+v although %+v was merged", r, other)
				}
			}
		}
	})
}

// reconcile runs one exchange between two views, started by a, and returns the number of
// records that were sent.
func reconcile(a, b *View, from, limit int) int {
	buckets := a.Digest().Differing(b.Digest().Truncate())
	c := b.Compare(buckets, a.VersionEntries(buckets), from, limit)
	wanted := a.RecordsByHash(c.Wanted)
	a.Merge(start, c.Records)
	b.Merge(start, wanted)
	return len(c.Records) + len(wanted)
}

// An exchange sends each side the records that it lacks and no others.
func TestExchangeSendsOnlyMissingRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewView(record(0)), NewView(record(1))
		missing := 2 // Each other's own records.
		for n := range 100 {
			r := record(n + 2)
			old := r
			r.Version = 1
			switch rapid.IntRange(0, 4).Draw(t, "which side has the record") {
			case 0:
				a.Merge(start, []Record{r})
			case 1:
				b.Merge(start, []Record{r})
			case 2:
				a.Merge(start, []Record{r})
				b.Merge(start, []Record{old})
			case 3:
				b.Merge(start, []Record{r})
				a.Merge(start, []Record{old})
			case 4:
				a.Merge(start, []Record{r})
				b.Merge(start, []Record{r})
				missing--
			}
			missing++
		}
		from := rapid.IntRange(0, 1000).Draw(t, "from")
		if sent := reconcile(a, b, from, 200); sent != missing {
			t.Errorf("%d records were sent, %d were missing", sent, missing)
		}
		if a.Digest() != b.Digest() || a.Len() != 102 {
			t.Errorf("views differ, with %d and %d nodes", a.Len(), b.Len())
		}
	})
}

// One exchange transfers a limited number of records, and no more exchanges than necessary
// transfer all records, in both directions.
func TestExchangesAreLimited(t *testing.T) {
	for _, test := range []struct {
		name  string
		order func(full, empty *View) (a, b *View)
	}{
		{"the querying node lacks the records", func(full, empty *View) (*View, *View) { return empty, full }},
		{"the queried node lacks the records", func(full, empty *View) (*View, *View) { return full, empty }},
	} {
		t.Run(test.name, func(t *testing.T) {
			full, empty := NewView(record(0)), NewView(record(0))
			for n := range 300 {
				full.Merge(start, []Record{record(n + 1)})
			}
			exchanges := 0
			for ; full.Digest() != empty.Digest(); exchanges++ {
				a, b := test.order(full, empty)
				if sent := reconcile(a, b, 7*exchanges, 20); sent > 20 || exchanges > 15 {
					t.Fatalf("%d records in exchange %d", sent, exchanges)
				}
			}
			if exchanges != 15 {
				t.Errorf("%d exchanges transferred 300 records, 20 at a time; want 15", exchanges)
			}
		})
	}
}

// The record of a forgotten node is not requested from nodes that have not forgotten it yet,
// unless they have a newer record.
func TestForgottenNodesAreNotWanted(t *testing.T) {
	v, other := NewView(record(0)), NewView(record(1))
	v.Merge(start, []Record{record(1), record(2)})
	other.Merge(start, []Record{record(0), record(2)})
	v.MarkUnreachable(start, "h2")
	v.RemoveExpired(start.Add(forgetUnreachableAfter))
	all := ^BucketSet(0)
	if c := v.Compare(all, other.VersionEntries(all), 0, 10); len(c.Wanted) != 0 {
		t.Errorf("%d records are wanted, want none of the forgotten node", len(c.Wanted))
	}
	newer := record(2)
	newer.Version++
	other.Merge(start, []Record{newer})
	if c := v.Compare(all, other.VersionEntries(all), 0, 10); len(c.Wanted) != 1 {
		t.Errorf("%d records are wanted, want the newer one", len(c.Wanted))
	}
}

// The record of a node that is gone is sent to nodes that knew the node as live. It makes no
// difference between the digests of nodes that keep the record and nodes that never had one.
func TestGoneNodesDoNotChangeDigests(t *testing.T) {
	keeps, knew, never := NewView(record(0)), NewView(record(0)), NewView(record(0))
	gone := record(2)
	gone.State = Gone
	for _, v := range []*View{keeps, knew} {
		v.Merge(start, []Record{record(2)})
	}
	keeps.Merge(start, []Record{gone})
	if keeps.Digest() != never.Digest() {
		t.Error("digests differ between a view with the record of a gone node and a view without")
	}
	if sent := reconcile(keeps, never, 0, 10); sent != 0 {
		t.Errorf("%d records of a gone node were sent", sent)
	}
	for _, exchange := range []func(){
		func() { reconcile(keeps, knew, 0, 10) },
		func() { reconcile(knew, keeps, 0, 10) },
	} {
		exchange()
		if r, _ := knew.Record("h2"); r.State != Gone {
			t.Error("a view that had the node as live did not receive that it is gone")
		}
		knew = NewView(record(0))
		knew.Merge(start, []Record{record(2)})
	}
}

// A truncated digest with another number of buckets, which another version of the software
// may send, differs in all buckets.
func TestDigestsOfAnotherLengthDiffer(t *testing.T) {
	v := NewView(record(0))
	for _, other := range []TruncatedDigest{nil, make(TruncatedDigest, Buckets-1), make(TruncatedDigest, Buckets+1)} {
		if buckets := v.Digest().Differing(other); buckets != ^BucketSet(0) {
			t.Errorf("digest with %d buckets: the buckets %b differ, want all", len(other), buckets)
		}
	}
}

func TestOneNodeOfEachOtherZone(t *testing.T) {
	v := NewView(record(0))
	zones := []string{"z0", "z1", "z2", "z3"}
	for n := 1; n < 40; n++ {
		r := record(n)
		r.Zone = zones[n%4]
		v.Merge(start, []Record{r})
	}
	for _, r := range v.Sample(start, rand.New(rand.NewPCG(1, 1)), 100, AnyZone) {
		if r.Zone == "z3" {
			v.MarkUnreachable(start, r.Host)
		}
	}
	rng := rand.New(rand.NewPCG(1, 2))
	drawn := map[string]bool{}
	for range 300 {
		sample := v.OneOfEachOtherZone(start, rng)
		if len(sample) != 2 || sample[0].Zone == sample[1].Zone {
			t.Fatalf("sample is %v, want one node of each other reachable zone", sample)
		}
		drawn[sample[0].Host], drawn[sample[1].Host] = true, true
	}
	if len(drawn) != 20 {
		t.Errorf("%d of 20 nodes were drawn in 300 samples", len(drawn))
	}
	if n := v.ReachableInOwnZone(start); n != 10 {
		t.Errorf("%d reachable nodes in the own zone, want 10", n)
	}
}

func TestReceivedRecordsOfTheOwnHost(t *testing.T) {
	self := record(0)
	tests := []struct {
		name        string
		received    Record
		incarnation uint64
		state       State
		replaced    bool
	}{
		{"an older incarnation", Record{Host: "h0", Incarnation: 50, Address: "a9", State: Gone}, 100, Live, false},
		{"an earlier process with a later clock", Record{Host: "h0", Incarnation: 500, Address: "a0"}, 501, Live, false},
		{"a new host at another address", Record{Host: "h0", Incarnation: 500, Address: "a9"}, 100, Live, true},
		{"leaving according to the list", Record{Host: "h0", Incarnation: 100, Address: "a0", State: Leaving}, 100, Leaving, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := NewView(self)
			v.Merge(start, []Record{test.received})
			got := v.Self()
			if got.Incarnation != test.incarnation || got.State != test.state || v.Replaced() != test.replaced {
				t.Errorf("self is %+v, replaced %t", got, v.Replaced())
			}
		})
	}
}

func TestPlatformListAndRecords(t *testing.T) {
	listed := func(leaving bool, changed int64) []ListedHost {
		return []ListedHost{{Host: "h1", Address: "a1", Zone: "z1", Leaving: leaving, ChangedMillis: changed}}
	}
	v := NewView(record(0))
	steps := []struct {
		name  string
		act   func()
		state State
	}{
		{"listed only", func() { v.MergeListed(start, listed(false, 0)) }, Live},
		{"its own record", func() { v.Merge(start, []Record{record(1)}) }, Live},
		{"listed as leaving before its incarnation", func() { v.MergeListed(start, listed(true, 99)) }, Live},
		{"listed as leaving", func() { v.MergeListed(start, listed(true, 150)) }, Leaving},
		{"its own older record", func() { v.Merge(start, []Record{record(1)}) }, Leaving},
		{"an outdated list", func() { v.MergeListed(start, listed(false, 120)) }, Leaving},
		{"listed as live again", func() { v.MergeListed(start, listed(false, 200)) }, Live},
		{"an outdated list with the leaving state", func() { v.MergeListed(start, listed(true, 100)) }, Live},
	}
	for _, step := range steps {
		step.act()
		if r, ok := v.Record("h1"); !ok || r.State != step.state {
			t.Fatalf("%s: record is %+v, want state %v", step.name, r, step.state)
		}
	}
	v.MergeListed(start, nil)
	if _, ok := v.Record("h1"); !ok {
		t.Error("a host that is missing in the list was removed from the view")
	}
}

func TestRanksInAZoneAreDistinct(t *testing.T) {
	const nodes = 20
	views := make([]*View, nodes)
	for i := range views {
		views[i] = NewView(record(i))
		for j := range nodes {
			views[i].Merge(start, []Record{record(j)})
		}
	}
	for _, zone := range []int{0, 1} {
		seen := map[int]bool{}
		for i := zone; i < nodes; i += 2 {
			seen[views[i].Rank("watch")] = true
		}
		for rank := range nodes / 2 {
			if !seen[rank] {
				t.Errorf("zone %d has no node with rank %d", zone, rank)
			}
		}
	}
}

// A node learns from the records how many nodes that come before it in rank have lost their
// connection to the store.
func TestStoreLostBefore(t *testing.T) {
	a, b := NewView(record(0)), NewView(record(2))
	a.Merge(start, []Record{b.Self()})
	b.Merge(start, []Record{a.Self()})
	first, second := a, b
	if a.Rank("watch") > 0 {
		first, second = b, a
	}
	for _, lost := range []bool{true, false} {
		if !first.SetStoreLost(lost) || first.SetStoreLost(lost) {
			t.Errorf("lost %v: SetStoreLost must report a change the first time only", lost)
		}
		second.Merge(start, []Record{first.Self()})
		if got := second.StoreLostBefore("watch") == 1; got != lost {
			t.Errorf("lost %v: the second node counts a lost store: %v", lost, got)
		}
		if first.StoreLostBefore("watch") != 0 {
			t.Error("the first node counts itself or a node after it")
		}
	}
}

func TestGoneNodesAreRemovedLater(t *testing.T) {
	v := NewView(record(0))
	v.Merge(start, []Record{record(1)})
	before := NewView(record(0)).Digest()
	gone := record(1)
	gone.State = Gone
	v.Merge(start, []Record{gone})
	v.RemoveExpired(start.Add(rememberGoneFor - 1))
	v.Merge(start, []Record{record(1)})
	if r, _ := v.Record("h1"); r.State != Gone {
		t.Errorf("an old record replaced that of a gone node: %+v", r)
	}
	v.RemoveExpired(start.Add(rememberGoneFor))
	if _, ok := v.Record("h1"); ok || v.Digest() != before {
		t.Error("the node has not been removed")
	}
}

func TestUnreachableNodesAreBackedOff(t *testing.T) {
	v := NewView(record(0))
	v.Merge(start, []Record{record(1), record(2)})
	v.MarkUnreachable(start, "h1")
	rng := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		if s := v.Sample(start, rng, 5, AnyZone); len(s) != 1 || s[0].Host != "h2" {
			t.Fatalf("sample is %v", s)
		}
	}
	if s := v.Sample(start.Add(initialBackoff), rng, 5, AnyZone); len(s) != 2 {
		t.Errorf("after the backoff the sample is %v", s)
	}
	if s := v.Sample(start.Add(initialBackoff), rng, 5, OwnZone); len(s) != 1 || s[0].Host != "h2" {
		t.Errorf("sample of zone z0 is %v", s)
	}
}

// A restarted node is sent its last record that had a backend server, also if it has restarted
// twice without knowing a server.
func TestPastRecordOfARestartedNode(t *testing.T) {
	v := NewView(record(0))
	old := record(1)
	old.Server = Server{ID: "a", State: Leaving}
	v.Merge(start, []Record{old})
	for restart := range 2 {
		next := record(1)
		next.Incarnation += uint64(restart) + 1
		v.Merge(start, []Record{next})
		past, needed := v.PastRecordOf(next.Host)
		if !needed || past.Server != old.Server {
			t.Fatalf("restart %d: past record %+v, needed %t", restart, past, needed)
		}
	}
	self := NewView(record(1))
	if !self.Merge(start, []Record{func() Record { r := old; r.Incarnation--; return r }()}) || self.PastRecord().Server != old.Server {
		t.Errorf("the node's own past record is %+v", self.PastRecord())
	}
}

// A server's leaving is kept where a later incarnation of its node ended before it heard of it,
// in whatever order the node and its peers receive the records.
func TestLeavingIsKeptOverTwoRestarts(t *testing.T) {
	server := Server{ID: "s", Service: "c", Slots: 4}
	record := func(incarnation uint64, s Server) Record {
		return Record{Host: "b", Incarnation: incarnation, Address: "b", Version: 1, Server: s}
	}
	leaving := server
	leaving.State = Leaving
	past := []Record{record(1, leaving), record(2, server), record(3, Server{})}

	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		self := NewView(record(4, Server{}))
		for _, i := range order {
			self.Merge(start, past[i:i+1])
		}
		if got := self.PastRecord().Server; got != leaving {
			t.Errorf("after the records %v the restarted node knows its past server as %+v", order, got)
		}
	}

	peer := NewView(Record{Host: "a", Address: "a"})
	peer.Merge(start, past[:1])
	peer.Merge(start, past[1:2])
	peer.Merge(start, past[2:])
	if got, needed := peer.PastRecordOf("b"); got.Server != leaving || !needed {
		t.Errorf("a peer keeps the past server as %+v, needed: %v", got.Server, needed)
	}
}

// An address belongs to the host that was found there last. The host that had it before is
// gone, and an old record of it does not change that.
func TestAnotherHostAtAnAddress(t *testing.T) {
	v := NewView(record(0))
	old, next := record(1), record(2)
	next.Address = old.Address
	v.Merge(start, []Record{old, next})
	if !v.Supersede(start, next.Host, next.Address) || v.Supersede(start, next.Host, next.Address) {
		t.Error("Supersede must report a change the first time only")
	}
	v.Merge(start, []Record{old})
	if r, _ := v.Record(old.Host); r.State != Gone {
		t.Errorf("the former host is %s", r.State)
	}
	if r, _ := v.Record(next.Host); r.State != Live {
		t.Errorf("the host that was found is %s", r.State)
	}
	restarted := old
	restarted.Incarnation, restarted.Address = old.Incarnation+1, "elsewhere"
	v.Merge(start, []Record{restarted})
	if r, _ := v.Record(old.Host); r.State != Live {
		t.Error("a new incarnation at another address was not accepted")
	}
}

// A node that is unreachable for a long time is forgotten, although nodes that have not
// forgotten it yet still send its record. A newer record adds it again.
func TestUnreachableNodesAreForgotten(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	lost := Record{Host: "lost", Incarnation: 5, Address: "a:1", Zone: "z"}
	views := map[string]*View{}
	for _, host := range []string{"one", "two"} {
		v := NewView(Record{Host: host, Incarnation: 1, Address: host + ":1", Zone: "z"})
		v.Merge(now, []Record{lost})
		views[host] = v
	}
	one, two := views["one"], views["two"]
	before := NewView(one.Self()).Digest()
	one.MarkUnreachable(now, "lost")
	one.RemoveExpired(now.Add(forgetUnreachableAfter - time.Second))
	if _, known := one.Record("lost"); !known || one.LiveCount() != 2 {
		t.Fatal("the node was forgotten too early")
	}
	now = now.Add(forgetUnreachableAfter)
	one.RemoveExpired(now)
	if _, known := one.Record("lost"); known || one.LiveCount() != 1 || one.Digest() != before {
		t.Fatal("the node was not forgotten, or is still part of the digest")
	}
	one.Merge(now, two.All())
	if _, known := one.Record("lost"); known {
		t.Error("an old record added the forgotten node again")
	}
	if one.MergeListed(now, []ListedHost{{Host: "lost", Address: "a:1", Zone: "z"}}); one.Len() != 2 || !one.HasForgotten("lost", "a:1") {
		t.Error("the list added the forgotten node again")
	}
	restarted := lost
	restarted.Incarnation++
	one.Merge(now, []Record{restarted})
	if _, known := one.Record("lost"); !known || one.HasForgotten("lost", "a:1") {
		t.Error("the new incarnation of the forgotten node was not added")
	}
}

// An answer of a node, or a newer record of it from another node, shows that the node is
// alive.
func TestLiveNodesAreNotForgotten(t *testing.T) {
	for name, evidence := range map[string]func(v *View, now time.Time){
		"answers":       func(v *View, _ time.Time) { v.MarkReachable("other") },
		"newer record":  func(v *View, now time.Time) { v.Merge(now, []Record{{Host: "other", Incarnation: 1, Version: 2}}) },
		"never queried": nil,
	} {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		v := NewView(Record{Host: "self", Incarnation: 1})
		v.Merge(now, []Record{{Host: "other", Incarnation: 1}})
		if evidence != nil {
			v.MarkUnreachable(now, "other")
			evidence(v, now.Add(time.Hour))
		}
		v.RemoveExpired(now.Add(forgetUnreachableAfter + time.Minute))
		if _, known := v.Record("other"); !known {
			t.Errorf("%s: the node was forgotten", name)
		}
	}
}
