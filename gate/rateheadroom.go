// SPDX-License-Identifier: MIT

package gate

import (
	"time"

	"github.com/ryehaven/ryehaven/wire"
)

// addRate adds what is known of the bounds on the rate of requests to an update for the entries:
// the server's cold time, and the limit that it reports. It is called with the lock held.
func (g *Gate) addRate(now time.Time, headroom *wire.Headroom) {
	if left := g.cold.end().Sub(now); left > 0 {
		headroom.ColdMillis = (left + time.Millisecond - 1).Milliseconds()
	}
	headroom.RateLimit = g.wireRateLimit()
	if !headroom.RateBounded() {
		return
	}
	interval, waits := g.queue.RateWaits(now)
	headroom.TokenIntervalMillis = interval.Milliseconds()
	for level, wait := range headroom.TokenWaits() {
		*wait = waits[level].Milliseconds()
	}
}

// Changes of the state of a server with a bounded rate that entries are notified of. Between
// updates, entries extrapolate the last one by themselves.
const (
	// minColdChangeMillis is by how much the end of the cold time must have moved.
	minColdChangeMillis = 200
	// minTokenChange is by how many requests the headroom must have changed, and
	// tokenChangeInterval the shortest time between two updates for that reason: each update
	// goes to every entry.
	minTokenChange      = 2
	tokenChangeInterval = 250 * time.Millisecond
)

// headroomChanged reports whether the headroom of the server has changed enough to notify the
// entries. believed is the last update, made some time ago, as entries extrapolate it.
func headroomChanged(believed, headroom wire.Headroom, ago time.Duration) bool {
	cold := believed.ColdMillis - headroom.ColdMillis
	_, wasLimited := believed.RateLimit.PerSecond()
	_, limited := headroom.RateLimit.PerSecond()
	switch {
	case (believed.ColdMillis == 0) != (headroom.ColdMillis == 0), max(cold, -cold) > minColdChangeMillis:
		return true
	case wasLimited != limited:
		return true
	case limited && ago < tokenChangeInterval: // A server may report another limit in each response.
		believed.TokenIntervalMillis = headroom.TokenIntervalMillis
	case believed.TokenIntervalMillis != headroom.TokenIntervalMillis:
		return true
	}
	believed.ColdMillis, headroom.ColdMillis = 0, 0
	believed.RateLimit, headroom.RateLimit = 0, 0
	believedWaits, waits := believed.TokenWaits(), headroom.TokenWaits()
	for level, wait := range waits {
		change := *believedWaits[level] - *wait
		if ago >= tokenChangeInterval && max(change, -change) > minTokenChange*headroom.TokenIntervalMillis {
			return true
		}
		*believedWaits[level], *wait = 0, 0
	}
	return believed != headroom
}
