// SPDX-License-Identifier: MIT

package blame

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Verdict says how a request is treated with regard to server exits.
type Verdict uint8

// The verdicts.
const (
	// Clear requests run without restriction.
	Clear Verdict = iota
	// Suspect requests were in flight at a server whose process exited. Each runs on one
	// server at a time, and only where no other suspect runs.
	Suspect
	// Blamed requests are held to crash servers and are not run.
	Blamed
)

// String returns the verdict's name as written to logs.
func (v Verdict) String() string { return [...]string{"clear", "suspect", "blamed"}[v] }

// InFlight is a request that a server was running when its process exited.
type InFlight struct {
	Fingerprint Fingerprint
	// Suspect says that the request was already a suspect when the server began to run
	// it, and so the only suspect there.
	Suspect bool
}

// Status describes a request whose record has changed or is listed.
type Status struct {
	Fingerprint Fingerprint
	Verdict     Verdict
	// Exits is the number of servers that have exited while running the request since it
	// was last answered.
	Exits int
	// BlockedFor is how much longer a blamed request is not run.
	BlockedFor time.Duration
}

// Tracker holds a node's records of the requests that were in flight at server exits. The
// zero value is empty. It is safe for concurrent use.
type Tracker struct {
	// size is the number of records, readable without the lock.
	size atomic.Int64

	mu      sync.Mutex
	records map[Fingerprint]*entry
}

// entry is a record with the time of the last exit or answer by this node's clock.
type entry struct {
	Record
	last time.Time
}

// MaxRecords bounds the records of a tracker. It suffices for about 50 server exits within
// the retention time of records, with five requests in flight at each, and makes messages
// between nodes of 13 KB.
const MaxRecords = 256

// Empty reports whether there are no records, which is the usual case; no fingerprint need
// be computed then.
func (t *Tracker) Empty() bool { return t.size.Load() == 0 }

// Check returns a request's verdict and, if it is blamed, the remaining backoff.
func (t *Tracker) Check(now time.Time, f Fingerprint) (v Verdict, left time.Duration) {
	if t.Empty() {
		return Clear, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[f]
	if e == nil {
		return Clear, 0
	}
	return e.verdict(now)
}

// verdict returns the verdict and, if the request is blamed, the remaining backoff.
func (e *entry) verdict(now time.Time) (v Verdict, left time.Duration) {
	if len(e.Exits) == 0 {
		return Clear, 0
	}
	if left := e.backoff() - now.Sub(e.last); left > 0 {
		return Blamed, left
	}
	return Suspect, 0
}

// ServerExited records the requests that a server was running when its process exited. The
// caller draws a random ID for the exit.
func (t *Tracker) ServerExited(now time.Time, exit uint64, inFlight []InFlight) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var updates []Status
	for _, r := range inFlight {
		e := t.records[r.Fingerprint]
		if e == nil {
			e = t.insert(now, Record{Fingerprint: r.Fingerprint})
		}
		e.add(exit)
		e.SoleSuspect = e.SoleSuspect || r.Suspect
		e.last = now
		updates = append(updates, e.status(now))
	}
	t.bound(now)
	return updates
}

// Answered records that a server answered a request, which clears it: it did not cause the
// earlier exits, or no longer causes any. It returns nil if the request was clear already.
func (t *Tracker) Answered(now time.Time, f Fingerprint) []Status {
	if t.Empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[f]
	if e == nil || len(e.Exits) == 0 {
		return nil
	}
	e.Record = Record{Fingerprint: f, Epoch: e.Epoch + 1}
	e.last = now
	return []Status{e.status(now)}
}

// Merge merges another node's records and returns the requests whose records changed.
func (t *Tracker) Merge(now time.Time, records []Record) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var updates []Status
	for i := range records {
		if e, changed := t.merge(now, &records[i]); changed {
			updates = append(updates, e.status(now))
		}
	}
	t.bound(now)
	return updates
}

// merge merges one record; invalid and expired ones are ignored. It is called with the
// lock held.
func (t *Tracker) merge(now time.Time, r *Record) (e *entry, changed bool) {
	age := time.Duration(r.AgeMillis) * time.Millisecond
	if r.AgeMillis < 0 || len(r.Exits) > maxExits || !slices.IsSorted(r.Exits) || age >= r.backoff()+retention {
		return nil, false
	}
	e = t.records[r.Fingerprint]
	if e == nil {
		e = t.insert(now.Add(-age), *r)
		e.Exits = slices.Clone(r.Exits)
		return e, true
	}
	newer := r.Epoch > e.Epoch
	changed = e.merge(r)
	if last := now.Add(-age); newer || (r.Epoch == e.Epoch && last.After(e.last)) {
		e.last = last
	}
	return e, changed
}

// insert is called with the lock held.
func (t *Tracker) insert(last time.Time, r Record) *entry {
	if t.records == nil {
		t.records = map[Fingerprint]*entry{}
	}
	e := &entry{Record: r, last: last}
	t.records[r.Fingerprint] = e
	return e
}

func (e *entry) status(now time.Time) Status {
	s := Status{Fingerprint: e.Fingerprint, Exits: len(e.Exits)}
	s.Verdict, s.BlockedFor = e.verdict(now)
	return s
}

// bound deletes expired records and then those beyond MaxRecords: requests that are not
// blamed before those that are, and the oldest first. It is called with the lock held.
func (t *Tracker) bound(now time.Time) {
	t.expire(now)
	if over := len(t.records) - MaxRecords; over > 0 {
		entries := make([]*entry, 0, len(t.records))
		for _, e := range t.records {
			entries = append(entries, e)
		}
		slices.SortFunc(entries, func(a, b *entry) int {
			blamedA, _ := a.verdict(now)
			blamedB, _ := b.verdict(now)
			return cmp.Or(cmp.Compare(blamedA, blamedB), a.last.Compare(b.last))
		})
		for _, e := range entries[:over] {
			delete(t.records, e.Fingerprint)
		}
	}
	t.size.Store(int64(len(t.records)))
}

// expire deletes expired records. It is called with the lock held.
func (t *Tracker) expire(now time.Time) {
	for f, e := range t.records {
		if now.Sub(e.last) >= e.backoff()+retention {
			delete(t.records, f)
		}
	}
	t.size.Store(int64(len(t.records)))
}

// Sum returns a hash of all records: two nodes with equal sums need not compare their
// records. It is 0 if there are none.
func (t *Tracker) Sum(now time.Time) uint64 {
	if t.Empty() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	sum := uint64(0)
	for _, e := range t.records {
		sum ^= e.sum()
	}
	return sum
}

// Records returns all records, ordered by fingerprint, to be sent to other nodes.
func (t *Tracker) Records(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	records := make([]Record, 0, len(t.records))
	for _, e := range t.records {
		r := e.Record
		r.Exits = slices.Clone(e.Exits)
		r.AgeMillis = max(now.Sub(e.last).Milliseconds(), 0)
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b Record) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return records
}

// List returns the requests that are suspect or blamed, for operators.
func (t *Tracker) List(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Status
	for _, e := range t.records {
		if s := e.status(now); s.Verdict != Clear {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Status) int {
		return cmp.Or(cmp.Compare(b.Verdict, a.Verdict), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return list
}
