// SPDX-License-Identifier: MIT

package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/burn"
	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/peer"
	"github.com/ryehaven/ryehaven/retry"
	"github.com/ryehaven/ryehaven/table"
)

// service is the state of one service at this entry.
type service struct {
	name string

	mu       sync.Mutex
	lastUsed time.Time
	// dialerChangesSeen is the dialer's change count at the last check of the servers; 0
	// if they must be checked again.
	dialerChangesSeen uint64
	policy            table.Policy
	retryLimits       retry.Limits
	pool              *balance.Pool
	retryBudget       retry.Budget
	hedgeBudget       retry.Budget
	// waiterBudget is the part of the budget for requests that wait for it while other
	// requests need budget too, and budgetWaiters is the number of waiting requests.
	waiterBudget  retry.Budget
	budgetWaiters int
	// lastBudgetRequest is when a request that does not wait last needed budget.
	lastBudgetRequest time.Time
	delay             retry.LatencyEstimate
	meter             burn.Meter
	rng               *rand.Rand
	// serverChanges signals changes of the service's servers and their speed.
	serverChanges broadcast
}

func (s *service) update(now time.Time, row *table.Service, topology Topology, leaving *leavingServers) {
	specs := make([]balance.Spec, 0, len(row.Servers))
	if row.Discovery == table.Announced && topology.Announced != nil {
		specs = append(specs, topology.Announced(s.name)...)
	}
	for i := range row.Servers {
		server := &row.Servers[i]
		location, ok := topology.Locate(server)
		if !ok {
			continue
		}
		specs = append(specs, balance.Spec{
			Name:     server.Name,
			Node:     location.Node,
			Weight:   server.Weight,
			Slots:    server.Slots,
			Distance: location.Distance,
			Leaving:  location.Leaving || server.State == table.Leaving,
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range specs {
		specs[i].Leaving = specs[i].Leaving || leaving.has(specs[i].Name)
	}
	s.policy = row.Policy
	s.retryBudget.Share = row.RetryShare
	s.retryLimits = topology.RetryLimits
	s.retryBudget.Limits = topology.RetryLimits.PerNode(topology.Nodes)
	s.waiterBudget.Limits = s.retryBudget.ScaledLimits(waiterBudgetShare)
	s.hedgeBudget.Share = min(retry.HedgeShare, row.RetryShare)
	s.pool.Update(now, specs)
	s.dialerChangesSeen = 0
	s.serverChanges.wake()
}

// suspicionIdlePeriod is how long after a service's last request its nodes are still
// checked.
const suspicionIdlePeriod = time.Second

func (s *service) updateSuspicions(now time.Time, dialer *peer.Dialer, recorder *event.Recorder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := dialer.Changes() + 1 // So that 0 always differs from it.
	if now.Sub(s.lastUsed) > suspicionIdlePeriod || s.dialerChangesSeen == changes {
		return
	}
	s.dialerChangesSeen = changes
	for _, server := range s.pool.Servers() {
		suspected := dialer.Unresponsive(server.Node)
		if s.pool.SetSuspected(now, server, suspected) {
			recorder.Record(suspicionEvent(s.name, server, suspected))
		}
	}
}

// suspicionEvent is the log event for a node that became unresponsive or responded again.
func suspicionEvent(service string, server *balance.Server, suspected bool) *event.ServerHealth {
	b := &event.ServerHealth{Service: service, Server: server.Name, Node: server.Node, State: event.Recovered, Reason: "its node responds again"}
	if suspected {
		b.State, b.Reason = event.Suspected, "its node does not respond while it has work"
	}
	return b
}

func (s *service) burn(now time.Time) []burn.Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	var counts []burn.Count
	calls := uint64(0)
	for _, window := range burn.Windows() {
		c := s.meter.Window(now, window)
		calls += c.Calls
		counts = append(counts, c)
	}
	if calls == 0 {
		return nil
	}
	return counts
}

// countResult counts a finished request in the service's meter.
func (s *service) countResult(now time.Time, took time.Duration, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meter.Record(now, failed || took > s.policy.ObjectiveLatency)
}
