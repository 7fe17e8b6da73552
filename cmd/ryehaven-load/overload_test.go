// SPDX-License-Identifier: MIT

package main

import (
	"math"
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/platform/emulator"
)

// Full load fills the slots that nodes use at the service that the reads go to, and no
// service gets more than that, however deep the calls.
func TestFullLoadFillsTheReadsService(t *testing.T) {
	for depth := range 4 {
		c := overloadCommand{Depth: depth, Servers: 3, Slots: 6, Work: 60 * time.Millisecond}
		rates := c.rates()
		slots := usedSlots * 18
		call := c.Work.Seconds() / callShare
		last := rates[reads] * readTimes * c.Work.Seconds()
		if depth > 0 {
			last += rates[orders] * math.Pow(callsEach, float64(depth)) * call
		}
		if math.Abs(last-slots) > 1e-6 {
			t.Errorf("depth %d: %.2f slots are used where the reads go, want %.2f", depth, last, slots)
		}
		if first := rates[orders] * (c.Work.Seconds() + float64(depth)*call); first > slots+1e-6 {
			t.Errorf("depth %d: %.2f slots are used where the orders go, of %.2f", depth, first, slots)
		}
	}
}

func TestWhoComesBack(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply emulator.Reply
		left  time.Duration
		wait  time.Duration
		back  bool
	}{
		{"refused for a moment", emulator.Reply{Status: 503, RetryAfter: "0.050"}, 600 * time.Millisecond, 50 * time.Millisecond, true},
		{"above a quota", emulator.Reply{Status: 429, RetryAfter: "0.2"}, 600 * time.Millisecond, 200 * time.Millisecond, true},
		{"for longer than callers heed", emulator.Reply{Status: 503, RetryAfter: "0.3"}, 600 * time.Millisecond, 0, false},
		{"without a time", emulator.Reply{Status: 503}, time.Second, 0, false},
		{"failed", emulator.Reply{Status: 502, RetryAfter: "0.050"}, time.Second, 0, false},
	} {
		wait, back := comesBack(c.reply, c.left)
		if back != c.back || (back && wait != c.wait) {
			t.Errorf("%s: %v, %v; want %v, %v", c.name, wait, back, c.wait, c.back)
		}
	}
}
