// SPDX-License-Identifier: MIT

package announce

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/member"
)

// ErrWrongService is returned for the announcement of a server of another service.
var ErrWrongService = eris.New("the server is not of this node's service")

// Announcement is a server's report about itself.
type Announcement struct {
	// ID is the server's ID. StartMillis is when this incarnation of it started, in Unix
	// milliseconds; 0 if the server does not report it.
	ID          string
	StartMillis int64
	Service     string
	// Slots is how many requests the server runs concurrently.
	Slots int
	// Draining says that the server is about to stop.
	Draining bool
	// Seq increases with each announcement of an incarnation.
	Seq uint64
	// ColdFor is how much longer the server is cold.
	ColdFor time.Duration
	// ClockSetBack says that the host's clock was set back before this incarnation started:
	// it seems to be older than the current one, but keeps announcing itself while nothing
	// is received from the current one.
	ClockSetBack bool
	// Unanswered says that another server is current, but none answered at the address. The
	// other one may be current again.
	Unanswered bool
}

// incarnation returns the incarnation that made the announcement.
func (a *Announcement) incarnation() member.ServerIncarnation {
	return member.ServerIncarnation{ID: a.ID, StartMillis: a.StartMillis}
}

// Registry holds the backend server on one node's host. The zero value is empty. It is not safe
// for concurrent use.
type Registry struct {
	// Service is the only service whose servers are accepted; blank accepts any.
	Service string
	// MustConfirm says that a server which becomes known by an announcement or from other
	// nodes' records is not current before Confirm, unless it is leaving.
	MustConfirm bool

	current member.Server
	// seq is the number of the last announcement of the current incarnation; 0 if there was
	// none, so that any announcement is newer.
	seq       uint64
	coldUntil time.Time
	// restored is set while the current server is known only from other nodes' records (see
	// Restore).
	restored bool
	// unconfirmed is set while Confirm is missing for the current server.
	unconfirmed bool
	// displaced is the name of the incarnation in whose place another server answered.
	// Announcements of it up to the number displacedSeq were made before that.
	displaced    string
	displacedSeq uint64
	// ended maps IDs to the start of their last incarnation that has ended. That one and all
	// earlier ones of the ID may not become current again. endedOrder lists the IDs in the
	// order in which they were added.
	ended      map[string]int64
	endedOrder []string
	// lastAnnounced is when the last announcement was accepted.
	lastAnnounced time.Time
}

// maxEndedIDs bounds the IDs in Registry.ended. The server of a host is replaced a few times
// per hour at most, and announcements are delayed by seconds only.
const maxEndedIDs = 64

// Current returns the current server. Its ID is the name of its incarnation
// (member.ServerIncarnation), and blank while no server is known or the one that is known must
// be confirmed.
func (r *Registry) Current() member.Server {
	if r.Unconfirmed() != "" {
		return member.Server{}
	}
	return r.current
}

// Unconfirmed returns the name of the incarnation that must be confirmed; blank if there is none.
func (r *Registry) Unconfirmed() string {
	if r.unconfirmed && r.current.State == member.Live {
		return r.current.ID
	}
	return ""
}

// Confirm makes the server with the given incarnation name current, which must be confirmed.
func (r *Registry) Confirm(name string) {
	if name == r.current.ID {
		r.unconfirmed = false
	}
}

// LastAnnounced returns when the last announcement was accepted.
func (r *Registry) LastAnnounced() time.Time { return r.lastAnnounced }

// ColdUntil returns until when the server is cold, as it reported.
func (r *Registry) ColdUntil() time.Time { return r.coldUntil }

// Announce applies an announcement and reports whether it changed the server. A delayed
// announcement is no error and changes nothing, unless it says that the server drains.
func (r *Registry) Announce(now time.Time, a Announcement) (changed bool, err error) {
	if r.Service != "" && a.Service != r.Service {
		return false, eris.Wrapf(ErrWrongService, "%q, want %q", a.Service, r.Service)
	}
	name := a.incarnation().Name()
	if name != r.current.ID && !a.ClockSetBack && (r.hasEnded(a.incarnation()) || r.precedes(a.incarnation())) {
		return false, nil
	}
	if name == r.current.ID && a.Seq <= r.seq && r.seq != 0 {
		return a.Draining && r.MarkLeaving(name), nil // Draining is never revoked.
	}
	if name == r.displaced && a.Seq <= r.displacedSeq {
		return false, nil
	}
	before := r.current
	if name != r.current.ID {
		if !a.Unanswered {
			r.markEnded(r.current.ID)
		}
		r.current = member.Server{ID: name, Service: a.Service}
		r.unconfirmed = r.MustConfirm
	}
	r.lastAnnounced = now
	r.restored = false
	r.seq = a.Seq
	r.coldUntil = now.Add(a.ColdFor)
	r.current.Slots = a.Slots
	if a.Draining {
		r.current.State = max(r.current.State, member.Leaving)
	}
	return r.current != before, nil
}

// Disputes reports whether an announcement is by a server unknown to the registry while
// another one is current and has not announced that it leaves. Either the current server has
// crashed and this one runs in its place, or this one crashed before the current one started
// and its announcement is delayed.
func (r *Registry) Disputes(a Announcement) bool {
	name := a.incarnation().Name()
	return r.current.ID != "" && r.current.State == member.Live && member.ServerIncarnationOf(r.current.ID).ID != a.ID &&
		!r.hasEnded(a.incarnation()) && name != r.displaced && (r.Service == "" || a.Service == r.Service)
}

// Precedes reports whether an announcement is by an incarnation of the current server's ID
// that started before the current one: it is delayed, or the host's clock was set back.
func (r *Registry) Precedes(a Announcement) bool {
	return r.precedes(a.incarnation()) && (r.Service == "" || a.Service == r.Service)
}

func (r *Registry) precedes(i member.ServerIncarnation) bool {
	current := member.ServerIncarnationOf(r.current.ID)
	return i.ID == current.ID && i.StartMillis < current.StartMillis
}

// Reject marks the server of a disputed announcement as ended, after the server at the
// address has identified itself as the current one.
func (r *Registry) Reject(a Announcement) {
	if name := a.incarnation().Name(); name != r.current.ID {
		r.markEnded(name)
	}
}

// NeverHadServer reports whether no server, not even one that has left, has been known since
// the node's process started.
func (r *Registry) NeverHadServer() bool {
	return r.current.ID == "" && r.displaced == "" && len(r.ended) == 0
}

// Adopt makes a server current that answered a probe, if no server was known before, and
// reports whether it did. Every announcement by the server itself counts as newer. If a
// server was known and is gone, another one at its address may belong to another service, so
// it must announce itself.
func (r *Registry) Adopt(s member.Server, coldUntil time.Time) bool {
	if !r.NeverHadServer() || s.ID == "" {
		return false
	}
	r.current, r.unconfirmed = s, false
	r.coldUntil = coldUntil
	r.seq = 0
	return true
}

// Leave records a server's report that it is gone, and reports whether that changed the
// current server. A report is about the current server if it has the server's ID and no earlier
// start time: that of a server that was adopted is not known, and an incarnation may leave before
// it has announced itself. If no server is known, the one that is gone becomes current, so that
// other nodes learn of it.
func (r *Registry) Leave(i member.ServerIncarnation) bool {
	current := member.ServerIncarnationOf(r.current.ID)
	if i.ID == current.ID && i.StartMillis == 0 {
		i = current
	}
	before := r.current
	switch {
	case r.current.ID == "":
		r.current = member.Server{ID: i.Name(), Service: r.Service, State: member.Gone}
		r.restored = true // What other nodes have stored about another server is not disproved.
	case i.ID == current.ID && i.StartMillis >= current.StartMillis:
		r.current.ID, r.current.State = i.Name(), member.Gone
	}
	r.markEnded(i.Name())
	return r.current != before
}

// MarkLeaving records that the current server has reported that it is leaving, if it has the given
// incarnation name, and reports whether that changed it.
func (r *Registry) MarkLeaving(name string) bool {
	if name != r.current.ID || name == "" || r.current.State != member.Live {
		return false
	}
	r.current.State = member.Leaving
	return true
}

// Restore applies what other nodes have stored about this node's server since before the node
// restarted, and reports whether it changed the server. Of several calls, each is about an
// incarnation of the node no older than the one before.
func (r *Registry) Restore(s member.Server) bool {
	past, current := member.ServerIncarnationOf(s.ID), member.ServerIncarnationOf(r.current.ID)
	switch {
	case s.ID == "" || s.ID == r.displaced:
		return false
	case s.ID == r.current.ID:
		before := r.current.State
		r.current.State = max(before, s.State)
		return r.current.State != before
	case r.hasEnded(past):
		return false
	case r.current.ID == "", r.restored, past.ID == current.ID && past.StartMillis > current.StartMillis:
		r.current, r.seq, r.restored = s, 0, true
		r.unconfirmed = r.MustConfirm
		return true
	}
	return false
}

// MarkDisplaced removes the current server if it has the given incarnation name, since another
// server answered in its place, and reports whether it did. Only an announcement that is
// newer than all before makes it current again.
func (r *Registry) MarkDisplaced(name string) bool {
	if name != r.current.ID || name == "" {
		return false
	}
	r.displaced, r.displacedSeq = name, r.seq
	r.current = member.Server{}
	r.seq, r.restored = 0, false
	return true
}

// hasEnded reports whether an incarnation may not become current again.
func (r *Registry) hasEnded(i member.ServerIncarnation) bool {
	last, ok := r.ended[i.ID]
	return ok && i.StartMillis <= last
}

// markEnded records that an incarnation and all earlier ones of its ID have ended.
func (r *Registry) markEnded(name string) {
	i := member.ServerIncarnationOf(name)
	if i.ID == "" || r.hasEnded(i) {
		return
	}
	if r.ended == nil {
		r.ended = map[string]int64{}
	}
	if _, known := r.ended[i.ID]; !known {
		r.endedOrder = append(r.endedOrder, i.ID)
	}
	r.ended[i.ID] = i.StartMillis
	if len(r.endedOrder) > maxEndedIDs {
		delete(r.ended, r.endedOrder[0])
		r.endedOrder = r.endedOrder[1:]
	}
}
