// SPDX-License-Identifier: MIT

package spread

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// errAbandoned is the cause with which a watch is canceled in order to restart it, because its
// connection may have stalled.
var errAbandoned = eris.New("watch abandoned: its connection may have stalled")

// lateWatchTimeout is how much later than another node or a check a watch may report a change.
// Even a slow platform notifies its watches within about 200 ms.
const lateWatchTimeout = 500 * time.Millisecond

// openWatch is a watch that waits for a reply of the platform.
type openWatch struct {
	key     string
	began   time.Time
	abandon context.CancelCauseFunc
	// ended is closed when the watch ends.
	ended <-chan struct{}
}

// abandonIfLate abandons the watch unless it ends within lateWatchTimeout.
func (w *openWatch) abandonIfLate() {
	timer := time.NewTimer(lateWatchTimeout)
	defer timer.Stop()
	select {
	case <-w.ended:
	case <-timer.C:
		w.abandon(errAbandoned)
	}
}

// openWatches are the open watches of this node. The zero value is empty.
type openWatches struct {
	mu   sync.Mutex
	open map[*openWatch]struct{}
}

// begin registers a watch. It returns a context that is canceled when the watch is abandoned,
// and a function to call when the watch ends.
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

// abandon cancels the watches that began before a time, so that they are restarted.
func (o *openWatches) abandon(before time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for w := range o.open {
		if w.began.Before(before) {
			w.abandon(errAbandoned)
		}
	}
}

// changedElsewhere notes that another node or a check has reported a change of the object with
// a key. A watch of that object that does not report the change soon is on a stalled
// connection.
func (o *openWatches) changedElsewhere(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for w := range o.open {
		if w.key == key {
			go w.abandonIfLate() // Ends with the watch.
		}
	}
}
