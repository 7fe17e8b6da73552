// SPDX-License-Identifier: MIT

package spread

import (
	"strings"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/ryehaven/ryehaven/table"
)

// OfferResult is the result of offering a table to a Holder.
type OfferResult uint8

// The results of an offer.
const (
	// Accepted: the table is now the newest.
	Accepted OfferResult = iota
	// AlreadyHeld: the holder already has this table.
	AlreadyHeld
	// Older: the table's generation is lower than that of the current one.
	Older
	// Conflict: the table has the generation of the current one and another hash.
	Conflict
)

// Holder keeps the newest table of a node.
type Holder struct {
	// Log receives a line for each accepted table, and for each refused one unless it repeats
	// the last refusal.
	Log *zap.Logger
	// OnAccepted is called with each accepted table, in order of acceptance.
	OnAccepted func(s *table.Snapshot)

	// AcceptedCount, OlderCount and ConflictCount count results of Offer.
	AcceptedCount, OlderCount, ConflictCount atomic.Int64

	mu      sync.Mutex
	current *table.Snapshot
	// lastRefused is the last refused table that was logged.
	lastRefused tableID
}

type tableID struct {
	generation table.Generation
	hash       string
}

// Current returns the newest table, or nil if there is none yet.
func (h *Holder) Current() *table.Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Generation returns the generation and hash of the current table.
func (h *Holder) Generation() (table.Generation, string) {
	s := h.Current()
	if s == nil {
		return 0, ""
	}
	return s.Generation, s.Hash
}

// Evaluate returns the result that offering a table of that generation and hash would have.
func (h *Holder) Evaluate(generation table.Generation, hash string) OfferResult {
	return evaluate(h.Current(), generation, hash)
}

// evaluate decides whether a table replaces the current one; all offers go by this rule. hash
// may be a prefix of the table's hash.
func evaluate(held *table.Snapshot, generation table.Generation, hash string) OfferResult {
	switch {
	case held == nil || generation > held.Generation:
		return Accepted
	case generation < held.Generation:
		return Older
	case !strings.HasPrefix(held.Hash, hash):
		return Conflict
	}
	return AlreadyHeld
}

// Offer accepts a validated table if it is newer than the current one. source says where it
// came from, for the log.
func (h *Holder) Offer(s *table.Snapshot, source string) OfferResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	result := evaluate(h.current, s.Generation, s.Hash)
	switch result {
	case Accepted:
		h.current = s
		h.AcceptedCount.Add(1)
		h.Log.Info("table in force",
			zap.Uint64("generation", uint64(s.Generation)),
			zap.String("hash", s.Hash),
			zap.String("source", source))
		if h.OnAccepted != nil {
			h.OnAccepted(s)
		}
	case Older:
		h.OlderCount.Add(1)
		h.warn(s, source, "older table refused")
	case Conflict:
		h.ConflictCount.Add(1)
		h.warn(s, source, "table refused: same generation as the table in force, different content")
	}
	return result
}

// warn logs a refused table, unless the last refusal was of the same table. h.mu must be held.
func (h *Holder) warn(s *table.Snapshot, source, message string) {
	id := tableID{s.Generation, s.Hash}
	if h.lastRefused == id {
		return
	}
	h.lastRefused = id
	h.Log.Warn(message,
		zap.Uint64("generation", uint64(s.Generation)),
		zap.String("hash", s.Hash),
		zap.Uint64("in_force", uint64(h.current.Generation)),
		zap.String("source", source))
}
