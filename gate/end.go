// SPDX-License-Identifier: MIT

package gate

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/blame"
	"github.com/ryehaven/ryehaven/event"
)

// errEnded ends what was at work at a server that has ended.
var errEnded = eris.New("the backend server has ended")

// endLimit bounds the question whether the server still takes connections. It stands on
// this host, which refuses at once what nobody listens for.
const endLimit = 20 * time.Millisecond

// end is what a gate knows of the end of its server.
type end struct {
	// asking is held while somebody asks.
	asking sync.Mutex
	// is says that the server has ended since it last took a connection. The gate's
	// lock guards it.
	is bool
}

// hasEnded reports whether a request that got no answer was at work at a server that has
// ended, and not just on a connection that broke. The first to find that out notes what
// else was at work there.
func (g *Gate) hasEnded(j *job) bool {
	g.end.asking.Lock()
	defer g.end.asking.Unlock()
	g.mu.Lock()
	known, ask := g.end.is, !j.canceled && time.Now().Before(j.stream.Deadline) && g.drain == 0
	g.mu.Unlock()
	if known || !ask || !g.server.Refuses(endLimit) {
		return known
	}
	g.mu.Lock()
	g.end.is = true
	atWork := g.atWork()
	service := g.row.Service
	g.mu.Unlock()
	g.Counters.Ended.Add(1)
	g.settings.Recorder.Record(&event.ServerEnded{Service: service, Server: g.name, AtWork: atWork})
	return true
}

// atWork lists the requests that were handed over and are not answered. It is called
// with the lock held.
func (g *Gate) atWork() event.RequestsAtWork {
	now := time.Now()
	var list event.RequestsAtWork
	for _, j := range g.jobs {
		if j.handedOver {
			list = append(list, event.RequestAtWork{ID: j.stream.Request.Tag, Print: blame.PrintOf(j.stream.Request).String(), Took: now.Sub(j.began)})
		}
	}
	return list
}
