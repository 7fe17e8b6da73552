// SPDX-License-Identifier: MIT

package calls

import (
	"math"
	"time"
)

// Part is the calls of a request to one route.
type Part struct {
	// Share, Times and Together are those of Expected.
	Share, Times float64
	Together     bool
	// Refused is the chance that such a call finds no room, Took what it takes now and
	// Usual what it usually takes.
	Refused     float64
	Took, Usual time.Duration
	// After is when there may be room for such a call; 0 if that is not known.
	After time.Duration
}

// Whole is a request with its calls, as it would be if it were let in now.
type Whole struct {
	// Priority of the request; 0 is the most urgent.
	Priority uint8
	// Aim is what is left of the time within which its answer is worth its full value.
	Aim time.Duration
	// Refused is the chance that no server has room for the request itself, and Took what
	// it is expected to take with calls that take what they usually do.
	Refused float64
	Took    time.Duration
	Parts   []Part
}

// lateSteepness is how fast the chance to be late grows around the aim, as where servers
// are chosen.
const lateSteepness = 5

// Chance is the chance that the request ends within its aim.
func (w *Whole) Chance() float64 {
	if w.Aim <= 0 {
		return 0
	}
	took := float64(max(w.Took, 0))
	for i := range w.Parts {
		took += w.Parts[i].longer()
	}
	late := 1 / (1 + math.Exp(lateSteepness*(1-took/float64(w.Aim))))
	return w.Room() * (1 - late)
}

// Room is the chance that the request and all of its calls find room.
func (w *Whole) Room() float64 {
	room := 1 - within(w.Refused)
	for i := range w.Parts {
		room *= w.Parts[i].room()
	}
	return room
}

// room is the chance that all calls of the part find room.
func (p *Part) room() float64 {
	share := within(p.Share)
	return 1 - share + share*math.Pow(1-within(p.Refused), p.times())
}

// waits is how many times the usual a call takes that clearly waits for room; any busy
// server takes somewhat longer.
const waits = 2

// longer is by how much the part makes the request take longer than usual by waiting.
func (p *Part) longer() float64 {
	times := p.times()
	if p.Together {
		times = min(times, 1)
	}
	return within(p.Share) * times * max(float64(p.Took)-waits*float64(max(p.Usual, 0)), 0)
}

// mostTimes bounds the calls of one run that count.
const mostTimes = 64

// times is how many calls a run makes that makes any; what is no number is none.
func (p *Part) times() float64 {
	if !(p.Times > 0) {
		return 0
	}
	return min(p.Times, mostTimes)
}

// within bounds a chance; what is no number is 0.
func within(chance float64) float64 {
	if !(chance > 0) {
		return 0
	}
	return min(chance, 1)
}

// Harm is the part of the chance that the request loses because room is short: for
// itself, or for its calls, which find none or wait for it. Servers that are merely slow
// do no harm here, and neither does an aim that can't be met anyway: where there is room, a
// late answer is better than none.
func (w *Whole) Harm() float64 {
	if w.Aim <= 0 || w.Took >= w.Aim {
		return 1 - w.Room()
	}
	idle := Whole{Aim: w.Aim, Took: w.Took}
	return max(1-w.Chance()/idle.Chance(), 0)
}

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
