// SPDX-License-Identifier: MIT

package gate

import "github.com/ryehaven/ryehaven/event"

// serverLeaving records that the server has said in a response that it is leaving.
func (g *Gate) serverLeaving(kind event.ResponseKind) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return
	}
	g.leaving = true
	g.settings.Recorder.Record(&event.ServerLeaving{Service: g.row.Service, Server: g.name, Response: kind})
}

// ServerLeaving reports whether the server has said in a response that it is leaving.
func (g *Gate) ServerLeaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}
