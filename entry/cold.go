// SPDX-License-Identifier: MIT

package entry

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/retry"
	"github.com/ryehaven/ryehaven/wire"
)

// refusedCold returns after which time a caller had better come back whose request is not
// sent at all, since the servers are cold and don't bear it; 0 if it is sent. Calls of the
// server beside this node are sent: work has been done for them.
func (e *Entry) refusedCold(r *request) time.Duration {
	if !e.settings.Whole || r.traits == nil || r.isCall() {
		return 0
	}
	now := time.Now()
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	after, later := s.pool.Later(now, r.demand(now), r.deadline.Sub(now), s.rng.Float64())
	if !later {
		return 0
	}
	e.Counters.RefusedCold.Add(1)
	return after
}

// isCall reports whether the request comes from this node's own host, and so from the
// server beside it.
func (r *request) isCall() bool {
	remote, local := hostOf(r.caller.RemoteAddr()), hostOf(r.caller.LocalAddr())
	return remote != nil && (remote.IsLoopback() || remote.Equal(local))
}

func hostOf(a net.Addr) net.IP {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.IP
	}
	return nil
}

// tellWarm replaces the gate's word when to come back, which is of the next token for one
// request, where all servers of the service are cold.
func (e *Entry) tellWarm(r *request, res *result) {
	a := res.last
	if !e.settings.Whole || a == nil || a.outcome != retry.Overloaded || a.reason == wire.ReasonShare || r.isCall() {
		return
	}
	now := time.Now()
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if after, ok := s.pool.ComeBack(now, r.demand(now), r.deadline.Sub(now), s.rng.Float64()); ok {
		a.retryAfter = max(a.retryAfter, after)
	}
}

// coldFailure answers a request that was not sent since the servers are cold.
func coldFailure(after time.Duration) failure {
	return failure{
		status:     fasthttp.StatusServiceUnavailable,
		outcome:    header.NotRun,
		proxyError: statusLimited,
		detail:     "the service's backend servers are cold and don't bear one more request now",
		retryAfter: max(after, time.Millisecond),
		noRetry:    true,
	}
}
