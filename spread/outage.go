// SPDX-License-Identifier: MIT

package spread

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ryehaven/ryehaven/store"
)

// outageLog logs when the store becomes unreachable and when it is reachable again, one line
// each. In the zero value the store counts as reachable.
type outageLog struct {
	mu        sync.Mutex
	lostSince time.Time
	failures  int
}

// note records the result of a call to the store.
func (o *outageLog) note(log *zap.Logger, now time.Time, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	lost := isLost(err)
	switch {
	case lost && o.lostSince.IsZero():
		o.lostSince = now
		o.failures = 1
		log.Warn("store lost", zap.Error(err))
	case lost:
		o.failures++
	case !o.lostSince.IsZero():
		log.Info("store regained", zap.Duration("after", now.Sub(o.lostSince)), zap.Int("failed_calls", o.failures))
		o.lostSince = time.Time{}
	}
}

// isLost reports whether the error of a call means that the store could not serve it. Errors
// such as "not found" or a failed precondition show that the store is reachable.
func isLost(err error) bool {
	return err != nil && !errors.Is(err, store.ErrNotFound) && !errors.Is(err, store.ErrConflict)
}
