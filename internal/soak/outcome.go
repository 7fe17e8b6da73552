// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// watchAfterStall is how long requests are watched after Bounds.StallWindow.
	watchAfterStall = 3 * time.Second
	// minShareRequests is the number of requests below which a share is not checked.
	minShareRequests = 50
	// firstSecond is the time after a stall for which a share of its own is checked.
	firstSecond = time.Second
	// secondsBeforeStall is the number of seconds before a stall that the report shows.
	secondsBeforeStall = 1
)

// Share is the number of requests sent and of those served in time.
type Share struct{ Sent, Served int }

func (s Share) fraction() float64 { return float64(s.Served) / float64(max(s.Sent, 1)) }

// String returns the share as a percentage.
func (s Share) String() string {
	if s.Sent == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f%%", 100*s.fraction())
}

// StallOutcome says how many of the requests sent around a stall of all hosts were served.
type StallOutcome struct {
	Stall
	// Before covers the second before the stall. Seconds covers each second from the stall to
	// the next one.
	Before  Share
	Seconds []Share
	// During covers the requests sent within Bounds.StallWindow, and After those sent in the
	// period watchAfterStall that follows.
	During, After Share
	// DuringRepeatable covers the requests of During that may run more than once, and
	// FirstRepeatable those of them that were sent within firstSecond.
	DuringRepeatable, FirstRepeatable Share
	// Unserved counts the requests of FirstRepeatable that were not served, by their result.
	Unserved map[string]int
	// Length is the time to the next stall or to the end of watchAfterStall.
	Length time.Duration `json:"Whole"`
	// DuringAlone and AfterAlone are set if there was no other disturbance in these periods
	// that reduces the share of requests served.
	DuringAlone, AfterAlone bool
}

// String describes the outcome in one line.
func (o StallOutcome) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s stall of all hosts' %d connections to %v (%s): served %v in the second before, then",
		o.At.Format("15:04:05.000"), o.Connections, o.Links, o.Direction, o.Before)
	for _, s := range o.Seconds {
		fmt.Fprintf(&b, " %v", s)
	}
	fmt.Fprintf(&b, " per second; %v of %d during (%v of the repeatable, %v of %d in the first second)%s, %v of %d after%s",
		o.During, o.During.Sent, o.DuringRepeatable, o.FirstRepeatable, o.FirstRepeatable.Sent, disturbedSuffix(o.DuringAlone), o.After, o.After.Sent, disturbedSuffix(o.AfterAlone))
	for _, result := range slices.Sorted(maps.Keys(o.Unserved)) {
		fmt.Fprintf(&b, "; %d %q", o.Unserved[result], result)
	}
	return b.String()
}

// disturbedSuffix returns a remark for a period with other disturbances.
func disturbedSuffix(undisturbed bool) string {
	if undisturbed {
		return ""
	}
	return " (with other disturbances)"
}

// StallOutcomes returns the outcome of every stall of all hosts.
func StallOutcomes(h History, b Bounds) []StallOutcome {
	var list []StallOutcome
	for i, stall := range h.Stalls {
		end := stall.At.Add(b.StallWindow + watchAfterStall)
		if i+1 < len(h.Stalls) && h.Stalls[i+1].At.Before(end) {
			end = h.Stalls[i+1].At
		}
		list = append(list, stallOutcome(h, b, stall, end))
	}
	return list
}

// stallOutcome returns the outcome of a stall for the requests sent before end.
func stallOutcome(h History, b Bounds, stall Stall, end time.Time) StallOutcome {
	o := StallOutcome{Stall: stall, Length: end.Sub(stall.At), Seconds: make([]Share, int((end.Sub(stall.At)+time.Second-1)/time.Second))}
	windowEnd := stall.At.Add(b.StallWindow)
	for i := range h.Calls {
		c := &h.Calls[i]
		if !shouldBeServed(c) || !c.Sent.Before(end) || c.Sent.Before(stall.At.Add(-secondsBeforeStall*time.Second)) {
			continue
		}
		since := c.Sent.Sub(stall.At)
		if since < 0 {
			o.Before.count(c)
			continue
		}
		o.Seconds[int(since/time.Second)].count(c)
		if !c.Sent.Before(windowEnd) {
			o.After.count(c)
			continue
		}
		o.During.count(c)
		if !c.Repeatable {
			continue
		}
		o.DuringRepeatable.count(c)
		if since < firstSecond {
			o.FirstRepeatable.count(c)
			o.countUnserved(c)
		}
	}
	o.DuringAlone = h.hasFullCapacity(stall.At.Add(-b.Undisturbed), minTime(windowEnd, end))
	o.AfterAlone = h.hasFullCapacity(stall.At, end)
	return o
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// count adds a request to the share.
func (s *Share) count(c *Call) {
	s.Sent++
	if c.served() {
		s.Served++
	}
}

// served reports whether the request was answered within its deadline.
func (c *Call) served() bool {
	return c.Reply.Err == nil && c.Reply.Status == fasthttp.StatusOK && c.Done.Sub(c.Sent) <= deadlineMs*time.Millisecond
}

// countUnserved counts a request that was not served by its result.
func (o *StallOutcome) countUnserved(c *Call) {
	if c.served() {
		return
	}
	if o.Unserved == nil {
		o.Unserved = map[string]int{}
	}
	o.Unserved[c.result()]++
}

// result describes how a request ended, without what differs between requests.
func (c *Call) result() string {
	if c.Reply.Err != nil {
		return "no answer"
	}
	detail, _, _ := strings.Cut(strings.TrimSpace(c.Reply.Body), ",")
	if c.Reply.Status == fasthttp.StatusOK {
		detail = "late"
	}
	return fmt.Sprintf("%d %s", c.Reply.Status, detail)
}

// shouldBeServed reports whether a request counts towards a share: a node received it, its
// caller waited, every version allows it, and its tenant does not exceed its quota.
func shouldBeServed(c *Call) bool {
	return !c.Sent.IsZero() && !c.Abandoned && c.SinceVersion == 0 && !c.MayBeRejected && c.Key != hotKey
}

// hasFullCapacity reports whether a period had no disturbances, besides stalls of all hosts,
// that reduce the share of requests served. Planned work does not reduce it as long as every
// service keeps a host.
func (h *History) hasFullCapacity(from, to time.Time) bool {
	disturbed := map[int]bool{}
	for _, list := range [][]Disturbance{h.Disturbances, h.ReducedCapacity} {
		for _, d := range list {
			switch {
			case d.Kind == StallAllConnections || !d.From.Before(to) || !d.To.After(from):
			case !isPlanned(d.Kind):
				return false
			case d.Kind == Evacuate:
				h.addHostsOfZone(disturbed, h.Zones[d.Host])
			default:
				disturbed[d.Host] = true
			}
		}
	}
	return h.everyServiceKeepsHost(disturbed)
}

// addHostsOfZone adds the hosts of a zone to a set.
func (h *History) addHostsOfZone(hosts map[int]bool, zone string) {
	for host, z := range h.Zones {
		if z == zone {
			hosts[host] = true
		}
	}
}

// everyServiceKeepsHost reports whether every service has a host besides the given ones.
func (h *History) everyServiceKeepsHost(without map[int]bool) bool {
	has, left := map[string]bool{}, map[string]bool{}
	for host, service := range h.Services {
		has[service] = true
		left[service] = left[service] || !without[host]
	}
	for service := range has {
		if !left[service] {
			return false
		}
	}
	return true
}

// checkService checks that the shares served during and after stalls reach their minimum.
func (o *oracle) checkService() {
	for _, a := range StallOutcomes(o.History, o.bounds) {
		if a.DuringAlone {
			o.checkShare(a, "shortly", a.During, o.bounds.ServedDuring)
			o.checkRepeatable(a)
		}
		if a.AfterAlone {
			o.checkShare(a, "some time", a.After, o.bounds.ServedAfter)
		}
	}
}

// checkRepeatable checks the shares of repeatable requests. A share is left out if the next
// stall came before its period ended, since then it would cover little more than the time in
// which nodes notice the stall.
func (o *oracle) checkRepeatable(a StallOutcome) {
	if a.Length >= firstSecond {
		o.checkShare(a, "within a second (repeatable only)", a.FirstRepeatable, o.bounds.ServedFirst)
	}
	if a.Length >= o.bounds.StallWindow {
		o.checkShare(a, "shortly (repeatable only)", a.DuringRepeatable, o.bounds.ServedRepeatable)
	}
}

// checkShare checks that a share reaches its minimum.
func (o *oracle) checkShare(a StallOutcome, when string, s Share, minimum float64) {
	if s.Sent >= minShareRequests && s.fraction() < minimum {
		o.report(PromiseService, a.At, "of %d requests sent %s after all connections to %v stalled (%s) %d were served, the minimum is %.0f%%",
			s.Sent, when, a.Links, a.Direction, s.Served, 100*minimum)
	}
}
