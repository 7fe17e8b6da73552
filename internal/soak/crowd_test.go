// SPDX-License-Identifier: MIT

package soak

import (
	"testing"
	"time"
)

func TestWhoOfACrowdReturns(t *testing.T) {
	for _, c := range []struct {
		name       string
		status     int
		retryAfter string
		impatient  bool
		wait       time.Duration
		back       bool
	}{
		{"answered", 200, "", false, 0, false},
		{"refused", 503, "0.100", false, 100 * time.Millisecond, true},
		{"above a quota", 429, "0.2", false, 200 * time.Millisecond, true},
		{"for longer than callers heed", 503, "0.5", false, 0, false},
		{"without a time", 503, "", false, 0, true},
		{"impatient", 503, "0.5", true, 0, true},
		{"may have run", 502, "0.1", false, 0, false},
	} {
		wait, back := returnsAfter(c.status, c.retryAfter, 900*time.Millisecond, c.impatient)
		if back != c.back || (back && wait != c.wait) {
			t.Errorf("%s: %v, %v; want %v, %v", c.name, wait, back, c.wait, c.back)
		}
	}
	if _, back := returnsAfter(503, "0", 0, false); back {
		t.Error("a caller whose time is up came back")
	}
}
