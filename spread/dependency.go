// SPDX-License-Identifier: MIT

package spread

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ryehaven/ryehaven/store"
)

// dependency tells when the store is lost and when it is regained, one line for
// each. The zero value takes it for reachable.
type dependency struct {
	mu        sync.Mutex
	lostSince time.Time
	failures  int
}

// note takes how a call to the store ended.
func (d *dependency) note(log *zap.Logger, now time.Time, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	lost := isLost(err)
	switch {
	case lost && d.lostSince.IsZero():
		d.lostSince = now
		d.failures = 1
		log.Warn("store lost", zap.Error(err))
	case lost:
		d.failures++
	case !d.lostSince.IsZero():
		log.Info("store regained", zap.Duration("after", now.Sub(d.lostSince)), zap.Int("failed_calls", d.failures))
		d.lostSince = time.Time{}
	}
}

// isLost reports whether a call's end means that the store did not answer it. What
// it answers, even a refusal of the call's condition, shows that it is there.
func isLost(err error) bool {
	return err != nil && !errors.Is(err, store.ErrNotFound) && !errors.Is(err, store.ErrConflict)
}
