// SPDX-License-Identifier: MIT

package calls

import (
	"math"
	"time"
)

// Part is the calls of a request to one route.
type Part struct {
	// Share and Times are those of Expected.
	Share, Times float64
	// Refused is the chance that such a call finds no room, or only after its aim, and Took
	// what it takes now.
	Refused float64
	Took    time.Duration
	// After is when there may be room for such a call; 0 if that is not known.
	After time.Duration
}

// Whole is a request with its calls, as it would be if it were let in now.
type Whole struct {
	// Priority of the request; 0 is the most urgent.
	Priority uint8
	Parts    []Part
}

// Room is the chance that all calls of the request find room.
func (w *Whole) Room() float64 {
	room := 1.0
	for i := range w.Parts {
		room *= w.Parts[i].room()
	}
	return room
}

// mostTimes bounds the calls of one run that count.
const mostTimes = 64

// room is the chance that all calls of the part find room.
func (p *Part) room() float64 {
	share, times := within(p.Share), 0.0
	if p.Times > 0 { // It may be no number.
		times = min(p.Times, mostTimes)
	}
	return 1 - share + share*math.Pow(1-within(p.Refused), times)
}

// within bounds a chance; what is no number is 0.
func within(chance float64) float64 {
	if !(chance > 0) {
		return 0
	}
	return min(chance, 1)
}

// Harm is the chance that the request would be worked on for nothing. Slow servers, and
// little time left, do no harm here: where there is room, a late answer is better than none.
func (w *Whole) Harm() float64 { return 1 - w.Room() }

// Bearable is the harm up to which a route's requests are let in: as much as bears a
// level, and half of that for each less urgent one. As a shortage grows, all nodes thus
// turn away the same requests, the least urgent first.
func Bearable(priority uint8) float64 {
	return math.Ldexp(mostBearable, -int(min(priority, mostLevels)))
}

const (
	// mostBearable is the harm that the most urgent requests bear: their runs are still as
	// likely to be of use as not.
	mostBearable = 0.5
	// mostLevels bounds the levels that are told apart.
	mostLevels = 4
)

// RetryAfter is when there may be room for all calls of the request: as long as the part
// that is shortest of room says, within bounds.
func (w *Whole) RetryAfter() time.Duration {
	after, worst := time.Duration(0), 0.0
	for i := range w.Parts {
		if p := &w.Parts[i]; p.Refused > worst {
			worst, after = p.Refused, max(p.After, p.Took)
		}
	}
	return min(max(after, leastRetryAfter), mostRetryAfter)
}

const (
	// leastRetryAfter keeps those that were refused from coming back before anything can
	// have changed, and mostRetryAfter from staying away longer than a shortage is known
	// for.
	leastRetryAfter = 50 * time.Millisecond
	mostRetryAfter  = 5 * time.Second
)
