// SPDX-License-Identifier: MIT

package announce

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ryehaven/ryehaven/member"
)

// announcementOf returns an announcement by an incarnation of server "a".
func announcementOf(startMillis int64, seq uint64) Announcement {
	a := ready("a", seq)
	a.StartMillis = startMillis
	return a
}

func nameOf(ms int64) string { return member.ServerIncarnation{ID: "a", StartMillis: ms}.Name() }

// Guards against a server that gets no requests after a restart under its ID: its sequence
// numbers restart below those of its former incarnation, and an ID that had left was never
// accepted again.
func TestServerThatRestartsUnderItsID(t *testing.T) {
	incarnation := func(ms int64) member.ServerIncarnation { return member.ServerIncarnation{ID: "a", StartMillis: ms} }
	for _, test := range []struct {
		name  string
		do    func(t *testing.T, r *Registry)
		start int64
		want  member.State
	}{
		{"after a crash, with a lower sequence number", func(t *testing.T, r *Registry) {
			mustAnnounce(t, r, announcementOf(1, 50))
			mustAnnounce(t, r, announcementOf(2, 1))
		}, 2, member.Live},
		{"after it has left", func(t *testing.T, r *Registry) {
			mustAnnounce(t, r, announcementOf(1, 50))
			r.Leave(incarnation(1))
			mustAnnounce(t, r, announcementOf(2, 1))
		}, 2, member.Live},
		{"after draining", func(t *testing.T, r *Registry) {
			a := announcementOf(1, 50)
			a.Draining = true
			mustAnnounce(t, r, a)
			mustAnnounce(t, r, announcementOf(2, 1))
		}, 2, member.Live},
		{"a delayed announcement by the former incarnation", func(t *testing.T, r *Registry) {
			mustAnnounce(t, r, announcementOf(2, 1))
			mustAnnounce(t, r, announcementOf(1, 99))
		}, 2, member.Live},
		{"a delayed departure of the former incarnation", func(t *testing.T, r *Registry) {
			mustAnnounce(t, r, announcementOf(2, 1))
			r.Leave(incarnation(1))
		}, 2, member.Live},
		{"a departure before its first announcement", func(t *testing.T, r *Registry) {
			mustAnnounce(t, r, announcementOf(1, 50))
			r.Leave(incarnation(2))
			mustAnnounce(t, r, announcementOf(2, 1))
		}, 2, member.Gone},
		{"a departure after it was adopted without a start time", func(t *testing.T, r *Registry) {
			r.Adopt(member.Server{ID: "a", Service: "s", Slots: 12}, time.Time{})
			r.Leave(incarnation(2))
			mustAnnounce(t, r, announcementOf(2, 1))
		}, 2, member.Gone},
		{"a departure before any server is known", func(t *testing.T, r *Registry) {
			r.Leave(incarnation(2))
			r.Restore(member.Server{ID: nameOf(2), Service: "s", Slots: 12})
			mustAnnounce(t, r, announcementOf(2, 1))
		}, 2, member.Gone},
		{"a departure without a start time", func(t *testing.T, r *Registry) {
			mustAnnounce(t, r, announcementOf(2, 1))
			r.Leave(incarnation(0))
		}, 2, member.Gone},
		{"a delayed announcement without a start time", func(t *testing.T, r *Registry) {
			mustAnnounce(t, r, announcementOf(2, 1))
			mustAnnounce(t, r, announcementOf(0, 99))
		}, 2, member.Live},
		{"other nodes have stored the former incarnation as gone", func(t *testing.T, r *Registry) {
			mustAnnounce(t, r, announcementOf(2, 1))
			r.Restore(member.Server{ID: nameOf(1), Service: "s", State: member.Gone})
		}, 2, member.Live},
		{"other nodes have stored a later incarnation than that of a delayed announcement", func(t *testing.T, r *Registry) {
			mustAnnounce(t, r, announcementOf(1, 9))
			r.Restore(member.Server{ID: nameOf(2), Service: "s", Slots: 12})
		}, 2, member.Live},
		{"other nodes have stored this incarnation as leaving", func(t *testing.T, r *Registry) {
			mustAnnounce(t, r, announcementOf(2, 1))
			r.Restore(member.Server{ID: nameOf(2), Service: "s", State: member.Leaving})
		}, 2, member.Leaving},
		{"adopted after a probe, without a start time", func(t *testing.T, r *Registry) {
			r.Adopt(member.Server{ID: "a", Service: "s", Slots: 12}, time.Time{})
			mustAnnounce(t, r, announcementOf(2, 1))
		}, 2, member.Live},
		{"its clock was set back and it keeps announcing itself", func(t *testing.T, r *Registry) {
			mustAnnounce(t, r, announcementOf(5, 50))
			a := announcementOf(2, 1)
			a.ClockSetBack = true
			mustAnnounce(t, r, a)
			mustAnnounce(t, r, announcementOf(2, 2))
		}, 2, member.Live},
	} {
		t.Run(test.name, func(t *testing.T) {
			var r Registry
			test.do(t, &r)
			if got := r.Current(); got.ID != nameOf(test.start) || got.State != test.want {
				t.Errorf("current is %+v, want %s %v", got, nameOf(test.start), test.want)
			}
		})
	}
}

// Announcements and departures of three incarnations of one server arrive in any order, some
// twice, some never, with restarts of the node in between. Once the last incarnation has
// announced itself, it stays current whatever arrives late, and no incarnation becomes
// current again that a later one of its ID has replaced.
func TestLastIncarnationOfAServerIsCurrent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Registry
		last := announcementOf(3, 100)
		late := []Announcement{announcementOf(1, 7), announcementOf(1, 50), announcementOf(2, 1), announcementOf(2, 9)}
		highest := int64(0)
		step := func() {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				past := r.Current()
				r = Registry{}
				r.Restore(past)
			case 1:
				r.Leave(member.ServerIncarnation{ID: "a", StartMillis: rapid.Int64Range(1, 2).Draw(t, "leaves")})
			default:
				_, _ = r.Announce(start, rapid.SampledFrom(late).Draw(t, "late"))
			}
			if i := member.ServerIncarnationOf(r.Current().ID); i.ID == "a" {
				if i.StartMillis < highest {
					t.Fatalf("incarnation %d after incarnation %d", i.StartMillis, highest)
				}
				highest = i.StartMillis
			}
		}
		for range rapid.IntRange(0, 20).Draw(t, "before") {
			step()
		}
		if _, err := r.Announce(start, last); err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(0, 20).Draw(t, "after") {
			step()
			if got := r.Current(); got.ID != nameOf(3) || got.State != member.Live {
				t.Fatalf("current is %+v, want the last incarnation", got)
			}
		}
	})
}

func TestServerIncarnationOfItsName(t *testing.T) {
	for _, i := range []member.ServerIncarnation{{ID: "a"}, {ID: "i-7f", StartMillis: 1765000000000}, {ID: "x.y@z", StartMillis: 1}} {
		if got := member.ServerIncarnationOf(i.Name()); got != i {
			t.Errorf("%+v is parsed from its name as %+v", i, got)
		}
	}
	if member.ValidID("a#1") || member.ValidID("") || !member.ValidID("i-7f") {
		t.Error("an ID that looks like the name of an incarnation is valid, or a good ID is not")
	}
}
