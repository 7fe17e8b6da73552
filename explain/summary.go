// SPDX-License-Identifier: MIT

package explain

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"
)

// LossCount is the number of requests of a route that had a loss in an interval.
type LossCount struct {
	Route string    `json:"route"`
	From  time.Time `json:"from"`
	Loss  Loss      `json:"loss"`
	Count int       `json:"count"`
	// Example is the ID of one of these requests, for Trace.
	Example string `json:"example"`
}

// RouteInterval counts the requests of a route in an interval.
type RouteInterval struct {
	Route string    `json:"route"`
	From  time.Time `json:"from"`
	// Requests counts all logged requests, and Good those that were answered within
	// their aim. Both are too small unless the nodes are set to log all requests:
	// usually they log only a sample of the successful ones.
	Requests int `json:"requests"`
	Good     int `json:"good"`
}

// Summary counts requests, and the losses of those that were not answered within their
// aims.
type Summary struct {
	Intervals []RouteInterval `json:"spans"`
	Losses    []LossCount     `json:"losses"`
}

// Summarize counts all requests of the log by the intervals, of a length, in which they
// arrived by their entries' clocks.
func (l *Log) Summarize(length time.Duration) Summary {
	intervals := map[intervalKey]*RouteInterval{}
	counts := map[lossKey]*LossCount{}
	for _, f := range l.finishedRequests() {
		from := f.Time.Add(-time.Duration(f.number("took_ms") * float64(time.Millisecond))).Truncate(length)
		key := intervalKey{f.text("route"), from}
		interval := intervals[key]
		if interval == nil {
			interval = &RouteInterval{Route: key.route, From: from}
			intervals[key] = interval
		}
		interval.Requests++
		loss := f.loss()
		if loss == LossNone {
			interval.Good++
			continue
		}
		count := counts[lossKey{key, loss}]
		if count == nil {
			count = &LossCount{Route: key.route, From: from, Loss: loss, Example: f.text("id")}
			counts[lossKey{key, loss}] = count
		}
		count.Count++
	}
	return sortedSummary(intervals, counts)
}

type intervalKey struct {
	route string
	from  time.Time
}

type lossKey struct {
	intervalKey
	loss Loss
}

func sortedSummary(intervals map[intervalKey]*RouteInterval, counts map[lossKey]*LossCount) Summary {
	var s Summary
	for _, interval := range intervals {
		s.Intervals = append(s.Intervals, *interval)
	}
	sort.Slice(s.Intervals, func(i, j int) bool {
		a, b := s.Intervals[i], s.Intervals[j]
		if a.Route != b.Route {
			return a.Route < b.Route
		}
		return a.From.Before(b.From)
	})
	for _, count := range counts {
		s.Losses = append(s.Losses, *count)
	}
	sort.Slice(s.Losses, func(i, j int) bool {
		a, b := s.Losses[i], s.Losses[j]
		switch {
		case a.Route != b.Route:
			return a.Route < b.Route
		case !a.From.Equal(b.From):
			return a.From.Before(b.From)
		}
		return a.Loss < b.Loss
	})
	return s
}

// finishedRequests returns all requests, with their gates' lines and the calls that they
// made. A call is recognized if the server that made it set its ID to the ID of its own
// request, a period and a suffix.
func (l *Log) finishedRequests() []finishedRequest {
	gateRequests := map[string]*Line{}
	for i := range l.gateRequests {
		if line := &l.gateRequests[i]; line.number("took_ms") > 0 {
			gateRequests[line.text("id")] = line
		}
	}
	callsMillis := map[string]float64{}
	for _, r := range l.requests {
		if parent, _, ok := strings.Cut(r.text("id"), callSeparator); ok {
			callsMillis[parent] += r.number("took_ms")
		}
	}
	all := make([]finishedRequest, len(l.requests))
	for i, r := range l.requests {
		all[i] = finishedRequest{Line: r, gateRequest: gateRequests[r.text("id")], callsMillis: callsMillis[r.text("id")]}
	}
	return all
}

// callSeparator separates the ID of a request from the suffix of a call that it made.
const callSeparator = "."

// LossesByRoute returns the total of each loss of each route over all intervals, the most
// frequent loss of a route first.
func (s Summary) LossesByRoute() []LossCount {
	type key struct {
		route string
		loss  Loss
	}
	sums := map[key]*LossCount{}
	for _, c := range s.Losses {
		k := key{c.Route, c.Loss}
		if sums[k] == nil {
			sum := c
			sum.Count = 0
			sums[k] = &sum
		}
		sums[k].Count += c.Count
	}
	all := make([]LossCount, 0, len(sums))
	for _, sum := range sums {
		all = append(all, *sum)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Route != all[j].Route {
			return all[i].Route < all[j].Route
		}
		if all[i].Count != all[j].Count {
			return all[i].Count > all[j].Count
		}
		return all[i].Loss < all[j].Loss
	})
	return all
}

// Requests returns the totals of a route over all intervals.
func (s Summary) Requests(route string) (requests, good int) {
	for _, interval := range s.Intervals {
		if interval.Route == route {
			requests += interval.Requests
			good += interval.Good
		}
	}
	return requests, good
}

// WriteSummary prints the losses of each route, then the intervals in which the share of
// requests with a loss is at least minPrintedLossPercent.
func WriteSummary(w io.Writer, s Summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "route\tloss\trequests\tshare\texample")
	for _, c := range s.LossesByRoute() {
		requests, _ := s.Requests(c.Route)
		fmt.Fprintf(t, "%s\t%s\t%d\t%.1f%%\t%s\n", c.Route, c.Loss, c.Count, percent(c.Count, requests), c.Example)
	}
	fmt.Fprintln(t, "\nroute\tfrom\trequests\tin aim\tmost lost by")
	for _, interval := range s.Intervals {
		if lost := interval.Requests - interval.Good; percent(lost, interval.Requests) < minPrintedLossPercent {
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\n", interval.Route, interval.From.Format("15:04:05.0"), interval.Requests, interval.Good, s.MainLoss(interval))
	}
	return t.Flush()
}

// minPrintedLossPercent is the share of requests with a loss, in percent, from which on
// WriteSummary prints an interval.
const minPrintedLossPercent = 10

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

// MainLoss returns the most frequent loss of an interval and its count, or a blank text if
// the interval has none.
func (s Summary) MainLoss(interval RouteInterval) string {
	var main LossCount
	for _, c := range s.Losses {
		if c.Route == interval.Route && c.From.Equal(interval.From) && c.Count > main.Count {
			main = c
		}
	}
	if main.Count == 0 {
		return ""
	}
	return fmt.Sprintf("%s (%d)", main.Loss, main.Count)
}
