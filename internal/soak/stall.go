// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ryehaven/ryehaven/internal/faultproxy"
)

// Link is a kind of connection of a host that goes through a proxy.
type Link string

// The links: connections to the peer port of the host, and from the host to the store and
// to its backend server.
const (
	ToPeers   Link = "peers"
	ToStore   Link = "store"
	ToServers Link = "servers"
)

// allLinks lists all links.
var allLinks = []Link{ToPeers, ToStore, ToServers}

// Stall is a moment at which the open connections of all hosts stalled.
type Stall struct {
	At        time.Time
	Links     []Link
	Direction faultproxy.Direction `json:"Way"`
	// Connections is the number of connections that were open.
	Connections int
}

// proxy returns the proxy in front of a link of the host.
func (h *host) proxy(l Link) *faultproxy.Proxy {
	switch l {
	case ToStore:
		return h.store
	case ToServers:
		return h.toServer
	}
	return h.peer
}

// stallConnections stalls the open connections of some links of the host and returns their
// number.
func (h *host) stallConnections(links []Link, direction faultproxy.Direction) int {
	n := 0
	for _, l := range links {
		n += h.proxy(l).StallDirection(direction)
	}
	return n
}

// stallAllHosts stalls the open connections of all hosts, once or twice.
func (s *site) stallAllHosts(ctx context.Context, step Step) {
	s.recordDuring(AllHosts, step, func() { s.stallAllNow(step) })
	if !step.Twice {
		return
	}
	pause(ctx, step.For)
	s.recordDuring(AllHosts, step, func() { s.stallAllNow(step) })
}

// stallAllNow stalls the open connections of all hosts and records it.
func (s *site) stallAllNow(step Step) {
	n := 0
	for _, h := range s.hosts {
		n += h.stallConnections(step.Links, step.Direction)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Stalls = append(s.history.Stalls, Stall{At: time.Now(), Links: step.Links, Direction: step.Direction, Connections: n})
}

// drawLinks draws the links to stall: in half of the cases all links, else one of them.
func drawLinks(rng *rand.Rand) []Link {
	if rng.IntN(2) == 0 {
		return allLinks
	}
	return []Link{allLinks[rng.IntN(len(allLinks))]}
}

// stallDirections lists the directions that a schedule draws from.
var stallDirections = []faultproxy.Direction{faultproxy.BothDirections, faultproxy.BothDirections, faultproxy.Forward, faultproxy.Backward}

// drawStall draws what a step stalls.
func drawStall(rng *rand.Rand, s *Step) {
	s.Links = drawLinks(rng)
	s.Direction = stallDirections[rng.IntN(len(stallDirections))]
	s.Twice = s.Kind == StallAllConnections && rng.IntN(2) == 0
}

// kindsBesideStall lists the kinds of steps that are drawn to overlap with a stall of all
// hosts.
var kindsBesideStall = []Kind{ConfigChange, ConfigBurst, Evacuate, Stop, Reload}

// maxStallOffset is the maximum time between the stall and the start of that step.
const maxStallOffset = 300 * time.Millisecond

// drawBesideStall returns a step that starts shortly before or after a stall.
func drawBesideStall(rng *rand.Rand, stall Step, hosts int, length time.Duration) Step {
	s := drawStep(rng, kindsBesideStall, hosts, length)
	s.At = stall.At - maxStallOffset + time.Duration(rng.Int64N(int64(2*maxStallOffset)))
	s.At = min(max(s.At, 0), length-1)
	return s
}
