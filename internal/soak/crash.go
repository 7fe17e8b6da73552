// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/ryehaven/ryehaven/platform/emulator"
)

// crashMarker is part of the path of requests that crash the server that runs them.
const crashMarker = "-crash-"

const (
	// minRestartDelay and maxRestartDelay bound the time until an exited server is replaced.
	minRestartDelay = 300 * time.Millisecond
	maxRestartDelay = 1200 * time.Millisecond
	// maxCrashRequestInterval is the maximum time between two repetitions of a request that
	// crashes servers.
	maxCrashRequestInterval = 500 * time.Millisecond
)

// crashServers sends a request that crashes every server that runs it, again and again, to
// random hosts. It draws whether the request is repeatable.
func (s *site) crashServers(ctx context.Context, step Step) {
	ctx, cancel := context.WithTimeout(ctx, step.For)
	defer cancel()
	rng := rand.New(rand.NewPCG(s.options.Seed, uint64(step.At)))
	r := request{uri: fmt.Sprint("/read/x", crashMarker, step.At.Milliseconds()), repeatable: true}
	if rng.IntN(2) == 0 {
		r = request{uri: fmt.Sprint("/write/x", crashMarker, step.At.Milliseconds()), body: "an order that crashes"}
	}
	for ctx.Err() == nil {
		if h := s.hosts[rng.IntN(len(s.hosts))]; h.ready.Load() {
			s.send(h, r)
		}
		pause(ctx, time.Duration(rng.Int64N(int64(maxCrashRequestInterval))))
	}
}

// closeServerAbruptly stops the host's backend server without an announcement.
func (h *host) closeServerAbruptly() {
	h.toServer.Down()
	h.currentServer().Close()
}

// replaceExitedServer waits until a server exits and then starts another one, unless the
// server was replaced as planned or the site is being closed.
func (h *host) replaceExitedServer(server *emulator.Server) {
	<-server.Exited()
	h.mu.Lock()
	replaced := h.server != server || h.draining || h.closing
	h.mu.Unlock()
	if replaced {
		return
	}
	h.toServer.Down()
	time.Sleep(minRestartDelay + rand.N(maxRestartDelay-minRestartDelay))
	h.mu.Lock()
	replaced = h.server != server || h.draining || h.closing
	h.mu.Unlock()
	if replaced {
		return
	}
	if err := h.newServer(); err != nil {
		h.site.note("host %d: %v", h.number, err)
		return
	}
	h.announce()
}

// checkCrashes limits the servers that a request crashes, in total and after nodes must know
// that it crashes servers.
func (o *oracle) checkCrashes() {
	type requestKey struct{ method, uri, body string }
	runs := map[requestKey][]Arrival{}
	for _, a := range o.Arrivals {
		if a.Ran && strings.Contains(a.URI, crashMarker) {
			key := requestKey{a.Method, a.URI, a.Body}
			runs[key] = append(runs[key], a)
		}
	}
	for request, arrivals := range runs {
		sort.Slice(arrivals, func(a, b int) bool { return arrivals[a].At.Before(arrivals[b].At) })
		last := arrivals[len(arrivals)-1].At
		if n := o.runsAfterKnown(arrivals); n > o.bounds.MaxCrashesAfterKnown {
			o.report(PromiseCrash, last, "request %s %s reached servers %d more times after it had crashed three, %d times in total", request.method, request.uri, n, len(arrivals))
		}
		if limit := o.bounds.MaxCrashes + crashesUntilKnown*o.simultaneousRestarts(); len(arrivals) > limit {
			o.report(PromiseCrash, last, "request %s %s crashed %d servers, the limit is %d", request.method, request.uri, len(arrivals), limit)
		}
	}
}

// simultaneousRestarts counts how often all nodes stopped at once and so lost what they
// knew.
func (o *oracle) simultaneousRestarts() (n int) {
	for _, d := range o.Disturbances {
		if d.Kind == KillAll && d.Host == 0 {
			n++
		}
	}
	return n
}

// crashesUntilKnown is the number of crashes after which nodes know that a request crashes
// servers.
const crashesUntilKnown = 3

// runsAfterKnown counts the runs that undisturbed hosts sent after the time in which nodes
// must have learned of the third crash.
func (o *oracle) runsAfterKnown(runs []Arrival) (n int) {
	for _, a := range runs[min(len(runs), crashesUntilKnown):] {
		c := o.calls[a.RequestID]
		if c != nil && a.At.Sub(runs[crashesUntilKnown-1].At) > o.bounds.Undisturbed && o.undisturbed(c.Host, a.At.Add(-o.bounds.Undisturbed), a.At) {
			n++
		}
	}
	return n
}
