// SPDX-License-Identifier: MIT

package node

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/admit"
	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/entry"
	"github.com/ryehaven/ryehaven/gate"
	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/peer"
	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/wire"
)

// apply puts a table in force. It ignores a table that is older than the one in force,
// because concurrent calls may arrive out of order.
func (n *Node) apply(s *table.Snapshot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.applied != nil && s.Generation < n.applied.Generation {
		return
	}
	n.applied = s
	n.dropRemovedRoutes(s.Table)
	n.refresh()
}

// viewChanged applies the current member records.
func (n *Node) viewChanged() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.restoreServer()
	if n.applied != nil {
		n.refresh()
	}
}

// refresh applies the table in force and the member records to the entry and the gates. It
// is called with the lock held.
func (n *Node) refresh() {
	now := time.Now()
	var records map[string]member.Record
	var self member.Record
	leaving, working := false, 1
	n.spread.View(func(v *member.View) {
		working = v.LiveCount()
		self = v.Self()
		leaving = v.Replaced() || (self.State != member.Live && !n.draining.Load())
		records = make(map[string]member.Record, v.Len())
		for _, r := range v.All() {
			records[r.Host] = r
		}
	})
	n.logMemberChanges(records)
	evacuated := n.spread.Evacuations()
	n.entry.Update(now, n.applied.Table, entry.Topology{
		Locate: func(s *table.Server) (entry.Location, bool) {
			r, ok := records[s.Host]
			return entry.Location{
				Node:     r.Address,
				Distance: n.distance(self, r),
				Leaving:  r.State != member.Live || evacuated.Has(r.Zone),
			}, ok
		},
		Announced:   func(service string) []balance.Spec { return n.announced(self, records, evacuated, service) },
		Nodes:       working,
		RetryLimits: n.retryLimits(),
	})
	n.refreshGates(now, leaving, evacuated.Has(self.Zone))
}

// distance returns the configured distance from one node to another.
func (n *Node) distance(self, other member.Record) time.Duration {
	switch {
	case self.Region != other.Region:
		return n.settings.Distance.Region
	case self.Zone != other.Zone:
		return n.settings.Distance.Zone
	}
	return 0
}

// refreshGates creates, configures and retires gates, so that there is one for each row of
// this host's servers. It is called with the lock held.
func (n *Node) refreshGates(now time.Time, hostLeaving, zoneEvacuated bool) {
	rows := map[gateKey]table.Server{}
	for _, row := range n.applied.Table.OnHost(n.settings.Host) {
		rows[gateKey{row.Service, row.Name}] = *row
	}
	if key, row, ok := n.announcedRow(); ok {
		rows[key] = row
	}
	for key, g := range n.gates {
		row, ok := rows[key]
		if !ok || row.Address != g.Address() {
			g.SetDrain(gate.DrainRow, true, now)
			n.retired = append(n.retired, g)
			n.retiredAt.add(key, now)
			delete(n.gates, key)
		}
	}
	for key, row := range rows {
		g := n.gates[key]
		if g == nil {
			g = gate.New(row, n.gateSettings(key))
			n.gates[key] = g
		}
		g.Configure(row, now)
		g.ColdAnnounced(n.registry.ColdUntil())
		g.SetCallSlots(n.callSlots(key))
		g.SetDrain(gate.DrainHost, hostLeaving, now)
		g.SetDrain(gate.DrainZone, zoneEvacuated, now)
		g.SetDrain(gate.DrainNode, n.draining.Load(), now)
	}
}

// gate returns the gate of a server; nil if there is none.
func (n *Node) gate(service, server string) *gate.Gate {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.gates[gateKey{service, server}]
}

// allGates returns all gates, including the retired ones that still have requests.
func (n *Node) allGates() []*gate.Gate {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]*gate.Gate, 0, len(n.gates)+len(n.retired))
	for _, g := range n.gates {
		all = append(all, g)
	}
	return append(all, n.retired...)
}

// dropRetired closes and removes retired gates without pending requests.
func (n *Node) dropRetired() {
	n.mu.Lock()
	defer n.mu.Unlock()
	kept := n.retired[:0]
	for _, g := range n.retired {
		if g.Pending() > 0 {
			kept = append(kept, g)
			continue
		}
		g.Close()
	}
	n.retired = kept
}

// noServerRetryAfter is the retry delay given with refusals for a server that is not at
// this node.
const noServerRetryAfter = 100 * time.Millisecond

// Request implements peer.Handler.
func (n *Node) Request(s *peer.Stream) {
	g := n.gate(s.Request.Service, s.Request.Server)
	if g == nil {
		s.Refuse(wire.ReasonNoServer, noServerRetryAfter, wire.Load{})
		return
	}
	s.HandlerData = g
	s.Route = n.routeOf(s.Request)
	origin := n.origins.ObserveOrigin(s.Route, s.Request.Caller)
	s.Origin = uint8(origin)
	s.Call = origin == admit.FromServers || (origin == admit.Unknown && s.Request.Call)
	n.requestArrived()
	g.Request(s)
}

// routeOf returns the name of the route of a request by the table in force; empty if there
// is none.
func (n *Node) routeOf(r *wire.Request) string {
	n.mu.Lock()
	applied := n.applied
	n.mu.Unlock()
	if applied == nil || r.Caller == "" {
		return ""
	}
	path, _, _ := strings.Cut(r.URI, "?")
	for _, f := range r.Header {
		if !strings.EqualFold(f.Name, fasthttp.HeaderHost) {
			continue
		}
		host, _, _ := strings.Cut(f.Value, ":")
		if route := applied.Table.Match(strings.ToLower(host), path); route != nil {
			return route.Host + route.Prefix
		}
	}
	return ""
}

// Withdrawn implements peer.Handler.
func (n *Node) Withdrawn(s *peer.Stream) {
	if g, ok := s.HandlerData.(*gate.Gate); ok {
		g.Withdrawn(s)
	}
}

// Canceled implements peer.Handler.
func (n *Node) Canceled(s *peer.Stream, _ bool) {
	if g, ok := s.HandlerData.(*gate.Gate); ok {
		g.Canceled(s)
	}
}
