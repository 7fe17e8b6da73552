// SPDX-License-Identifier: MIT

// Package suspend detects that this host was suspended, and for how long. The monotonic
// clock, which ages, timeouts and deadlines are based on, does not advance meanwhile: after
// an hour of suspension a node would treat its data as being as fresh as before.
package suspend

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// minReported is the shortest suspension that is reported. The two clocks are read one
// after the other, and a node may be preempted in between for some milliseconds.
const minReported = 100 * time.Millisecond

// Total returns how long the host has been suspended since it booted: the time by which
// CLOCK_BOOTTIME, which includes suspensions, is ahead of CLOCK_MONOTONIC.
func Total() (time.Duration, error) {
	var boot, steady unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano() - steady.Nano()), nil
}

// Detector detects suspensions of the host. The zero value uses Total. It is safe for
// concurrent use.
type Detector struct {
	// Total returns the total time in suspension. An error means that the system has no
	// such clock; then no suspension is detected.
	Total func() (time.Duration, error)

	mu    sync.Mutex
	known bool
	last  time.Duration
}

// Check returns how long the host was suspended since the last call that reported a
// suspension, or since the first call; 0 if it was not.
func (w *Detector) Check() time.Duration {
	total := w.Total
	if total == nil {
		total = Total
	}
	now, err := total()
	if err != nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.known {
		w.known, w.last = true, now
		return 0
	}
	slept := now - w.last
	if slept < minReported {
		return 0
	}
	w.last = now
	return slept
}
