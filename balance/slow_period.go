// SPDX-License-Identifier: MIT

package balance

import "time"

// Servers that share their hosts with others are slow for short periods. Such a slow period
// differs by its length from a lasting slowdown: its end is worth waiting for.
const (
	// defaultSlowPeriod is the assumed duration of a slow period while none was observed,
	// and slowPeriodWeight the weight of one slow period in the moving averages.
	defaultSlowPeriod = 150 * time.Millisecond
	slowPeriodWeight  = 0.05
	// slowPeriodFactor is by how much the slowness must rise for a slow period to begin,
	// and fall for it to end.
	slowPeriodFactor = 1.5
	// defaultSlowdown is the assumed factor by which a server is slower in a slow period
	// while none was observed.
	defaultSlowdown = 3
	// maxSlowPeriods is after how many expected durations a server is no longer considered
	// to be in a slow period: of periods that end at random, one in fifty lasts longer.
	maxSlowPeriods = 4
)

// slowPeriodStats is what was learned of the slow periods of a pool's servers.
type slowPeriodStats struct {
	// meanDuration is how long a slow period lasts, and meanSlowdown the factor by which a
	// server is slower in it, as moving averages; 0 while none was observed.
	meanDuration time.Duration
	meanSlowdown float64
}

// expectedDuration returns how long a slow period is expected to last.
func (k *slowPeriodStats) expectedDuration() time.Duration {
	if k.meanDuration == 0 {
		return defaultSlowPeriod
	}
	return k.meanDuration
}

// expectedSlowdown returns by which factor a server is expected to be slower in a slow period.
func (k *slowPeriodStats) expectedSlowdown() float64 {
	if k.meanSlowdown == 0 {
		return defaultSlowdown
	}
	return k.meanSlowdown
}

// observe records a report of a server's slowness, in percent of usual.
func (k *slowPeriodStats) observe(now time.Time, s *Server, percent int) {
	before := s.report.Slowness
	switch {
	case before <= 0:
	case float64(percent)*slowPeriodFactor <= float64(before):
		if !s.slowPeriodStart.IsZero() {
			k.meanDuration = updateMean(k.meanDuration, min(now.Sub(s.slowPeriodStart), maxSlowPeriods*k.expectedDuration()))
		}
		s.slowPeriodStart = time.Time{}
	case float64(percent) >= slowPeriodFactor*float64(before) && !k.active(now, s):
		s.slowPeriodStart = now
		s.slownessBefore = before
		times := float64(percent) / float64(before)
		if k.meanSlowdown == 0 {
			k.meanSlowdown = times
		}
		k.meanSlowdown += slowPeriodWeight * (times - k.meanSlowdown)
	}
}

// updateMean returns a moving average after one more value; 0 is an average without values.
func updateMean(before, one time.Duration) time.Duration {
	if before == 0 {
		return one
	}
	return before + time.Duration(slowPeriodWeight*float64(one-before))
}

// active reports whether a server is in a slow period that should end soon.
func (k *slowPeriodStats) active(now time.Time, s *Server) bool {
	return !s.slowPeriodStart.IsZero() && now.Sub(s.slowPeriodStart) < maxSlowPeriods*k.expectedDuration()
}

// minAwaitGain is by how much the expected loss must be lower, in late requests, for a
// request to wait for the end of a slow period, since that end is only estimated.
const minAwaitGain = 0.03

// ShouldAwaitSpeedup reports whether a request has a lower expected loss if it waits for the
// end of any server's slow period than if it begins now at best, which is the best server for
// it now. left is what remains of its deadline.
func (p *Pool) ShouldAwaitSpeedup(now time.Time, best *Server, demand Demand, left time.Duration) bool {
	if p.options.NoAwait || !demand.Known() || !p.reportsSlowness() || !p.slowPeriods.active(now, best) {
		return false
	}
	later, ok := p.timeAfterSlowPeriod(now, demand)
	if !ok || later >= left {
		return false
	}
	slowness := best.slownessEstimate(now, p.meanSlowness(now)) / 100
	gain := p.lossForTime(now, best, demand, p.timeAtSlowness(now, best, slowness, demand)) - p.lossForTime(now, best, demand, later)
	return p.gainUnderLoad(now, gain, slowness, demand) > minAwaitGain
}

// gainUnderLoad returns what is gained, in late requests, if a request does not begin at a
// server of a slowness but elsewhere or later, where its own expected loss is lower by gain.
// While all slots are free, the result is that gain. While all are busy, a request that gets a
// fast slot takes it from another request, so the result is the value of the time for which the
// slow run would occupy its slot. In between, it is interpolated by the utilization.
func (p *Pool) gainUnderLoad(now time.Time, gain, slowness float64, demand Demand) float64 {
	busy := p.utilization(now, demand)
	return (1-busy)*gain + busy*slotValue*p.extraSlotTime(slowness, demand)
}

// slotValue is the value, in late requests, of a slot for the time of one usual request while
// all slots are busy.
const slotValue = 0.2

// extraSlotTime returns for how many usual requests' time a run that begins at a slowness still
// occupies its slot after the slow period has ended, when others could begin there fast.
func (p *Pool) extraSlotTime(slowness float64, demand Demand) float64 {
	beyond := p.slowedWork(demand.Work, slowness) - p.slowPeriods.expectedDuration()
	return max(float64(beyond)/float64(demand.Work), 0)
}

// utilization returns the share of the gates' concurrency limits that is in use, from 0 to 1.
func (p *Pool) utilization(now time.Time, demand Demand) float64 {
	load, limit := 0.0, 0.0
	mean := p.meanOthersLoad()
	for _, s := range p.servers {
		if p.healthOf(now, s) > atCapacity {
			continue
		}
		load += min(p.loadGivenMean(now, s, demand.Work, mean), p.concurrencyLimit(s))
		limit += p.concurrencyLimit(s)
	}
	if limit == 0 {
		return 0
	}
	return load / limit
}

// timeAfterSlowPeriod returns the expected time until the answer if the request waits for the
// first slow period to end; ok is false if no server is in one.
func (p *Pool) timeAfterSlowPeriod(now time.Time, demand Demand) (took time.Duration, ok bool) {
	n := 0
	for _, s := range p.servers {
		if p.healthOf(now, s) > atCapacity || !p.slowPeriods.active(now, s) {
			continue
		}
		n++
		fast := p.timeAtSlowness(now, s, float64(s.slownessBefore)/100, demand)
		if n == 1 || fast < took {
			took = fast
		}
	}
	if n == 0 {
		return 0, false
	}
	return took + p.slowPeriods.expectedDuration()/time.Duration(n), true
}
