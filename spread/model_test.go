// SPDX-License-Identifier: MIT

package spread

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/ryehaven/ryehaven/announce"
	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/table"
)

// modelNode is one node of the model: the state of its process, without a network.
type modelNode struct {
	name     string
	address  string
	view     *member.View
	holder   *Holder
	registry announce.Registry
	// highest is the highest generation that was in force in this incarnation.
	highest table.Generation
}

// model is a site whose messages are lost or delayed, whose processes crash and whose clocks
// jump.
type model struct {
	now   time.Time
	nodes []*modelNode
	// acknowledgedLeaves are the backend servers whose leaving was acknowledged.
	acknowledgedLeaves map[string]bool
	// servers is the current backend server of each host, with its number of announcements.
	servers map[string]*announce.Announcement
	// delayed are messages that have not arrived yet.
	delayed []delayedMessage
	newest  table.Generation
	tables  map[table.Generation]*table.Snapshot
}

type delayedMessage struct {
	to      int
	records []member.Record
	table   *table.Snapshot
}

func newModel(t *rapid.T) *model {
	m := &model{
		now:                time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		acknowledgedLeaves: map[string]bool{},
		servers:            map[string]*announce.Announcement{},
		tables:             map[table.Generation]*table.Snapshot{},
	}
	for i := range rapid.IntRange(2, 5).Draw(t, "nodes") {
		n := &modelNode{name: fmt.Sprint("h", i), address: fmt.Sprint("a", i)}
		m.nodes = append(m.nodes, n)
		m.servers[n.name] = &announce.Announcement{ID: n.name + "-0", Service: "s", Slots: 4}
		m.restart(n, uint64(m.now.UnixMilli()))
	}
	return m
}

// restart starts a new incarnation of a node, which knows nothing.
func (m *model) restart(n *modelNode, incarnation uint64) {
	n.view = member.NewView(member.Record{Host: n.name, Incarnation: incarnation, Address: n.address})
	n.holder = &Holder{Log: zap.NewNop()}
	n.registry = announce.Registry{}
	n.highest = 0
}

// syncServer updates the node's record from its view and registry, as package node does.
func (m *model) syncServer(n *modelNode) {
	if n.registry.Restore(n.view.PastRecord().Server) || n.registry.Current().ID != "" {
		n.view.SetServer(n.registry.Current())
	}
}

// exchange sends one node's records and table to another. Callers call it in both directions,
// as in a real exchange.
func (m *model) exchange(from, to int, lost, late bool) {
	a, b := m.nodes[from], m.nodes[to]
	buckets := a.view.Digest().Differing(b.view.Digest().Truncate())
	records := a.view.Compare(buckets, b.view.VersionEntries(buckets), 0, 100).Records
	if previous, ok := a.view.PastRecordOf(b.name); ok {
		records = append(records, previous)
	}
	message := delayedMessage{to: to, records: records, table: a.holder.Current()}
	switch {
	case lost:
	case late:
		m.delayed = append(m.delayed, message)
	default:
		m.deliver(message)
	}
}

func (m *model) deliver(message delayedMessage) {
	n := m.nodes[message.to]
	n.view.Merge(m.now, message.records)
	if message.table != nil {
		n.holder.Offer(message.table, "node")
	}
	m.syncServer(n)
}

func (m *model) step(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
	i := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")
	n := m.nodes[i]
	switch rapid.SampledFrom([]string{"exchange", "exchange", "exchange", "late", "announce", "drain", "leave", "replace", "kill", "configure", "old"}).Draw(t, "step") {
	case "exchange":
		j := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "other")
		lost, late := rapid.IntRange(0, 4).Draw(t, "lost") == 0, rapid.IntRange(0, 4).Draw(t, "late") == 0
		if i != j {
			m.exchange(i, j, lost, late)
			m.exchange(j, i, lost, late)
		}
	case "late":
		if len(m.delayed) > 0 {
			k := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "which")
			m.deliver(m.delayed[k])
		}
	case "announce":
		m.announce(n, false)
	case "drain":
		m.announce(n, true)
		m.acknowledgedLeaves[m.servers[n.name].ID] = true
	case "leave":
		n.registry.Leave(member.ServerIncarnation{ID: m.servers[n.name].ID})
		m.syncServer(n)
		m.acknowledgedLeaves[m.servers[n.name].ID] = true
	case "replace":
		s := m.servers[n.name]
		m.servers[n.name] = &announce.Announcement{ID: s.ID + "+", Service: "s", Slots: 4}
		m.announce(n, false)
	case "kill":
		jump := rapid.IntRange(-5000, 5000).Draw(t, "clock")
		m.restart(n, uint64(m.now.UnixMilli()+int64(jump)))
	case "configure":
		m.newest += table.Generation(rapid.IntRange(1, 3).Draw(t, "serial"))
		m.offer(n, m.newest)
	case "old":
		if m.newest > 1 {
			m.offer(n, 1+table.Generation(rapid.IntRange(0, int(m.newest)-1).Draw(t, "older")))
		}
	}
	m.check(t)
}

func (m *model) announce(n *modelNode, draining bool) {
	s := m.servers[n.name]
	s.Seq++
	a := *s
	a.Draining = draining
	_, _ = n.registry.Announce(m.now, a)
	m.syncServer(n)
}

func (m *model) offer(n *modelNode, g table.Generation) {
	s := m.tables[g]
	if s == nil {
		text := fmt.Sprintf("# %d\nservice,server,host,zone,address,state\ns,a,h,z,127.0.0.1:1,\n", g)
		s, _ = table.NewSnapshot(g, "t", []byte(text)) // The text is a valid table.
		m.tables[g] = s
	}
	n.holder.Offer(s, "store")
}

// check asserts the invariants that hold at any moment.
func (m *model) check(t *rapid.T) {
	for _, n := range m.nodes {
		g, _ := n.holder.Generation()
		if g < n.highest {
			t.Fatalf("%s went back from %d to %d", n.name, n.highest, g)
		}
		n.highest = g
	}
}

// converge exchanges messages until nothing changes any more.
func (m *model) converge() {
	m.delayed = nil
	for range 3 * len(m.nodes) {
		for i := range m.nodes {
			for j := range m.nodes {
				if i != j {
					m.exchange(i, j, false, false)
				}
			}
		}
	}
}

// Whatever is lost, delayed or crashes, no node's table goes back to an older generation
// within an incarnation. Once all messages are exchanged, all nodes agree, and no node takes a
// backend server for live that had left and whose leaving any node remembers.
func TestNodesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			m.step(t)
		}
		remembered := map[string]bool{}
		for _, n := range m.nodes {
			records := n.view.All()
			for _, other := range m.nodes {
				past, _ := n.view.PastRecordOf(other.name)
				records = append(records, past)
			}
			for _, r := range records {
				if m.acknowledgedLeaves[r.Server.ID] && r.Server.State != member.Live {
					remembered[r.Server.ID] = true
				}
			}
		}
		m.converge()
		first := m.nodes[0]
		generation, _ := first.holder.Generation()
		for _, n := range m.nodes {
			if n.view.Digest() != first.view.Digest() {
				t.Fatalf("%s and %s differ:\n%v\n%v", first.name, n.name, first.view.All(), n.view.All())
			}
			if g, _ := n.holder.Generation(); g != generation {
				t.Fatalf("%s has table %d, %s has %d", first.name, generation, n.name, g)
			}
			for _, r := range n.view.All() {
				if remembered[r.Server.ID] && r.Server.State == member.Live {
					t.Fatalf("%s takes %s for live, which left", n.name, r.Server.ID)
				}
			}
		}
	})
}
