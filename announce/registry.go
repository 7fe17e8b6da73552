// SPDX-License-Identifier: MIT

package announce

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/member"
)

// ErrWrongService says that a server of another service announced itself.
var ErrWrongService = eris.New("the server is not of this node's service")

// Announcement is what a server says of itself.
type Announcement struct {
	// ID names one life of the server.
	ID      string
	Service string
	// Slots is how many requests it works on at a time.
	Slots int
	// Draining says that it is about to end.
	Draining bool
	// Seq rises with each announcement of an ID.
	Seq uint64
	// Cold is how much longer the server is cold.
	Cold time.Duration
}

// Registry holds the server beside one node. The zero value is empty. It is
// not safe for concurrent use.
type Registry struct {
	// Service is the only one whose servers are taken; blank takes any.
	Service string

	current member.Server
	seq     uint64
	cold    time.Time
	// lost is the ID in whose place another server was met, and lostSeq the
	// number up to which its announcements are from before.
	lost    string
	lostSeq uint64
	// ended are the IDs that may not become current again.
	ended map[string]bool
	order []string
}

// maxEnded bounds the remembered IDs. A host's server is replaced a few times
// an hour at most, and an announcement is late by seconds.
const maxEnded = 64

// Current returns the server; its ID is blank while none is known.
func (r *Registry) Current() member.Server { return r.current }

// ColdUntil is until when the server is cold by its own word.
func (r *Registry) ColdUntil() time.Time { return r.cold }

// Announce takes an announcement and reports whether it changed the server. An
// announcement that is late changes nothing and is no error.
func (r *Registry) Announce(now time.Time, a Announcement) (changed bool, err error) {
	if r.Service != "" && a.Service != r.Service {
		return false, eris.Wrapf(ErrWrongService, "%q, want %q", a.Service, r.Service)
	}
	if r.ended[a.ID] {
		return false, nil
	}
	if a.ID == r.current.ID && a.Seq <= r.seq && r.seq != 0 {
		return false, nil
	}
	if a.ID == r.lost && a.Seq <= r.lostSeq {
		return false, nil
	}
	before := r.current
	if a.ID != r.current.ID {
		r.end(r.current.ID)
		r.current = member.Server{ID: a.ID, Service: a.Service}
	}
	r.seq = a.Seq
	r.cold = now.Add(a.Cold)
	r.current.Slots = a.Slots
	if a.Draining {
		r.current.State = max(r.current.State, member.Leaving)
	}
	return r.current != before, nil
}

// Disputes reports whether an announcement is of a server that this registry has not
// heard of, while another is current and has not said that it leaves. Either the
// current one has crashed and this one stands in its place, or this one has crashed
// before the current one came and its announcement is late.
func (r *Registry) Disputes(a Announcement) bool {
	return r.current.ID != "" && r.current.State == member.Live && a.ID != r.current.ID &&
		!r.ended[a.ID] && a.ID != r.lost && (r.Service == "" || a.Service == r.Service)
}

// Deny takes the word of the server at the address that it is the current one, so that
// a server which disputed that has ended.
func (r *Registry) Deny(id string) {
	if id != r.current.ID {
		r.end(id)
	}
}

// Blank reports whether no server was ever known in this life of the node.
func (r *Registry) Blank() bool {
	return r.current.ID == "" && r.lost == "" && len(r.ended) == 0
}

// Found takes a server that answered for itself to a blank registry, and reports
// whether it is current now. Any announcement of its own is newer. Where a server
// was known and is gone, another at its address may be of another service, and
// must announce itself.
func (r *Registry) Found(s member.Server, coldUntil time.Time) bool {
	if !r.Blank() || s.ID == "" {
		return false
	}
	r.current = s
	r.cold = coldUntil
	r.seq = 0
	return true
}

// Leave takes a server's word that it is gone and reports whether that changed
// the current server.
func (r *Registry) Leave(id string) bool {
	if id != r.current.ID {
		r.end(id)
		return false
	}
	if r.current.State == member.Gone {
		return false
	}
	r.current.State = member.Gone
	return true
}

// Remember takes what other nodes remember of this node's server from its
// earlier life and reports whether it changed the server.
func (r *Registry) Remember(past member.Server) bool {
	if past.ID == "" || past.ID == r.lost || r.ended[past.ID] {
		return false
	}
	switch r.current.ID {
	case "":
		r.current = past
		return true
	case past.ID:
		before := r.current.State
		r.current.State = max(before, past.State)
		return r.current.State != before
	}
	return false
}

// Lost takes the word of whoever met another server in place of an ID. Only an
// announcement that is newer than any before brings the ID back.
func (r *Registry) Lost(id string) bool {
	if id != r.current.ID || id == "" {
		return false
	}
	r.lost, r.lostSeq = id, r.seq
	r.current = member.Server{}
	r.seq = 0
	return true
}

func (r *Registry) end(id string) {
	if id == "" || r.ended[id] {
		return
	}
	if r.ended == nil {
		r.ended = map[string]bool{}
	}
	r.ended[id] = true
	r.order = append(r.order, id)
	if len(r.order) > maxEnded {
		delete(r.ended, r.order[0])
		r.order = r.order[1:]
	}
}
