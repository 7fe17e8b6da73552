// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/platform/emulator"
)

// RateLimit is a period in which a backend server reported a limit on its requests.
type RateLimit struct {
	Server string
	emulator.RateLimitPeriod
}

// drawServerReports returns the steps in which backend servers report that they accept few
// requests, or that they are leaving. One in three seeds has them, apart from those with
// planned work only. A generator of its own draws them, so that the other steps of a seed stay the
// same.
func drawServerReports(seed uint64, hosts int, length time.Duration) []Step {
	if seed%10 < plannedSeeds || seed%3 != 1 {
		return nil
	}
	rng := rand.New(rand.NewPCG(seed, 5))
	at := func() time.Duration { return time.Duration(rng.Int64N(int64(length) / 2)) }
	limit := Step{At: at(), For: limitLength, Kind: ServerRateLimit, Hosts: rng.Perm(hosts)[:1+rng.IntN(max(hosts/3, 1))], OmitOnHealth: rng.IntN(2) == 0}
	if rng.IntN(3) == 0 { // All servers of a service.
		service := int(seed) % len(services)
		limit.Hosts = slices.DeleteFunc(allHosts(hosts), func(host int) bool { return host%len(services) != service })
	}
	for range 1 + rng.IntN(4) {
		limit.Limits = append(limit.Limits, drawnLimits[rng.IntN(len(drawnLimits))])
	}
	leaving := rng.IntN(hosts)
	steps := []Step{limit, {At: at(), For: leavingLength, Kind: ServerLeaves, Hosts: []int{leaving}}}
	if rng.IntN(2) == 0 { // The node beside a server that reports something stops.
		steps = append(steps, Step{At: steps[1].At + time.Second, For: minStepLength, Kind: Stop, Hosts: []int{leaving}})
		steps = append(steps, Step{At: limit.At + limitLength/2, For: minStepLength, Kind: Stop, Hosts: limit.Hosts[:1]})
	}
	return steps
}

// allHosts returns the numbers of all hosts.
func allHosts(hosts int) []int {
	all := make([]int, hosts)
	for i := range all {
		all[i] = i
	}
	return all
}

// drawnLimits are the limits that servers report, in requests per second.
var drawnLimits = []float64{0, 0.5, 2.5, 8, 30}

const (
	// limitLength is long enough for several windows in which the limit binds.
	limitLength = 12 * time.Second
	// leavingLength is how long a server that is leaving still serves.
	leavingLength = 5 * time.Second
)

// reportLimits makes the host's backend server report the step's limits, one after the other.
func (h *host) reportLimits(ctx context.Context, step Step) {
	server := h.currentServer()
	server.OmitRateLimitOnHealth(step.OmitOnHealth)
	for _, perSecond := range step.Limits {
		server.SetRateLimit(perSecond)
		pause(ctx, step.For/time.Duration(len(step.Limits)))
	}
	server.SetRateLimitFields()
}

// leaveUnannounced makes the host's backend server say in its responses, and nowhere else, that it
// is leaving, and replaces it after a time.
func (h *host) leaveUnannounced(ctx context.Context, length time.Duration) {
	server := h.currentServer()
	server.SetLeaving(true)
	pause(ctx, length)
	h.mu.Lock()
	replaced := h.server != server || h.draining || h.closing
	h.draining = h.draining || !replaced // So that the end of the server counts as planned.
	h.mu.Unlock()
	if !replaced {
		h.endServer(server)
	}
}

// The users' bound on the requests to a server that reports a rate limit, in any window.
const (
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
	// limitForwardedFor is how long ago a host must have forwarded a response with the limit
	// for its requests to count.
	limitForwardedFor = 500 * time.Millisecond
)

// excusesLimit and excusesLeaving are the disturbances of a host after which it need not know what
// it forwarded before.
var (
	excusesLeaving = []Kind{Kill, KillAll, Stop, Pause, ClockStep, machineHeldUp}
	excusesLimit   = append([]Kind{PeerCut, PeerStall, PeerStallOneWay}, excusesLeaving...)
)

// forwarded are the times at which hosts forwarded responses in which a server reported something,
// by server and host.
type forwarded map[string]map[int][]time.Time

// forwardedReports returns when hosts forwarded the responses for which reports is true.
func (o *oracle) forwardedReports(reports func(r *emulator.Reply) bool) forwarded {
	all := forwarded{}
	for i := range o.Calls {
		c := &o.Calls[i]
		if c.Abandoned || c.Reply.Err != nil || !reports(&c.Reply) {
			continue
		}
		for _, a := range o.arrivalsByID[c.ID] {
			if member.ServerIncarnationOf(a.Server).ID != c.Reply.Server() {
				continue
			}
			if all[a.Server] == nil {
				all[a.Server] = map[int][]time.Time{}
			}
			all[a.Server][c.Host] = append(all[a.Server][c.Host], c.Done)
		}
	}
	return all
}

// firstForwarded returns when a host first forwarded a report of a server since a time, as far as
// the host must still know it at another time; ok is false if it need not know it.
func (o *oracle) firstForwarded(f forwarded, server string, host int, since, at time.Time, excuses []Kind) (first time.Time, ok bool) {
	for _, d := range o.Disturbances {
		if (d.Host == host || d.Host == AllHosts) && d.From.Before(at) && d.To.After(since) && slices.Contains(excuses, d.Kind) {
			since = d.To
		}
	}
	for _, t := range f[server][host] {
		if !t.Before(since) && !t.After(at) && (!ok || t.Before(first)) {
			first, ok = t, true
		}
	}
	return first, ok
}

// checkRateLimits checks that servers get no more requests than the limits that they report allow,
// of all hosts together that have forwarded a response with a limit.
func (o *oracle) checkRateLimits() {
	told := o.forwardedReports(func(r *emulator.Reply) bool { return r.RateLimit != "" })
	for _, stretch := range o.limitStretches() {
		server, from, to := stretch[0].Server, stretch[0].From, stretch[len(stretch)-1].To
		var times []time.Time
		for _, a := range o.Arrivals {
			c := o.calls[a.RequestID]
			if a.Server != server || c == nil || a.At.Before(from.Add(o.bounds.Undisturbed)) || a.At.After(to) {
				continue
			}
			if first, ok := o.firstForwarded(told, server, c.Host, from, a.At, excusesLimit); ok && a.At.Sub(first) >= limitForwardedFor {
				times = append(times, a.At)
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		for first, last := 0, 0; last < len(times); last++ {
			for times[last].Sub(times[first]) > limitWindow {
				first++
			}
			highest := highestLimit(stretch, times[first], times[last])
			if n, allowed := last-first+1, int(limitOvershoot*highest*limitWindow.Seconds())+limitSlack; n > allowed {
				o.report(PromiseRateLimit, times[last], "server %s got %d requests within %v while it reported a limit of %g per second, %d are allowed",
					server, n, limitWindow, highest, allowed)
				break
			}
		}
	}
}

// limitStretches returns the reported limits grouped by the time in which a server reported some
// limit without interruption.
func (o *oracle) limitStretches() (stretches [][]RateLimit) {
	limits := slices.Clone(o.RateLimits)
	slices.SortFunc(limits, func(a, b RateLimit) int { return a.From.Compare(b.From) })
	open := map[string]int{}
	for _, l := range limits {
		if i, ok := open[l.Server]; ok && l.From.Sub(stretches[i][len(stretches[i])-1].To) < time.Millisecond {
			stretches[i] = append(stretches[i], l)
			continue
		}
		open[l.Server] = len(stretches)
		stretches = append(stretches, []RateLimit{l})
	}
	return stretches
}

// highestLimit returns the highest limit that was reported between two times.
func highestLimit(stretch []RateLimit, from, to time.Time) (perSecond float64) {
	for _, l := range stretch {
		if l.From.Before(to) && l.To.After(from) {
			perSecond = max(perSecond, l.PerSecond)
		}
	}
	return perSecond
}

// checkLeaving checks that a server gets no requests from hosts that have forwarded a response in
// which it says that it is leaving. Only a restart or a freeze of the host excuses it.
func (o *oracle) checkLeaving() {
	told := o.forwardedReports(func(r *emulator.Reply) bool { return r.Leaving != "" })
	for _, a := range o.Arrivals {
		c := o.calls[a.RequestID]
		if c == nil || len(told[a.Server]) == 0 {
			continue
		}
		if at, ok := o.firstForwarded(told, a.Server, c.Host, time.Time{}, a.At, excusesLeaving); ok && c.Began.Sub(at) > o.bounds.Drain {
			o.report(PromiseDrain, a.At, "request %s reached server %s, sent %v after its host %d had forwarded that the server is leaving",
				c.ID, a.Server, c.Began.Sub(at).Round(time.Millisecond), c.Host)
		}
	}
}
