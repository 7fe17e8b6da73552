// SPDX-License-Identifier: MIT

package gate

import (
	"errors"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/ryehaven/ryehaven/blame"
	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/wire"
)

// errEnded ends what was at work at a server that has ended.
var errEnded = errors.New(wire.ServerEnded)

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
func (g *Gate) hasEnded(j *job, err error) bool {
	if j.exchange.Aborted() || errors.Is(err, os.ErrDeadlineExceeded) {
		return false // This side gave up.
	}
	g.end.asking.Lock()
	defer g.end.asking.Unlock()
	g.mu.Lock()
	known, leaves := g.end.is, g.drain != 0
	g.mu.Unlock()
	if known || leaves || !g.server.Refuses(endLimit) {
		return known
	}
	g.Counters.Ended.Add(1)
	now := time.Now()
	line, atWork := g.noteEnd(now)
	g.settings.Recorder.Record(line)
	g.settings.Blame.Ended(now, rand.Uint64(), atWork)
	return true
}

// noteEnd returns what the server was working on: the requests that were handed over and
// are not answered.
func (g *Gate) noteEnd(now time.Time) (*event.ServerEnded, []blame.AtWork) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.end.is = true
	line := &event.ServerEnded{Service: g.row.Service, Server: g.name}
	var atWork []blame.AtWork
	for _, j := range g.jobs {
		if !j.handedOver {
			continue
		}
		p := j.print()
		line.AtWork = append(line.AtWork, event.RequestAtWork{ID: j.stream.Request.Tag, Print: p.String(), Took: now.Sub(j.began)})
		atWork = append(atWork, blame.AtWork{Print: p, Suspect: j.accused})
	}
	return line, atWork
}
