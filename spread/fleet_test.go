// SPDX-License-Identifier: MIT

package spread

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/ryehaven/ryehaven/calls"
	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/peer"
	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/wire"
)

// fleet is a set of nodes in one process that exchange messages in synthetic time.
type fleet struct {
	nodes []*fleetNode

	mu        sync.Mutex
	byAddress map[string]*fleetNode
	// partitioned reports whether two zones can't reach each other.
	partitioned func(a, b string) bool
	// dead are hosts that can't be reached.
	dead map[string]bool
	// cutOff are hosts that reach only each other. With silentCut, queries to others are not
	// answered; else no connection to them can be made.
	cutOff    map[string]bool
	silentCut bool
	// connected is the incarnation to which each connection was last opened; nil if
	// connections are not tracked.
	connected map[fleetConnection]*fleetNode
}

type fleetNode struct {
	fleet  *fleet
	spread *Spread
	record member.Record
	cancel context.CancelFunc
}

// newFleet returns nodes that know each other's addresses, as from the store's list, and
// nothing else.
func newFleet(nodes, zones int) *fleet {
	f := &fleet{byAddress: map[string]*fleetNode{}, dead: map[string]bool{}}
	for i := range nodes {
		f.add(i, 100, zones)
	}
	for _, n := range f.nodes {
		f.listOthers(n)
	}
	return f
}

func (f *fleet) add(i int, incarnation uint64, zones int) *fleetNode {
	n := &fleetNode{fleet: f, record: member.Record{
		Host:        fmt.Sprint("host-", i),
		Incarnation: incarnation,
		Address:     fmt.Sprint("10.0.0.", i, ":7000"),
		Zone:        fmt.Sprint("zone-", i%zones),
		Region:      "r",
	}}
	settings := Settings{Interval: time.Second, QueryTimeout: 500 * time.Millisecond, TableBytesPerSecond: 1 << 20, StaleAfter: time.Hour, Blame: new(countingBlame), Calls: new(calls.Graph)}
	n.spread = New(settings, zap.NewNop(), &Holder{Log: zap.NewNop()}, member.NewView(n.record), &peer.Dialer{Counters: new(peer.Counters)}, nil, nil)
	n.spread.connect = func(address string, _ time.Duration) (link, error) { return f.connect(n, address) }
	f.mu.Lock()
	f.byAddress[n.record.Address] = n
	f.mu.Unlock()
	f.nodes = append(f.nodes, n)
	return n
}

// listOthers adds all other nodes to a node's view, as from the store's list.
func (f *fleet) listOthers(n *fleetNode) {
	n.spread.View(func(v *member.View) {
		for _, other := range f.nodes {
			if other != n {
				r := other.record
				r.Incarnation = 0
				v.Merge(time.Now(), []member.Record{r})
			}
		}
	})
}

var errUnreachable = errors.New("unreachable")

func (f *fleet) connect(from *fleetNode, address string) (link, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	to := f.byAddress[address]
	if to == nil || f.dead[to.record.Host] || f.dead[from.record.Host] || (f.partitioned != nil && f.partitioned(from.record.Zone, to.record.Zone)) {
		return nil, errUnreachable
	}
	if f.cutOff[from.record.Host] != f.cutOff[to.record.Host] {
		if f.silentCut {
			return silentLink{}, nil
		}
		return nil, errUnreachable
	}
	f.noteConnection(from, to)
	return fleetLink{to}, nil
}

// silentLink is a connection on which nothing is answered.
type silentLink struct{}

func (silentLink) Version() int { return wire.VersionSupported }

func (silentLink) Ask(_ wire.Topic, _ []byte, limit time.Duration) ([]byte, error) {
	time.Sleep(limit)
	return nil, errUnreachable
}

// cut cuts hosts off from the others; nil ends the cut.
func (f *fleet) cut(silent bool, hosts map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutOff, f.silentCut = hosts, silent
}

// fleetLink passes queries to a node directly.
type fleetLink struct{ to *fleetNode }

// oneWayDelay is the latency of a message between two nodes.
const oneWayDelay = time.Millisecond

func (l fleetLink) Version() int { return wire.VersionSupported }

func (l fleetLink) Ask(topic wire.Topic, payload []byte, _ time.Duration) ([]byte, error) {
	time.Sleep(oneWayDelay)
	reply, _, err := l.to.spread.HandleQuery(topic, payload)
	time.Sleep(oneWayDelay)
	return reply, err
}

// run runs a node's exchanges until its cancel is called.
func (n *fleetNode) run(wait *sync.WaitGroup) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	wait.Go(func() { n.spread.runRounds(ctx) })
	wait.Go(func() { n.spread.runTablePulls(ctx) })
	wait.Go(func() { n.spread.runMonitor(ctx) })
}

// announceServer sets the backend server of a node and announces it.
func (n *fleetNode) announceServer(id string) {
	n.spread.View(func(v *member.View) { v.SetServer(member.Server{ID: id, Service: "s", Slots: 9}) })
	n.spread.Announce()
}

// waitUntilAgreed returns how long it took until all running nodes held the same records. It
// fails the test after limit.
func (f *fleet) waitUntilAgreed(t *testing.T, limit time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	for time.Since(began) < limit {
		if f.agreed() {
			return time.Since(began)
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Errorf("nodes did not agree within %v", limit)
	return limit
}

func (f *fleet) agreed() bool {
	roots := map[uint64]bool{}
	for _, n := range f.nodes {
		if !f.dead[n.record.Host] {
			n.spread.View(func(v *member.View) { roots[v.Digest().Root()] = true })
		}
	}
	return len(roots) == 1
}

// farBytes returns the payload bytes that crossed between zones.
func (f *fleet) farBytes() int64 {
	sum := int64(0)
	for _, n := range f.nodes {
		sum += n.spread.Counters.FarBytes.Load()
	}
	return sum
}

func (f *fleet) stop(wait *sync.WaitGroup) {
	for _, n := range f.nodes {
		n.cancel()
	}
	wait.Wait()
}

// The race detector of Go 1.26 ends the process with "ThreadSanitizer: CHECK failed:
// tsan_rtl.cpp:346" in some runs with twice as many nodes.
const (
	fleetNodes = 60
	fleetZones = 5
)

// startFleet returns a running fleet whose nodes all hold a table; stop ends it.
func startFleet(t *testing.T) (f *fleet, wait *sync.WaitGroup) {
	t.Helper()
	f, wait = newFleet(fleetNodes, fleetZones), new(sync.WaitGroup)
	for _, n := range f.nodes {
		n.spread.holder.Offer(snapshot(t, 1, "x"), "test")
		n.run(wait)
	}
	return f, wait
}

// A fleet starts all at once, and backend servers announce themselves within the first second
// and a half. All nodes agree within seconds, and the traffic between zones is bounded: each
// record must reach four other zones once, at about 100 bytes each time.
func TestFleetAgreesSoonAndCheaply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, wait := startFleet(t)
		for _, n := range f.nodes {
			wait.Go(func() {
				time.Sleep(time.Duration(rand.Int64N(int64(1500 * time.Millisecond))))
				n.announceServer("i-" + n.record.Host)
			})
		}
		time.Sleep(1500 * time.Millisecond)
		took := f.waitUntilAgreed(t, 6*time.Second)
		crossed := f.farBytes()
		minBytes := int64(fleetNodes * (fleetZones - 1) * 100)
		t.Logf("agreed %v after the last server, %d bytes crossed zones, %.1f times the minimum", took, crossed, float64(crossed)/float64(minBytes))
		if crossed > 12*minBytes {
			t.Errorf("%d bytes crossed zones, more than %d", crossed, 12*minBytes)
		}
		// Nothing changes any more: only digests are sent.
		time.Sleep(10 * time.Second)
		idle := f.farBytes() - crossed
		t.Logf("%d bytes crossed zones in ten idle seconds", idle)
		if maxBytes := int64(10 * fleetZones * 4 * crossZonePerRound * 100); idle > maxBytes {
			t.Errorf("%d bytes crossed zones while nothing changed, more than %d", idle, maxBytes)
		}
		f.stop(wait)
	})
}

// Four of five nodes of each zone crash. Later changes still reach all remaining nodes,
// because no single node is needed for that.
func TestChangesCrossZonesAfterMostNodesCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, wait := startFleet(t)
		f.waitUntilAgreed(t, 8*time.Second)
		f.mu.Lock()
		for i, n := range f.nodes {
			if (i/fleetZones)%5 != 0 {
				f.dead[n.record.Host] = true
			}
		}
		f.mu.Unlock()
		f.nodes[0].announceServer("i-after")
		t.Logf("agreed after %v", f.waitUntilAgreed(t, 30*time.Second))
		f.stop(wait)
	})
}

// Two zones are cut off from the others, both sides change, and the partition ends.
func TestZonesConvergeAfterPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, wait := startFleet(t)
		f.waitUntilAgreed(t, 8*time.Second)
		inMinority := func(zone string) bool { return zone == "zone-0" || zone == "zone-1" }
		f.mu.Lock()
		f.partitioned = func(a, b string) bool { return inMinority(a) != inMinority(b) }
		f.mu.Unlock()
		for _, n := range f.nodes {
			n.announceServer("i-" + n.record.Host)
		}
		time.Sleep(30 * time.Second)
		if f.agreed() {
			t.Error("nodes agree although the zones are partitioned")
		}
		f.mu.Lock()
		f.partitioned = nil
		f.mu.Unlock()
		t.Logf("agreed %v after the partition", f.waitUntilAgreed(t, 12*time.Second))
		f.stop(wait)
	})
}

// One node restarts while the store is unreachable and knows no other node. All others connect
// to it at the same time. It learns all records, each of them learns its new record, and it
// does not receive all records from each of them.
func TestRestartedNodeReceivesRecordsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, wait := startFleet(t)
		for _, n := range f.nodes {
			n.announceServer("i-" + n.record.Host)
		}
		f.waitUntilAgreed(t, 8*time.Second)
		old := f.nodes[7]
		old.cancel()
		f.nodes = append(f.nodes[:7], f.nodes[8:]...)
		restarted := f.add(7, 200, fleetZones)
		restarted.run(wait)
		before := f.farBytes()
		identity := peer.Identity{Host: restarted.record.Host, Incarnation: 200}
		for _, n := range f.nodes[:len(f.nodes)-1] {
			wait.Go(func() { n.spread.OutboundConnected(identity, restarted.record.Address) })
		}
		time.Sleep(100 * time.Millisecond)
		informed := 0
		for _, n := range f.nodes {
			if r, _ := n.spread.recordOf(restarted.record.Host); r.Incarnation == 200 {
				informed++
			}
		}
		if informed != fleetNodes {
			t.Errorf("%d nodes of %d have the record of the new incarnation", informed, fleetNodes)
		}
		length := 0
		restarted.spread.View(func(v *member.View) { length = v.Len() })
		if length != fleetNodes {
			t.Errorf("the restarted node knows %d nodes of %d", length, fleetNodes)
		}
		received := restarted.spread.Counters.RecordsReceived.Load()
		t.Logf("the restarted node received %d records, %d bytes crossed zones", received, f.farBytes()-before)
		if received > 4*fleetNodes {
			t.Errorf("the restarted node received %d records of %d nodes", received, fleetNodes)
		}
		f.stop(wait)
	})
}

// A new table that only one node holds reaches every node of every zone within three rounds.
func TestTableCrossesZonesSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, wait := startFleet(t)
		f.waitUntilAgreed(t, 8*time.Second)
		began := time.Now()
		f.nodes[3].spread.offer(snapshot(t, 2, "y"), "test")
		for behind := 1; behind > 0 && time.Since(began) < 5*time.Second; time.Sleep(5 * time.Millisecond) {
			behind = 0
			for _, n := range f.nodes {
				if g, _ := n.spread.holder.Generation(); g != table.Generation(2) {
					behind++
				}
			}
		}
		t.Logf("in force everywhere after %v", time.Since(began))
		if time.Since(began) > 3*time.Second {
			t.Errorf("in force everywhere only after %v", time.Since(began))
		}
		f.stop(wait)
	})
}
