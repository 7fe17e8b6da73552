// SPDX-License-Identifier: MIT

package node

import (
	"sync/atomic"
	"time"

	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/gate"
	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/metric"
	"github.com/ryehaven/ryehaven/wire"
)

// Metrics returns the metrics of the node.
func (n *Node) Metrics() metric.Set { return n.metrics }

// newMetrics returns all metrics of the node.
func (n *Node) newMetrics() metric.Set {
	var s metric.Set
	s = append(s, n.entryMetrics()...)
	s = append(s, n.gateMetrics()...)
	s = append(s, n.peerMetrics()...)
	s = append(s, n.logMetrics()...)
	return append(s, n.spreadMetrics()...)
}

func (n *Node) entryMetrics() metric.Set {
	c := &n.entry.Counters
	return metric.Set{
		metric.Count("entry_requests", "requests", "requests read from callers", &c.Requests),
		metric.Count("entry_answered", "requests", "requests answered by a backend server", &c.Answered),
		metric.Count("entry_not_run", "requests", "requests refused as not run", &c.NotRun),
		metric.Count("entry_unknown", "requests", "requests whose outcome is unknown", &c.Unknown),
		metric.Count("entry_bad_requests", "requests", "invalid requests", &c.BadRequests),
		metric.Count("entry_unknown_keys", "requests", "requests rejected because they have no key or one that no tenant holds", &c.UnknownKeys),
		metric.Count("entry_refused_cold", "requests", "requests not sent because the servers are cold and have no headroom", &c.RefusedCold),
		metric.Count("entry_refused_rate_limit", "requests", "requests not sent because the servers report rate limits and have no headroom", &c.RefusedRateLimit),
		{Name: "entry_leaving_servers", Unit: "servers", Meaning: "backend servers that get no requests from this entry because they reported in a response that they were leaving", Value: n.entry.LeavingServers},
		metric.Count("entry_over_quota", "requests", "requests refused because their tenant is above its quota", &c.OverQuota),
		metric.Count("quota_asked", "questions", "queries to the owners of tenants' quotas", &n.quotas.Counters.Queries),
		metric.Count("quota_unanswered", "questions", "such queries without a reply", &n.quotas.Counters.Unanswered),
		metric.Count("quota_lent", "requests", "requests admitted with tokens borrowed from the owner in another availability zone", &n.quotas.Counters.Lent),
		metric.Count("entry_attempts", "requests", "requests sent to gates", &c.Attempts),
		metric.Count("entry_retries", "requests", "attempts after the first", &c.Retries),
		metric.Count("entry_nodes_awaited", "requests", "requests continued once a node responded again, after no node could be reached", &c.WaitedForNode),
		metric.Count("entry_retries_denied", "requests", "attempts that the retry budget did not allow", &c.RetriesDenied),
		metric.Count("entry_hedges", "requests", "second attempts sent while the first was unanswered", &c.Hedges),
		metric.Count("entry_hedges_won", "requests", "requests that the second attempt answered first", &c.HedgesWon),
		metric.Count("entry_caller_gone", "requests", "requests whose caller closed its connection", &c.CallerGone),
		metric.Count("entry_awaited_speed", "requests", "requests that waited for the end of a server's slow period", &c.WaitedForSpeed),
		metric.Count("entry_blamed", "requests", "requests not sent, or not sent again, because servers had exited while running them", &c.RefusedBlamed),
		metric.Count("entry_returned", "requests", "requests detected as retries by their callers", &c.CallerRetries),
		metric.Count("entry_returned_age", "ms", "sum of the times since these callers first sent the request", &c.CallerRetryAge),
		metric.Count("entry_calls", "requests", "requests identified as calls made by the backend server on this host", &c.Calls),
		metric.Count("entry_calls_lost", "requests", "such calls without an answer", &c.CallsLost),
		metric.Count("entry_no_room_for_calls", "requests", "requests refused because there is no headroom for the calls that they would make", &c.NoHeadroomForCalls),
		{Name: "calls_known", Unit: "pairs", Meaning: "known pairs of a route and a route that its requests call", Value: func() int64 { return int64(len(n.calls.Records())) }},
		{Name: "calls_unexplained", Unit: "calls", Meaning: "calls that began while the server was running no request", Value: n.calls.UnattributedCalls},
		{Name: "calls_records_dropped", Unit: "records", Meaning: "records of calls from other nodes that could not be used", Value: n.calls.DroppedRecords},
		metric.Count("entry_places", "requests", "requests refused with a retry time at which a retry takes precedence", &c.RetryTimesGiven),
		metric.Count("entry_places_taken", "requests", "requests retried at that time that can still be answered in time", &c.RetryTimesKept),
		metric.Count("entry_turned_away", "requests", "requests refused as not run because the node is stopping", &c.RefusedStopping),
		metric.Count("accept_failures", "connections", "connections that could not be accepted for lack of file descriptors", &n.acceptFailures),
		metric.Count("suspensions", "suspensions", "detected suspensions of the host", &n.suspensions),
		metric.Count("entry_connections", "connections", "open connections from callers", &n.openConns),
	}
}

func (n *Node) logMetrics() metric.Set {
	recorderCounter := func(counter func(r *event.Recorder) *atomic.Int64) func() int64 {
		return func() int64 {
			if n.recorder == nil {
				return 0
			}
			return counter(n.recorder).Load()
		}
	}
	return metric.Set{
		{Name: "log_events", Unit: "lines", Meaning: "decision log lines written", Value: recorderCounter(func(r *event.Recorder) *atomic.Int64 { return &r.Written })},
		{Name: "log_events_dropped", Unit: "lines", Meaning: "decision log lines dropped because of the rate limit", Value: recorderCounter(func(r *event.Recorder) *atomic.Int64 { return &r.Dropped })},
	}
}

// gateMetric returns a metric that is the sum of one counter over all gates. Counts of
// gates that were closed are not included.
func (n *Node) gateMetric(name, unit, meaning string, counter func(c *gate.Counters) *atomic.Int64) metric.Metric {
	return metric.Metric{Name: name, Unit: unit, Meaning: meaning, Value: func() int64 {
		sum := int64(0)
		for _, g := range n.allGates() {
			sum += counter(&g.Counters).Load()
		}
		return sum
	}}
}

func (n *Node) gateMetrics() metric.Set {
	type counters = gate.Counters
	s := metric.Set{
		n.gateMetric("gate_received", "requests", "requests received from entries", func(c *counters) *atomic.Int64 { return &c.Received }),
		n.gateMetric("gate_dispatched", "requests", "requests sent to the backend server", func(c *counters) *atomic.Int64 { return &c.Dispatched }),
		n.gateMetric("gate_answered", "requests", "requests with a complete answer", func(c *counters) *atomic.Int64 { return &c.Answered }),
		n.gateMetric("gate_refused", "requests", "requests refused as not run", func(c *counters) *atomic.Int64 { return &c.Refused }),
		n.gateMetric("gate_reset", "requests", "requests sent to the backend server without a complete answer", func(c *counters) *atomic.Int64 { return &c.Reset }),
		n.gateMetric("gate_evicted", "requests", "queued requests evicted in favor of more urgent ones", func(c *counters) *atomic.Int64 { return &c.Evicted }),
		n.gateMetric("gate_measured", "calls", "probes of the backend server's load", func(c *counters) *atomic.Int64 { return &c.Probes }),
		n.gateMetric("gate_bad_reports", "answers", "answers to probes whose cold time could not be parsed", func(c *counters) *atomic.Int64 { return &c.BadReports }),
		n.gateMetric("gate_rate_limits", "limits", "times that the backend server began to report a limit on the rate of its requests", func(c *counters) *atomic.Int64 { return &c.RateLimits }),
		n.gateMetric("gate_bad_rate_limits", "answers", "answers whose rate limit could not be parsed", func(c *counters) *atomic.Int64 { return &c.BadRateLimits }),
		n.gateMetric("gate_checked", "calls", "probes of the backend server's speed before a request was sent to it", func(c *counters) *atomic.Int64 { return &c.Checks }),
		n.gateMetric("gate_mute", "connections", "connections on which the backend server did not respond while it answered on a new one", func(c *counters) *atomic.Int64 { return &c.UnresponsiveConnections }),
		n.gateMetric("gate_silent", "questions", "probes that the backend server answered neither on a kept nor on a new connection", func(c *counters) *atomic.Int64 { return &c.UnansweredProbes }),
		n.gateMetric("gate_severed", "requests", "requests on stalled connections to the backend server whose answers were no longer awaited", func(c *counters) *atomic.Int64 { return &c.Lost }),
		n.gateMetric("gate_server_ended", "ends", "exits of the backend server that left requests unanswered", func(c *counters) *atomic.Int64 { return &c.ServerExits }),
		n.gateMetric("gate_measure_failed", "calls", "probes of the backend server's load without an answer", func(c *counters) *atomic.Int64 { return &c.FailedProbes }),
	}
	servers := func(is func(g *gate.Gate) bool) func() int64 {
		return func() int64 {
			count := int64(0)
			for _, g := range n.allGates() {
				if is(g) {
					count++
				}
			}
			return count
		}
	}
	s = append(s,
		metric.Metric{Name: "gate_rate_limited", Unit: "servers", Meaning: "backend servers that currently report a limit on the rate of their requests", Value: servers(func(g *gate.Gate) bool { _, limited := g.RateLimit(); return limited })},
		metric.Metric{Name: "gate_leaving", Unit: "servers", Meaning: "backend servers that have reported in a response that they are leaving", Value: servers((*gate.Gate).ServerLeaving)},
	)
	priorityLimits := func(part func(reserved, refused int) int) func() int64 {
		return func() int64 {
			sum, now := 0, time.Now()
			for _, g := range n.allGates() {
				sum += part(g.PriorityLimits(now))
			}
			return int64(sum)
		}
	}
	s = append(s,
		metric.Metric{Name: "gate_slots_kept", Unit: "slots", Meaning: "slots currently reserved for calls, which callers' requests of the lowest priority may not use", Value: priorityLimits(func(reserved, _ int) int { return reserved })},
		metric.Metric{Name: "gate_levels_away", Unit: "levels", Meaning: "priority levels that are currently refused", Value: priorityLimits(func(_, refused int) int { return refused })},
	)
	for reason := wire.ReasonOverload; reason < wire.ReasonCount; reason++ {
		name := "gate_refused_" + reason.String()
		s = append(s, n.gateMetric(name, "requests", "requests refused with reason "+reason.String(),
			func(c *counters) *atomic.Int64 { return &c.RefusedBy[reason] }))
	}
	return s
}

func (n *Node) peerMetrics() metric.Set {
	c := &n.counters
	return metric.Set{
		metric.Count("peer_control_sent", "bytes", "queries, replies, notices, pings and pongs sent", &c.ControlSent),
		metric.Count("peer_control_received", "bytes", "queries, replies, notices, pings and pongs received", &c.ControlReceived),
		metric.Count("peer_request_sent", "bytes", "request frames sent", &c.RequestSent),
		metric.Count("peer_request_received", "bytes", "request frames received", &c.RequestReceived),
		metric.Count("peer_late_frames", "frames", "frames dropped because their request had ended", &c.LateFrames),
		metric.Count("peer_undecodable", "frames", "requests and answers between nodes that could not be decoded", &c.Undecodable),
		metric.Count("peer_wrong_keys", "connections", "connections whose peer did not prove that it has the shared key", &c.WrongKeys),
		metric.Count("peer_dials", "connections", "connections opened to other nodes", &c.Dials),
		metric.Count("peer_dial_failures", "connections", "connections to other nodes that could not be opened", &c.DialFailures),
		metric.Count("peer_replaced", "connections", "connections that stalled while their node responded on another one", &c.Replaced),
		metric.Count("peer_silent_nodes", "events", "times that a node did not respond on a second connection opened in place of a stalled one", &c.UnresponsiveNodes),
		metric.Count("peer_silent_requests", "requests", "requests in flight on connections that were replaced", &c.StalledRequests),
		metric.Count("peer_moved", "requests", "requests transferred from a stalled connection to another one", &c.Moved),
		metric.Count("peer_not_arrived", "requests", "requests sent on a stalled connection that did not arrive and so were not run", &c.NotArrived),
		metric.Count("peer_moved_lost", "requests", "requests in flight on a stalled connection whose outcome the gate could not report", &c.MovedLost),
		metric.Count("peer_suspicions", "events", "times that a node with outstanding work was suspected because it sent no data", &c.Suspicions),
		metric.Count("peer_notices", "messages", "notices of stalls, slowness and headroom sent to entries", &n.noticesSent),
		metric.Count("peer_accepted", "connections", "open connections accepted from other nodes", &c.Accepted),
		metric.Count("peer_dialed", "connections", "open connections to other nodes", &c.Dialed),
	}
}

func (n *Node) spreadMetrics() metric.Set {
	c := &n.spread.Counters
	return metric.Set{
		metric.Count("table_taken", "tables", "tables put in force", &n.holder.AcceptedCount),
		metric.Count("table_older", "tables", "tables rejected because they were older than the one in force", &n.holder.OlderCount),
		metric.Count("table_clash", "tables", "tables rejected because their content differs from the table in force of the same generation", &n.holder.ConflictCount),
		metric.Count("table_bad", "tables", "tables that failed validation", &c.BadTables),
		metric.Count("table_pulled", "tables", "tables fetched from other nodes", &c.TablesPulled),
		metric.Count("table_served", "tables", "tables sent to other nodes", &c.TablesServed),
		metric.Count("table_deferred", "tables", "tables not sent because the byte budget was used up", &c.TablesDeferred),
		metric.Count("spread_exchanges", "exchanges", "digests sent to other nodes", &c.Exchanges),
		metric.Count("spread_exchange_failures", "exchanges", "digests without a reply", &c.ExchangeFailures),
		metric.Count("spread_monitored_lost", "times", "times that a node monitored by this one could not be reached", &c.MonitoredUnreachable),
		metric.Count("spread_monitored_found", "times", "times that such a node could be reached again", &c.MonitoredReachable),
		metric.Count("spread_records", "records", "member records received", &c.RecordsReceived),
		metric.Count("spread_near_bytes", "bytes", "queries and replies about member records sent within the availability zone", &c.NearBytes),
		metric.Count("spread_far_bytes", "bytes", "queries and replies about member records sent to other zones", &c.FarBytes),
		metric.Count("platform_reads", "calls", "reads and watches at the platform", &c.PlatformReads),
		metric.Count("evacuations_taken", "changes", "changes of the set of evacuated availability zones", &c.EvacuationChanges),
		metric.Count("evacuations_bad", "states", "evacuation states that failed validation", &c.BadEvacuations),
		metric.Count("spread_store_eras", "times", "times that the store was replaced by an older copy of itself", &c.StoreEras),
		metric.Count("spread_hosts_restored", "hosts", "hosts missing from the store that were added to its list again", &c.HostsRestored),
		metric.Count("spread_entries_left_out", "readings", "reads of the list of hosts that skipped unusable entries", &c.EntriesLeftOut),
		metric.Count("platform_errors", "calls", "reads and watches that failed", &c.PlatformErrors),
		metric.Count("watch_ended_by_limit", "calls", "watches at the platform without an answer within their timeout", &c.WatchTimeouts),
		metric.Count("watch_ended_by_keep_alive", "calls", "watches whose connection failed TCP keep-alive", &c.WatchKeepAliveFailures),
		metric.Count("watch_ended_by_error", "calls", "watches that ended with another error", &c.WatchErrors),
		metric.Count("watch_abandoned", "calls", "watches restarted because their connection might have stalled", &c.WatchesAbandoned),
		metric.Count("platform_checks", "calls", "probes of connections to the platform, each at the cost of a tenth of a call", &c.Probes),
		metric.Count("platform_silences", "events", "probes that were not answered in time", &c.ProbeTimeouts),
		{Name: "table_confirmed_ms", Unit: "milliseconds", Meaning: "time since any node known to this one confirmed the table with the platform; -1 for never", Value: func() int64 {
			age, ok := n.spread.ConfirmedAge(time.Now())
			if !ok {
				return -1
			}
			return age.Milliseconds()
		}},
		{Name: "table_generation", Unit: "generation", Meaning: "generation of the table in force", Value: func() int64 {
			generation, _ := n.holder.Generation()
			return int64(generation)
		}},
		{Name: "member_nodes", Unit: "nodes", Meaning: "known nodes that are not gone", Value: func() int64 {
			nodes := 0
			n.spread.View(func(v *member.View) { nodes = v.Len() })
			return int64(nodes)
		}},
	}
}
