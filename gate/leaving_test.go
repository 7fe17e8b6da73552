// SPDX-License-Identifier: MIT

package gate

import (
	"testing"

	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/table"
)

// A server that says it is leaving is drained. An announced one stays so; the name of a listed one
// may belong to another process later.
func TestLeavingServerIsDrained(t *testing.T) {
	for _, discovery := range []table.Discovery{table.Announced, table.Listed} {
		g, logs := newReportingGate(t, discovery)
		reported := 0
		g.settings.OnLeaving = func(string) { reported++ }
		for range 3 {
			g.respond(event.RunResponse, leavingField, "1")
		}
		if g.Draining() != DrainServer || reported != 1 || logs.FilterMessage((*event.ServerLeaving)(nil).Message()).Len() != 1 {
			t.Errorf("%s: drain causes %v, reported %d times", discovery, g.Draining(), reported)
		}
		if g.respond(event.RunResponse); g.Draining() == 0 {
			t.Errorf("%s: a response that does not say it has ended the drain", discovery)
		}
		if g.respond(event.ProbeResponse); (g.Draining() == 0) != (discovery == table.Listed) {
			t.Errorf("%s: drain causes %v after a probe that does not say it", discovery, g.Draining())
		}
	}
}
