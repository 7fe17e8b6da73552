// SPDX-License-Identifier: MIT

package age

import "time"

const (
	// deadlineTolerance is by how much the deadlines of two attempts of a request may
	// differ: their network delays differ, and they state whole milliseconds.
	deadlineTolerance = 8 * time.Millisecond
	// maxStored is the largest number of stored requests; the oldest are dropped first.
	maxStored = 4096
	// maxTimeout is the longest stated timeout that is used; longer ones are ignored.
	maxTimeout = time.Hour
)

// Request is what is stored about a request that was not served.
type Request struct {
	// FirstAttempt is when the caller sent the first attempt.
	FirstAttempt time.Time
	// PrecedenceFrom is the time from which a retry takes precedence over new requests;
	// zero if it takes none.
	PrecedenceFrom time.Time
}

// UnservedRequests stores requests that were not served, until their callers' deadlines.
// Its zero value is empty. It is not safe for concurrent use.
type UnservedRequests struct {
	base   time.Time
	stored map[key]record
	// order is a ring buffer of the keys in the order in which they were first stored;
	// the oldest is at next.
	order []key
	next  int
}

// record is a stored request.
type record struct {
	Request
	deadline time.Time
}

// key is the hash of a request and its caller's deadline, as a number of intervals of twice
// the tolerance since base.
type key struct {
	hash     uint64
	deadline int64
}

// Find returns what is stored about the earlier attempts of a request with this hash and
// this deadline of its caller; ok is false if nothing is.
func (m *UnservedRequests) Find(now time.Time, hash uint64, deadline time.Time) (r Request, ok bool) {
	k, ok := m.find(hash, deadline)
	if !ok {
		return Request{}, false
	}
	r = m.stored[k].Request
	return r, !r.FirstAttempt.After(now)
}

// Keep stores a request that was not served. It replaces what was stored about earlier
// attempts. A request whose deadline has passed or is further ahead than the longest
// timeout is not stored.
func (m *UnservedRequests) Keep(now time.Time, hash uint64, deadline time.Time, r Request) {
	if !deadline.After(now) || deadline.Sub(now) > maxTimeout {
		return
	}
	if m.stored == nil {
		m.base, m.stored = now, map[key]record{}
	}
	k, ok := m.find(hash, deadline)
	if !ok {
		k = m.key(hash, deadline)
		m.append(k)
	}
	m.stored[k] = record{Request: r, deadline: deadline}
}

// Forget removes what is stored about a request.
func (m *UnservedRequests) Forget(hash uint64, deadline time.Time) {
	if k, ok := m.find(hash, deadline); ok {
		delete(m.stored, k)
	}
}

func (m *UnservedRequests) key(hash uint64, deadline time.Time) key {
	return key{hash: hash, deadline: int64(deadline.Sub(m.base) / (2 * deadlineTolerance))}
}

// find returns the key under which a request is stored. Because of the tolerance, that may
// be the key of the interval before or after that of the deadline.
func (m *UnservedRequests) find(hash uint64, deadline time.Time) (k key, ok bool) {
	if len(m.stored) == 0 {
		return key{}, false
	}
	for _, offset := range []time.Duration{0, -deadlineTolerance, deadlineTolerance} {
		k = m.key(hash, deadline.Add(offset))
		if r, found := m.stored[k]; found && r.deadline.Sub(deadline).Abs() <= deadlineTolerance {
			return k, true
		}
	}
	return key{}, false
}

// append adds a key and drops the request with the oldest one if there are too many.
func (m *UnservedRequests) append(k key) {
	if len(m.order) < maxStored {
		m.order = append(m.order, k)
		return
	}
	delete(m.stored, m.order[m.next])
	m.order[m.next] = k
	m.next = (m.next + 1) % maxStored
}
