// SPDX-License-Identifier: MIT

package gate

import (
	"time"

	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/table"
)

// updateLeaving records whether a response says that the server is leaving. A server that announces
// itself gets no requests any more then, even if later responses do not say so: its next
// incarnation has a gate of its own. A listed server has no incarnations, so a probe can end its
// leaving.
func (g *Gate) updateLeaving(kind event.ResponseKind, leaving bool) {
	g.mu.Lock()
	before := g.leaving
	ends := g.row.Discovery != table.Announced && kind == event.ProbeResponse
	g.leaving = leaving || before && !ends
	if g.leaving != before {
		g.setDrain(DrainServer, g.leaving, time.Now())
	}
	begins := g.leaving && !before
	service := g.row.Service
	g.mu.Unlock()
	if !begins {
		return
	}
	g.settings.Recorder.Record(&event.ServerLeaving{Service: service, Server: g.name, Response: kind})
	if g.settings.OnLeaving != nil {
		g.settings.OnLeaving(g.name)
	}
}

// ServerLeaving reports whether the server has reported in a response that it is leaving.
func (g *Gate) ServerLeaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}
