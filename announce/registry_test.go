// SPDX-License-Identifier: MIT

package announce

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ryehaven/ryehaven/member"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ready(id string, seq uint64) Announcement {
	return Announcement{ID: id, Service: "s", Slots: 12, Seq: seq}
}

func draining(id string, seq uint64) Announcement {
	a := ready(id, seq)
	a.Draining = true
	return a
}

func mustAnnounce(t *testing.T, r *Registry, a Announcement) {
	t.Helper()
	if _, err := r.Announce(start, a); err != nil {
		t.Fatal(err)
	}
}

func TestDelayedAnnouncementsChangeNothing(t *testing.T) {
	tests := []struct {
		name string
		do   func(t *testing.T, r *Registry)
		id   string
		want member.State
	}{
		{"ready after draining", func(t *testing.T, r *Registry) {
			mustAnnounce(t, r, draining("a", 5))
			mustAnnounce(t, r, ready("a", 4))
		}, "a", member.Leaving},
		{"ready with a higher sequence number after draining", func(t *testing.T, r *Registry) {
			mustAnnounce(t, r, draining("a", 5))
			mustAnnounce(t, r, ready("a", 6))
		}, "a", member.Leaving},
		{"ready after it has left", func(t *testing.T, r *Registry) {
			mustAnnounce(t, r, ready("a", 5))
			r.Leave(member.ServerIncarnation{ID: "a"})
			mustAnnounce(t, r, ready("a", 6))
		}, "a", member.Gone},
		{"the former server after the new one", func(t *testing.T, r *Registry) {
			mustAnnounce(t, r, ready("a", 5))
			mustAnnounce(t, r, ready("b", 1))
			mustAnnounce(t, r, ready("a", 6))
		}, "b", member.Live},
		{"an old announcement by a displaced server", func(t *testing.T, r *Registry) {
			mustAnnounce(t, r, ready("a", 5))
			r.MarkDisplaced("a")
			mustAnnounce(t, r, ready("a", 4))
		}, "", member.Live},
		{"a new announcement by a displaced server", func(t *testing.T, r *Registry) {
			mustAnnounce(t, r, ready("a", 5))
			r.MarkDisplaced("a")
			mustAnnounce(t, r, ready("a", 6))
		}, "a", member.Live},
		{"draining before a ready one with a higher sequence number", func(t *testing.T, r *Registry) {
			mustAnnounce(t, r, ready("a", 6))
			mustAnnounce(t, r, draining("a", 5))
		}, "a", member.Leaving},
		{"the current server after a late announcement of a former one, while none answered", func(t *testing.T, r *Registry) {
			mustAnnounce(t, r, ready("b", 1))
			late := ready("a", 7)
			late.Unanswered = true
			mustAnnounce(t, r, late)
			mustAnnounce(t, r, ready("b", 2))
		}, "b", member.Live},
		{"a departure of an unknown server", func(t *testing.T, r *Registry) {
			mustAnnounce(t, r, ready("b", 1))
			r.Leave(member.ServerIncarnation{ID: "a"})
			mustAnnounce(t, r, ready("a", 2))
		}, "b", member.Live},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var r Registry
			test.do(t, &r)
			if got := r.Current(); got.ID != test.id || got.State != test.want {
				t.Errorf("current is %+v", got)
			}
		})
	}
}

// A departure that the node acknowledged remains in force after the node's own restart.
func TestStoredStateRemainsInForceAfterARestart(t *testing.T) {
	stored := member.Server{ID: "a", Service: "s", Slots: 12, State: member.Leaving}
	var r Registry
	if !r.Restore(stored) || r.Current() != stored {
		t.Errorf("current is %+v", r.Current())
	}
	var announced Registry
	mustAnnounce(t, &announced, ready("a", 7))
	if !announced.Restore(stored) || announced.Current().State != member.Leaving {
		t.Errorf("current is %+v", announced.Current())
	}
	mustAnnounce(t, &announced, ready("a", 8))
	if announced.Current().State != member.Leaving {
		t.Error("a server that left was brought back")
	}
	var other Registry
	mustAnnounce(t, &other, ready("b", 1))
	if other.Restore(stored) {
		t.Error("the stored state of another server changed this one")
	}
}

// The record of a later incarnation of the node replaces the server restored from an earlier
// one, until a server announces itself.
func TestRestoredServerIsReplacedByALaterOne(t *testing.T) {
	first := member.Server{ID: "a", Service: "s", Slots: 12}
	second := member.Server{ID: "b", Service: "s", Slots: 12}
	var r Registry
	r.Restore(first)
	if !r.Restore(second) || r.Current() != second {
		t.Errorf("current is %+v, want the server of the later record", r.Current())
	}
	mustAnnounce(t, &r, ready("b", 1))
	if r.Restore(first) || r.Current().ID != "b" {
		t.Errorf("current is %+v, want the announced server", r.Current())
	}

	var adopted Registry
	adopted.Adopt(first, time.Time{})
	if adopted.Restore(second) || adopted.Current() != first {
		t.Errorf("current is %+v, want the server that answered a probe", adopted.Current())
	}
}

func TestWrongServiceIsRefused(t *testing.T) {
	r := Registry{Service: "other"}
	if _, err := r.Announce(start, ready("a", 1)); !errors.Is(err, ErrWrongService) {
		t.Errorf("error %v", err)
	}
}

// In whatever order announcements arrive, the state of an ID never goes back and an ID that
// was replaced does not become current again.
func TestStateNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Registry
		worst := map[string]member.State{}
		replaced := map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			before := r.Current()
			if rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
				r.Leave(member.ServerIncarnation{ID: id})
			} else {
				a := ready(id, rapid.Uint64Range(1, 20).Draw(t, "seq"))
				a.Draining = rapid.Bool().Draw(t, "draining")
				_, _ = r.Announce(start, a)
			}
			now := r.Current()
			if before.ID != "" && before.ID != now.ID {
				replaced[before.ID] = true
			}
			if replaced[now.ID] || now.State < worst[now.ID] {
				t.Fatalf("%+v after %+v", now, before)
			}
			worst[now.ID] = now.State
		}
	})
}

// A server that answers a probe becomes current if none is known. Its own announcements and
// what other nodes have stored take precedence.
func TestAdopt(t *testing.T) {
	found := member.Server{ID: "a", Service: "s", Slots: 12}
	tests := []struct {
		name   string
		before func(r *Registry)
		want   bool
	}{
		{"no server is known", func(*Registry) {}, true},
		{"another server is known", func(r *Registry) { mustAnnounce(t, r, ready("b", 1)) }, false},
		{"the same server is leaving", func(r *Registry) { mustAnnounce(t, r, draining("a", 1)) }, false},
		{"the server has left", func(r *Registry) { r.Leave(member.ServerIncarnation{ID: "a"}) }, false},
		{"the server was displaced", func(r *Registry) {
			mustAnnounce(t, r, ready("a", 1))
			r.MarkDisplaced("a")
		}, false},
	}
	for _, test := range tests {
		var r Registry
		test.before(&r)
		before := r.Current()
		if got := r.Adopt(found, time.Time{}); got != test.want || (!got && r.Current() != before) {
			t.Errorf("%s: %v, current is %+v", test.name, got, r.Current())
		}
	}
	var r Registry
	r.Adopt(found, time.Time{})
	mustAnnounce(t, &r, draining("a", 1))
	if r.Current().State != member.Leaving {
		t.Errorf("after its own announcement: %+v", r.Current())
	}
	var adopted Registry
	adopted.Adopt(found, time.Time{})
	if !adopted.Restore(member.Server{ID: "a", Service: "s", Slots: 12, State: member.Leaving}) || adopted.Current().State != member.Leaving {
		t.Errorf("after other nodes reported that it is leaving: %+v", adopted.Current())
	}
}

// Only a server that is unknown is disputed, and only while another one is live.
func TestDisputes(t *testing.T) {
	for _, test := range []struct {
		name   string
		before func(r *Registry)
		id     string
		want   bool
	}{
		{"no server is known", func(*Registry) {}, "b", false},
		{"the same server is live", func(r *Registry) { mustAnnounce(t, r, ready("b", 1)) }, "b", false},
		{"another server is live", func(r *Registry) { mustAnnounce(t, r, ready("a", 1)) }, "b", true},
		{"another server was adopted", func(r *Registry) { r.Adopt(member.Server{ID: "a"}, time.Time{}) }, "b", true},
		{"another server is leaving", func(r *Registry) { mustAnnounce(t, r, draining("a", 1)) }, "b", false},
		{"another server is gone", func(r *Registry) { mustAnnounce(t, r, ready("a", 1)); r.Leave(member.ServerIncarnation{ID: "a"}) }, "b", false},
		{"the server was replaced", func(r *Registry) { mustAnnounce(t, r, ready("b", 1)); mustAnnounce(t, r, ready("a", 1)) }, "b", false},
		{"the server was rejected", func(r *Registry) { mustAnnounce(t, r, ready("a", 1)); r.Reject(ready("b", 1)) }, "b", false},
	} {
		var r Registry
		test.before(&r)
		if got := r.Disputes(ready(test.id, 1)); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
	var r Registry
	mustAnnounce(t, &r, ready("a", 1))
	r.Reject(ready("b", 1))
	mustAnnounce(t, &r, ready("b", 9))
	if r.Current().ID != "a" {
		t.Errorf("current is %+v after the announcement of a rejected server", r.Current())
	}
}

// A server that reports in a response that it is leaving stays so, whatever it announces.
func TestMarkLeaving(t *testing.T) {
	var r Registry
	announce := func(id string, seq uint64) {
		if _, err := r.Announce(time.Now(), Announcement{ID: id, Service: "a", Slots: 3, Seq: seq}); err != nil {
			t.Fatal(err)
		}
	}
	announce("i-1", 1)
	if r.MarkLeaving("i-0") || r.MarkLeaving("") || !r.MarkLeaving("i-1") || r.MarkLeaving("i-1") {
		t.Error("want one change, of the current server")
	}
	if announce("i-1", 2); r.Current().State != member.Leaving {
		t.Errorf("state %v after another announcement", r.Current().State)
	}
	if announce("i-2", 1); r.Current().State != member.Live {
		t.Errorf("state %v of the next server", r.Current().State)
	}
}
