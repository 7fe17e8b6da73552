// SPDX-License-Identifier: MIT

package blame

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Record describes one request that was in flight at server exits.
type Record struct {
	Fingerprint Fingerprint
	// Epoch counts how often the request was answered, or the blame lifted, after a
	// server had exited while running it. A record with a higher epoch replaces those
	// with lower ones.
	Epoch uint32
	// Exits are the IDs of the exits of servers that were running the request, in
	// ascending order.
	Exits []uint64
	// SoleSuspect says that at one of these exits the request was the only one there that
	// had been in flight at an earlier exit, so that no other can be the cause.
	SoleSuspect bool
	// AgeMillis is the time since the last exit or answer was recorded.
	AgeMillis int64
}

// maxExits bounds the exits in a record. Fewer than that already give the longest backoff.
const maxExits = 8

// add adds the IDs of exits and reports whether that changed the record. Beyond maxExits
// it keeps the lowest, so that all nodes keep the same ones.
func (r *Record) add(exits ...uint64) (changed bool) {
	for _, exit := range exits {
		at, known := slices.BinarySearch(r.Exits, exit)
		if known || at >= maxExits {
			continue
		}
		r.Exits = slices.Insert(r.Exits, at, exit)
		r.Exits = r.Exits[:min(len(r.Exits), maxExits)]
		changed = true
	}
	return changed
}

// merge merges another record of the same request into this one and reports whether that
// changed it.
func (r *Record) merge(other *Record) (changed bool) {
	switch {
	case other.Epoch < r.Epoch:
		return false
	case other.Epoch > r.Epoch:
		*r = *other
		r.Exits = slices.Clone(other.Exits)
		return true
	}
	changed = r.add(other.Exits...)
	if other.SoleSuspect && !r.SoleSuspect {
		r.SoleSuspect, changed = true, true
	}
	r.AgeMillis = min(r.AgeMillis, other.AgeMillis)
	return changed
}

// sum returns a hash of the record without its age, which differs between nodes.
func (r *Record) sum() uint64 {
	b := slices.Clone(r.Fingerprint[:])
	b = binary.BigEndian.AppendUint32(b, r.Epoch)
	for _, exit := range r.Exits {
		b = binary.BigEndian.AppendUint64(b, exit)
	}
	if r.SoleSuspect {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

// When a request is blamed and for how long. Two exits, one of them as the sole suspect, are
// unlikely to be a coincidence. A request that is blamed wrongly all the same may run again
// after a minute; one that does crash servers crashes one more then, and one after each
// longer backoff.
const (
	exitsToBlame   = 2
	initialBackoff = time.Minute
	backoffFactor  = 4
	maxBackoff     = time.Hour
	// retention is how long a record is kept beyond the request's backoff.
	retention = 10 * time.Minute
)

// backoff returns how long after its last exit the request is not run.
func (r *Record) backoff() time.Duration {
	if !r.SoleSuspect || len(r.Exits) < exitsToBlame {
		return 0
	}
	backoff := initialBackoff
	for range len(r.Exits) - exitsToBlame {
		backoff = min(backoff*backoffFactor, maxBackoff)
	}
	return backoff
}
