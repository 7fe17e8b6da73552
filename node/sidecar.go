// SPDX-License-Identifier: MIT

package node

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/ryehaven/ryehaven/announce"
	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/gate"
	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/retry"
	"github.com/ryehaven/ryehaven/store"
	"github.com/ryehaven/ryehaven/table"
)

// Announce applies an announcement of the backend server on this host. The announced state
// is in force at this node's gate when Announce returns.
func (n *Node) Announce(a announce.Announcement) error {
	if n.rejects(&a) {
		return eris.Wrapf(ErrAnnouncementRejected, "announcement of %q", a.ID)
	}
	var err error
	n.updateRegistry("announced", func(r *announce.Registry) { _, err = r.Announce(time.Now(), a) })
	if err == nil {
		n.confirmAnnounced(a)
	}
	return err
}

// Leave applies a backend server's report that it is gone.
func (n *Node) Leave(i member.ServerIncarnation) {
	n.updateRegistry("left", func(r *announce.Registry) { r.Leave(i) })
}

// Finding the server at the start of the node.
const (
	// findDelay gives the server the time to announce itself and other nodes the time to
	// send its record. findInterval is the time between two queries.
	findDelay    = 50 * time.Millisecond
	findInterval = 100 * time.Millisecond
	// findPeriod is how long after the start the server is queried. By then it has
	// announced itself.
	findPeriod  = 2 * time.Second
	findTimeout = 500 * time.Millisecond
)

// findServer queries the server for its identity at the start of the node, unless the server
// announces itself first or other nodes send its record. If all nodes were killed at once,
// no node has the record, and the next announcement may be seconds away.
func (n *Node) findServer(ctx context.Context) {
	timer := time.NewTimer(findDelay)
	defer timer.Stop()
	for until := time.Now().Add(findPeriod); time.Now().Before(until); timer.Reset(findInterval) {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if n.adoptServer() {
			return
		}
	}
}

// queryServer asks the server at its address about itself.
func (n *Node) queryServer(path string, limit time.Duration) (gate.ServerInfo, bool) {
	return gate.QueryServer(n.settings.Sidecar.Server, path, n.settings.Sidecar.Service, &n.dialect, limit)
}

// adoptServer queries the server once and reports whether no further query is needed because
// a server is or was known.
func (n *Node) adoptServer() bool {
	path, known := n.healthPath()
	if known || path == "" {
		return known
	}
	found, ok := n.queryServer(path, findTimeout)
	if !ok || !found.Accepting || found.Slots == 0 {
		return false
	}
	n.updateRegistry("answered a query at its address", func(r *announce.Registry) {
		r.Adopt(member.Server{ID: found.ID, Service: n.settings.Sidecar.Service, Slots: found.Slots}, time.Now().Add(found.Cold))
	})
	return true
}

// healthPath returns the path of the server's health endpoint from the table in force; empty
// while there is no table. known reports whether a server is or was known.
func (n *Node) healthPath() (path string, known bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.registry.NeverHadServer() {
		return "", true
	}
	return n.servicePath(), false
}

// servicePath returns the path of the health endpoint of the node's service; empty if it is
// not known yet. It is called with the lock held.
func (n *Node) servicePath() string {
	if n.applied == nil {
		return ""
	}
	if row := n.applied.Table.Service(n.settings.Sidecar.Service); row != nil {
		return row.Policy.HealthPath
	}
	return ""
}

// serverDisplaced is called when another server answers at the address of the server with
// the given incarnation name.
func (n *Node) serverDisplaced(name string) {
	n.updateRegistry("another server answered at its address", func(r *announce.Registry) { r.MarkDisplaced(name) })
}

// serverLeaving is called when the server with the given incarnation name reports in a response that
// it is leaving.
func (n *Node) serverLeaving(name string) {
	n.updateRegistry("reported in a response that it is leaving", func(r *announce.Registry) { r.MarkLeaving(name) })
}

// updateRegistry changes the registry. If that changes the current server, it puts the
// change in force and announces it to other nodes.
func (n *Node) updateRegistry(why string, change func(r *announce.Registry)) {
	n.mu.Lock()
	before := n.registry.Current()
	change(&n.registry)
	changed := n.registry.Current() != before
	if changed {
		n.applyServer(why)
	}
	n.mu.Unlock()
	if changed {
		n.spread.Announce()
	}
}

// restoreServer restores this node's server from the record that other nodes have kept from
// before the node restarted. It is called with the lock held.
func (n *Node) restoreServer() {
	var past member.Record
	n.spread.View(func(v *member.View) { past = v.PastRecord() })
	if past.Server.Service != n.settings.Sidecar.Service {
		return
	}
	before := n.registry.Current()
	n.registry.Restore(past.Server)
	if n.registry.Current() != before {
		n.applyServer("restored from other nodes")
	}
	if n.registry.Unconfirmed() != "" {
		n.wakeConfirmation()
	}
}

// applyServer puts the current server of the registry in force and logs it. It is called
// with the lock held.
func (n *Node) applyServer(why string) {
	current := n.registry.Current()
	n.log.Info("backend server changed",
		zap.String("id", current.ID),
		zap.String("service", current.Service),
		zap.Int("slots", current.Slots),
		zap.Stringer("state", current.State),
		zap.String("why", why))
	n.spread.View(func(v *member.View) { v.SetServer(current) })
	if n.applied != nil {
		n.refresh()
	}
}

// Ready reports whether the node accepts callers' requests.
func (n *Node) Ready() bool { return n.entry.Ready() && !n.stopping.Load() }

// announced returns the servers of a service that are announced in member records.
func (n *Node) announced(self member.Record, records map[string]member.Record, evacuated store.Evacuations, service string) []balance.Spec {
	var specs []balance.Spec
	for _, r := range records {
		if r.Server.ID == "" || r.Server.Service != service {
			continue
		}
		spec := balance.Spec{
			Name:      r.Server.ID,
			Announced: true,
			Node:      r.Address,
			Weight:    1,
			Slots:     n.usedSlots(r.Server.Slots),
			Distance:  n.distance(self, r),
			Leaving:   r.State != member.Live || r.Server.State != member.Live || evacuated.Has(r.Zone),
		}
		if r.Zone != self.Zone {
			spec.DistanceFactor = n.settings.Distance.Factor
			spec.ByteCost = n.settings.Distance.LatePerMB / bytesPerMB
		}
		specs = append(specs, spec)
	}
	balance.Subset(n.settings.Host, specs, func(s *balance.Spec) bool { return s.Distance == 0 })
	return specs
}

const bytesPerMB = 1e6

// usedSlots returns how many of a server's slots its gate uses.
func (n *Node) usedSlots(slots int) int {
	return max(int(float64(slots)*n.settings.Sidecar.SlotShare), 1)
}

// callSlots returns how many slots of a gate's server calls may use; 0 leaves that to the
// row. It is called with the lock held.
func (n *Node) callSlots(key gateKey) int {
	current := n.registry.Current()
	if current.ID != key.server || current.Service != key.service {
		return 0
	}
	return int(float64(current.Slots) * n.settings.Sidecar.CallSlotShare)
}

// announcedRow returns a table row for the server that announced itself. It is called with
// the lock held.
func (n *Node) announcedRow() (gateKey, table.Server, bool) {
	current := n.registry.Current()
	if current.ID == "" {
		return gateKey{}, table.Server{}, false
	}
	policy := table.DefaultPolicy()
	if s := n.applied.Table.Service(current.Service); s != nil {
		policy = s.Policy
	}
	policy.Slots = n.usedSlots(current.Slots)
	policy.Queue = queueFactor * policy.Slots
	if after := n.settings.Sidecar.ProbeAfter; after > 0 {
		policy.ProbeRate = probeRateFactor / after.Seconds()
	}
	row := table.Server{
		Policy:  policy,
		Service: current.Service,
		Name:    current.ID,
		Host:    n.settings.Host,
		Zone:    n.settings.Zone,
		Address: n.settings.Sidecar.Server,
		State:   table.Active,
	}
	if current.State != member.Live {
		row.State = table.Leaving
	}
	return gateKey{current.Service, current.ID}, row, true
}

// probeRateFactor is the maximum rate of probes, in multiples of one per
// settings.Sidecar.ProbeAfter. It is above 1 because gates probe a slow server earlier than
// others.
const probeRateFactor = 1.5

// queueFactor limits the queue of a gate, in multiples of the slots. The limit on the
// waiting time usually takes effect before it.
const queueFactor = 2

// maxSends limits how often one request is sent if settings.Retries limits the requests that
// reach a second server.
const maxSends = 6

// retryLimits returns the limits on requests that reach a second server.
func (n *Node) retryLimits() retry.Limits {
	r := n.settings.Retries
	if r.Window == 0 {
		return retry.Limits{}
	}
	return retry.Limits{Share: r.Share, Extra: r.Extra, Window: r.Window, MaxSends: maxSends}
}
