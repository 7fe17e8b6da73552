// SPDX-License-Identifier: MIT

package node

import (
	"encoding/json"
	"expvar"
	"sort"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/metric"
	"github.com/ryehaven/ryehaven/query"
)

// handleAdmin serves operators. All requests are read-only.
func (n *Node) handleAdmin(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case query.HealthPath:
		ctx.SetBodyString("ok\n")
	case query.ReadyPath:
		n.handleReady(ctx)
	case query.MetricsPath:
		n.handleMetrics(ctx)
	case query.StatusPath:
		writeJSON(ctx, n.Status())
	case query.BurnPath:
		writeJSON(ctx, n.gatherBurn(time.Now()))
	case query.TenantsPath:
		writeJSON(ctx, n.gatherTenants(time.Now()))
	case query.TablePath:
		n.handleTable(ctx)
	default:
		ctx.Error("no such path\n", fasthttp.StatusNotFound)
	}
}

// handleMetricsOnly serves metrics and nothing else.
func (n *Node) handleMetricsOnly(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != query.MetricsPath {
		ctx.Error("no such path\n", fasthttp.StatusNotFound)
		return
	}
	n.handleMetrics(ctx)
}

func (n *Node) handleMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/json; charset=utf-8")
	values := n.metrics.Map()
	values.Set("latency_by_route", expvar.Func(func() any { return n.entry.Latencies() }))
	ctx.SetBodyString(metric.Render("ryehaven", values))
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (n *Node) handleReady(ctx *fasthttp.RequestCtx) {
	switch {
	case n.stopping.Load():
		ctx.Error("stopping\n", fasthttp.StatusServiceUnavailable)
	case !n.entry.Ready():
		ctx.Error("no table yet\n", fasthttp.StatusServiceUnavailable)
	default:
		ctx.SetBodyString("ready\n")
	}
}

func (n *Node) handleTable(ctx *fasthttp.RequestCtx) {
	current := n.holder.Current()
	if current == nil {
		ctx.Error("no table yet\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetContentType("text/csv; charset=utf-8")
	ctx.SetBody(current.Text)
}

// Status returns the node's status for operators.
func (n *Node) Status() query.Status {
	now := time.Now()
	s := query.Status{ConfirmedMillis: -1}
	s.Generation, s.Hash = n.holder.Generation()
	if age, ok := n.spread.ConfirmedAge(now); ok {
		s.ConfirmedMillis = age.Milliseconds()
	}
	n.spread.View(func(v *member.View) {
		self := v.Self()
		s.Host, s.Zone, s.Region = self.Host, self.Zone, self.Region
		s.Incarnation, s.State = self.Incarnation, self.State.String()
		s.Nodes = v.Len()
		s.Unreachable = v.BackedOff(now)
		for _, r := range v.All() {
			s.Members = append(s.Members, memberStatus(r))
		}
	})
	s.Evacuated = n.spread.Evacuations().ZoneNames()
	s.Gates = n.gateStatus()
	for _, c := range n.blame.List(now) {
		s.Blamed = append(s.Blamed, query.Blamed{Fingerprint: c.Fingerprint.String(), Verdict: c.Verdict.String(), Ends: c.Exits, ForMillis: c.BlockedFor.Milliseconds()})
	}
	return s
}

func memberStatus(r member.Record) query.Member {
	m := query.Member{Host: r.Host, Zone: r.Zone, Address: r.Address, State: r.State.String()}
	if r.Server.ID != "" {
		m.Server, m.Service, m.Slots = r.Server.ID, r.Server.Service, r.Server.Slots
		m.ServerState = r.Server.State.String()
	}
	return m
}

func (n *Node) gateStatus() []query.Gate {
	n.mu.Lock()
	defer n.mu.Unlock()
	gates := make([]query.Gate, 0, len(n.gates))
	for key, g := range n.gates {
		load := g.Load()
		status := query.Gate{
			Service:       key.service,
			Server:        key.server,
			InFlight:      load.InFlight,
			Queued:        load.Queued,
			Limit:         load.Limit,
			ServiceMicros: load.ServiceMicros,
			Slowness:      load.Slowness,
			Draining:      load.Draining,
			ServerLeaving: g.ServerLeaving(),
		}
		if perSecond, limited := g.RateLimit(); limited {
			status.RateLimit = &perSecond
		}
		gates = append(gates, status)
	}
	sort.Slice(gates, func(i, j int) bool { return gates[i].Server < gates[j].Server })
	return gates
}
