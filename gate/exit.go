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

// errServerExited ends the requests that a server was running when it exited.
var errServerExited = errors.New(wire.ServerExitedMessage)

// exitCheckTimeout bounds the check whether the server still accepts connections. The server
// is on this host, where a connection to a closed port is refused at once.
const exitCheckTimeout = 20 * time.Millisecond

// serverExit is what a gate knows of an exit of its server.
type serverExit struct {
	// checking is held during a check whether the server has exited.
	checking sync.Mutex
	// since is when the server was found to have exited, zero if it has not, and answered are
	// the requests that it has answered before. The gate's lock guards both.
	since    time.Time
	answered answeredSet
}

// detected reports whether the server is known to have exited.
func (e *serverExit) detected() bool { return !e.since.IsZero() }

// responseReceived clears the exit when a request that began after it is answered: the server
// was restarted. That a connection is accepted is no evidence, since a server that is exiting
// may still accept one.
func (e *serverExit) responseReceived(began time.Time) {
	if began.After(e.since) {
		e.since = time.Time{}
	}
}

// serverExited reports whether a request got no answer because the server has exited, and not
// just because its connection broke. The first call that finds this out records which other
// requests the server was running.
func (g *Gate) serverExited(j *job, err error) bool {
	if j.exchange.Aborted() || errors.Is(err, os.ErrDeadlineExceeded) {
		return false // This node gave up on the request.
	}
	g.exit.checking.Lock()
	defer g.exit.checking.Unlock()
	g.mu.Lock()
	known, draining := g.exit.detected(), g.drain != 0
	g.mu.Unlock()
	if known || draining || !g.server.RefusesConnections(exitCheckTimeout) {
		return known
	}
	g.Counters.ServerExits.Add(1)
	now := time.Now()
	line, inFlight := g.recordExit(now)
	g.settings.Recorder.Record(line)
	g.settings.Blame.ServerExited(now, rand.Uint64(), inFlight)
	return true
}

// recordExit records that the server has exited. It returns the requests that the server was
// running, which were handed over and are not answered: all of them for the log, and for Blame
// without those that the server had answered before.
func (g *Gate) recordExit(now time.Time) (*event.ServerExit, []blame.InFlight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.exit.since = now
	line := &event.ServerExit{Service: g.row.Service, Server: g.name}
	var inFlight []blame.InFlight
	for _, j := range g.jobs {
		if !j.handedOver {
			continue
		}
		p := j.fingerprint()
		before := g.exit.answered.has(p)
		line.InFlight = append(line.InFlight, event.InFlightRequest{ID: j.stream.Request.CallerRequestID, Fingerprint: p.String(), Elapsed: now.Sub(j.startedAt), AnsweredBefore: before})
		if !before {
			inFlight = append(inFlight, blame.InFlight{Fingerprint: p, Suspect: j.crashSuspect})
		}
	}
	g.exit.answered = answeredSet{}
	return line, inFlight
}
