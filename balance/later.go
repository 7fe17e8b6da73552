// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"time"
)

// While all servers of a service are cold, callers ask for more than they bear. Whoever is
// let in late then takes a token or a slot from one who would be answered in time, and
// whoever is refused with the time to the next token comes back with all others, to be
// refused again. Later decides both.

const (
	// refusedSurely is from which chance on to be refused a request is not sent at all,
	// and scarceFrom from which on its place counts for others.
	refusedSurely = 0.9
	scarceFrom    = 0.25
	// spreadShare is the part of the remaining cold time over which those who are told
	// to come back once it has ended are spread, and leastSpread its least length: what
	// was refused meanwhile comes beside what comes anyway.
	spreadShare = 0.5
	leastSpread = 100 * time.Millisecond
	// warmTimes is how many times its work a request takes at a warm server that is busy.
	warmTimes = 1.5
)

// Later tells whether a caller's request had better not be sent now, since the servers are
// cold, and after which time its caller had better come back. left is what remains of its
// deadline, and draw a random number from 0 to 1 that spreads those who are told so.
func (p *Pool) Later(now time.Time, demand Demand, left time.Duration, draw float64) (after time.Duration, later bool) {
	cold, ok := p.allCold(now)
	if !ok || !demand.Known() {
		return 0, false
	}
	look := p.Outlook(now, demand, false)
	after = p.comeBack(now, cold, demand, left, draw)
	switch {
	case look.Took >= left, look.Refused >= refusedSurely:
		return after, true
	case look.Took > demand.Aim && look.Refused >= scarceFrom:
		// It is late in any case; it goes first only if it can't be answered later.
		return after, after+p.warmTime(demand) <= left
	}
	return 0, false
}

// ComeBack is after which time a caller whose request was refused for want of room had
// better come back; ok is false if no server is known to be cold.
func (p *Pool) ComeBack(now time.Time, demand Demand, left time.Duration, draw float64) (after time.Duration, ok bool) {
	cold, ok := p.allCold(now)
	if !ok {
		return 0, false
	}
	return p.comeBack(now, cold, demand, left, draw), true
}

// allCold is for how much longer the servers that take work are cold, in the mean; ok is
// false if any is warm as far as is known, or none is known to be cold.
func (p *Pool) allCold(now time.Time) (left time.Duration, ok bool) {
	sum, n := time.Duration(0), 0
	for _, s := range p.servers {
		if s.roomAt.IsZero() || p.troubleOf(now, s) > fullTrouble {
			continue
		}
		cold := s.Cold(now)
		if cold == 0 {
			return 0, false
		}
		sum += cold
		n++
	}
	if n == 0 {
		return 0, false
	}
	return sum / time.Duration(n), true
}

// comeBack is once the servers are warm, or if that leaves no time for the answer, some
// time before that at which the request still can be answered.
func (p *Pool) comeBack(now time.Time, cold time.Duration, demand Demand, left time.Duration, draw float64) time.Duration {
	spread := max(time.Duration(spreadShare*float64(cold)), leastSpread)
	warm := cold + time.Duration(draw*float64(spread))
	soonest := max(p.leastTokenWait(now), time.Millisecond)
	latest := left - p.warmTime(demand)
	switch {
	case warm <= latest, !demand.Known():
		return warm
	case cold <= latest:
		return cold + time.Duration(draw*float64(latest-cold))
	}
	latest = left - demand.Work*coldSlowness/100
	if soonest < latest {
		return soonest + time.Duration(draw*float64(latest-soonest))
	}
	return warm // It can't be answered any more; whoever asks anew may be.
}

func (p *Pool) warmTime(demand Demand) time.Duration {
	return time.Duration(warmTimes * float64(demand.Work))
}

// leastTokenWait is until when the first server may get one more request.
func (p *Pool) leastTokenWait(now time.Time) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, s := range p.servers {
		if p.troubleOf(now, s) <= fullTrouble {
			least = min(least, max(s.tokenWait(now), 0))
		}
	}
	if least == math.MaxInt64 {
		return 0
	}
	return least
}
