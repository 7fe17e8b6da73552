// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/ryehaven/ryehaven/announce"
	"github.com/ryehaven/ryehaven/member"
)

// ErrAnnouncementRejected is returned for the announcement of a server while another
// server, or none, answers at its address. A later announcement of the same server may be
// accepted.
var ErrAnnouncementRejected = eris.New("another server is known at this address")

// serverQueryTimeout limits the query that determines which server is at the server's
// address. A server answers within a millisecond or two, and the sender of an announcement
// waits a second for the node's answer.
const serverQueryTimeout = 300 * time.Millisecond

// acceptRepeatAfter is how long after a rejected announcement another one of the same server
// is accepted although no server answers at the address. Servers announce themselves every
// second or two, whereas delayed announcements arrive together.
const acceptRepeatAfter = time.Second

// clockSetBackAfter is how long announcements of an earlier start must continue, without any
// of the current incarnation, until they are accepted. The current incarnation would have
// announced itself more than twice in that time.
const clockSetBackAfter = 4 * time.Second

// rejectedAnnouncement is the last announcement that was rejected.
type rejectedAnnouncement struct {
	// server is the name of the announced incarnation.
	server string
	at     time.Time
}

// persistsFor reports whether the announcement of the same server was rejected at least
// the given time ago.
func (r rejectedAnnouncement) persistsFor(server string, length time.Duration, now time.Time) bool {
	return r.server == server && now.Sub(r.at) >= length
}

// rejects reports whether an announcement must be rejected because another server is at the
// address. The announcement was delayed then: its sender crashed before the other server
// started, and accepting it would make the node lose the server that is running.
func (n *Node) rejects(a *announce.Announcement) bool {
	n.mu.Lock()
	precedes, disputes, path := n.registry.Precedes(*a), n.registry.Disputes(*a), n.servicePath()
	n.mu.Unlock()
	switch {
	case precedes:
		return n.rejectsEarlierStart(a)
	case !disputes || path == "":
		return false
	}
	found, _ := n.queryServer(path, serverQueryTimeout)
	id := found.ID
	if id == a.ID {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	name := member.ServerIncarnation{ID: a.ID, StartMillis: a.StartMillis}.Name()
	if id == "" && n.lastRejected.persistsFor(name, acceptRepeatAfter, now) {
		a.Unanswered = true
		return false
	}
	current := n.registry.Current().ID
	if id != "" && id == member.ServerIncarnationOf(current).ID {
		n.registry.Reject(*a)
	}
	n.lastRejected = rejectedAnnouncement{server: name, at: now}
	n.logRejected(name, current, id)
	return true
}

// rejectsEarlierStart reports whether an announcement with the current server's ID but an
// earlier start time must be rejected as delayed. If such announcements continue while the
// current incarnation sends none, the host's clock was set back between the two starts; the
// announcement is then accepted and marked accordingly.
func (n *Node) rejectsEarlierStart(a *announce.Announcement) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	name, current := member.ServerIncarnation{ID: a.ID, StartMillis: a.StartMillis}.Name(), n.registry.Current().ID
	if n.registry.LastAnnounced().After(n.lastRejected.at) || n.lastRejected.server != name {
		n.lastRejected = rejectedAnnouncement{server: name, at: now}
		n.logRejected(name, current, "")
		return true
	}
	a.ClockSetBack = n.lastRejected.persistsFor(name, clockSetBackAfter, now)
	return !a.ClockSetBack
}

// logRejected logs a rejected announcement. It is called with the lock held.
func (n *Node) logRejected(announced, current, answered string) {
	n.log.Info("announcement rejected: another server is at the address",
		zap.String("id", announced), zap.String("current", current), zap.String("answered", answered))
}
