// SPDX-License-Identifier: MIT

package admit

import (
	"time"

	"github.com/ryehaven/ryehaven/table"
)

// Client requests that take long and come often fill all slots of a server. Calls, which take a
// tenth of their time, then wait for a slot although they go first in the queue, since slots
// become free too seldom. A refused call wastes the work of the request that made it.

// callReserve adapts the number of slots that client requests may not fill. The number rises by
// one after each window in which too many calls waited too long, and falls by one after
// reserveQuietWindows windows in a row without that. The zero value reserves no slot.
type callReserve struct {
	slots int
	// calls counts the calls that were dispatched or refused in the current window, and
	// delayed those of them that waited too long.
	windowStart    time.Time
	calls, delayed int
	// quiet counts consecutive windows in which few enough calls waited too long.
	quiet int
	// lastCall is when the last call was offered, and meanWait the moving average of the calls'
	// waits.
	lastCall time.Time
	meanWait time.Duration
}

const (
	// A window ends after reserveWindowCalls calls or after reserveWindowMax.
	reserveWindowCalls = 8
	reserveWindowMax   = 500 * time.Millisecond
	// maxDelayedShare is the share of a window's calls that may wait too long. At this share, more
	// than nine of ten requests that make two calls are not delayed by either.
	maxDelayedShare = 0.02
	// reserveQuietWindows is the number of quiet windows after which one slot is released.
	reserveQuietWindows = 8
	// maxReserveShare bounds the reserved slots, as a share of the limit.
	maxReserveShare = 0.5
	// reserveIdleTimeout is how long after the last call client requests may use the reserved
	// slots again.
	reserveIdleTimeout = time.Second
)

// observe counts a call that was dispatched or refused; delayed means that it waited too long.
func (c *callReserve) observe(delayed bool) {
	c.calls++
	if delayed {
		c.delayed++
	}
}

// observeRefused counts a call that got no slot within the time that it could wait.
func (c *callReserve) observeRefused(t *Ticket) {
	c.observe(true)
	c.observeWait(t.MaxWait)
}

// endWindow adapts the number of reserved slots, up to maxSlots, once the window is over.
func (c *callReserve) endWindow(now time.Time, maxSlots int) {
	if c.calls < reserveWindowCalls && now.Sub(c.windowStart) < reserveWindowMax {
		return
	}
	switch {
	case float64(c.delayed) > maxDelayedShare*float64(c.calls):
		c.slots, c.quiet = c.slots+1, 0
	default:
		c.quiet++
	}
	if c.quiet >= reserveQuietWindows {
		c.slots, c.quiet = c.slots-1, 0
	}
	c.slots = min(max(c.slots, 0), maxSlots)
	c.windowStart, c.calls, c.delayed = now, 0, 0
}

// resetWindow starts a new window without learning anything from the current one.
func (c *callReserve) resetWindow(now time.Time) { c.windowStart, c.calls, c.delayed = now, 0, 0 }

// recordCallDispatch records the wait of a call that is dispatched now. A wait is too long if it
// exceeds the call's own service time: the calling request then held its slot for twice as long.
func (q *Queue) recordCallDispatch(now time.Time, t *Ticket) {
	own := t.Work
	if own == 0 {
		own = q.callServiceTime.value
	}
	wait := now.Sub(t.offeredAt)
	q.callReserve.observe(wait > own)
	q.callReserve.observeWait(wait)
}

// ReservedForCalls returns how many slots the least urgent client requests may not fill now.
func (q *Queue) ReservedForCalls(now time.Time) int {
	return q.reservedSlots(now, &Ticket{Priority: table.Bulk})
}

// reservedSlots is how many slots a client request may not fill now. More urgent requests may
// fill one slot more per priority.
func (q *Queue) reservedSlots(now time.Time, t *Ticket) int {
	if !q.settings.ReserveForCalls {
		return 0
	}
	if q.rates.enforced(now) {
		q.callReserve.resetWindow(now) // Calls wait for the bounded rate then, and more slots would not help.
	}
	q.callReserve.endWindow(now, int(maxReserveShare*float64(q.Limit())))
	if now.Sub(q.callReserve.lastCall) > reserveIdleTimeout {
		return 0
	}
	return max(q.callReserve.slots-(levels-1-t.level()), 0)
}

// callWaitWeight is the weight of one call in the moving average of the calls' waits.
const callWaitWeight = 0.2

// observeWait adds the wait of a call that was dispatched or refused to the moving average.
func (c *callReserve) observeWait(wait time.Duration) {
	c.meanWait += time.Duration(callWaitWeight * float64(wait-c.meanWait))
}

// CallWait returns how long calls wait at this server; 0 if there were none recently.
func (q *Queue) CallWait(now time.Time) time.Duration {
	if now.Sub(q.callReserve.lastCall) > reserveIdleTimeout {
		return 0
	}
	return q.callReserve.meanWait
}
