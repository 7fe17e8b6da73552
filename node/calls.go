// SPDX-License-Identifier: MIT

package node

import (
	"github.com/ryehaven/ryehaven/calls"
	"github.com/ryehaven/ryehaven/spread"
	"github.com/ryehaven/ryehaven/table"
)

// callTracker returns the tracker of calls made by requests; nil unless requests are
// admitted together with their calls.
func (n *Node) callTracker() *calls.Tracker {
	if !n.settings.Overload.AdmitWithCalls {
		return nil
	}
	return &n.calls
}

// spreadCalls returns the call graph as package spread exchanges it with other nodes; nil
// unless requests are admitted together with their calls.
func (n *Node) spreadCalls() spread.Calls {
	if g := n.callGraph(); g != nil {
		return g
	}
	return nil
}

// callGraph returns which routes call which others; nil unless requests are admitted
// together with their calls.
func (n *Node) callGraph() *calls.Graph {
	if !n.settings.Overload.AdmitWithCalls {
		return nil
	}
	return &n.calls.Graph
}

// dropRemovedRoutes removes the routes that the table does not have from the call graph.
func (n *Node) dropRemovedRoutes(t *table.Table) {
	known := map[calls.Route]bool{}
	for i := range t.Routes() {
		known[calls.RouteOf(t.Routes()[i].Name())] = true
	}
	n.calls.KeepRoutes(func(r calls.Route) bool { return known[r] })
}
