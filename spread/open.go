// SPDX-License-Identifier: MIT

package spread

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// errAbandoned is the cause of the end of a watch that is begun anew because it may
// hang on a connection that went silent.
var errAbandoned = eris.New("watch abandoned: its connection may be silent")

// outpacedAfter is how much later than from elsewhere a watch may tell of a change: the
// platform tells its watches within some 200 ms when it is slow.
const outpacedAfter = 500 * time.Millisecond

// openWatch is a watch that waits at the platform.
type openWatch struct {
	key     string
	began   time.Time
	abandon context.CancelCauseFunc
	// ended is closed at its end.
	ended <-chan struct{}
}

// abandonLate abandons the watch unless it ends soon.
func (w *openWatch) abandonLate() {
	timer := time.NewTimer(outpacedAfter)
	defer timer.Stop()
	select {
	case <-w.ended:
	case <-timer.C:
		w.abandon(errAbandoned)
	}
}

// openWatches are those of this node. The zero value has none.
type openWatches struct {
	mu   sync.Mutex
	open map[*openWatch]struct{}
}

// begin returns the context of a new watch, which ends when the watch is abandoned, and
// what must be called at its end.
func (o *openWatches) begin(ctx context.Context, key string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &openWatch{key: key, began: time.Now(), abandon: cancel, ended: ctx.Done()}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open == nil {
		o.open = map[*openWatch]struct{}{}
	}
	o.open[w] = struct{}{}
	return ctx, func() {
		o.mu.Lock()
		delete(o.open, w)
		o.mu.Unlock()
		cancel(nil)
	}
}

// any reports whether any watch is open.
func (o *openWatches) any() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.open) > 0
}

// abandon has the watches that began before a time end, to be begun anew.
func (o *openWatches) abandon(before time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for w := range o.open {
		if w.began.Before(before) {
			w.abandon(errAbandoned)
		}
	}
}

// outpaced takes note that a key's object was heard to have changed by another way. A
// watch for it that does not tell soon hears nothing.
func (o *openWatches) outpaced(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for w := range o.open {
		if w.key == key {
			go w.abandonLate() // Ends with the watch.
		}
	}
}
