// SPDX-License-Identifier: MIT

package gate

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/header"
)

// A request whose connection has become unresponsive gets no answer, and its slot stays
// occupied until the gate notices. It notices in two ways. A probe that stays unanswered on a
// kept connection while one on a new connection is answered shows that the kept connection is
// unresponsive. SuspectConnections is called when another connection of this host was found
// unresponsive. From then on, every connection on which nothing was received since is suspect,
// and the idle ones among them are closed. A request on a suspect connection is declared lost,
// which means that it no longer counts as in flight, once it has had enough time for an answer
// and the server's load report does not say that the request may be running. The report alone
// makes no request lost, and anything received on a connection ends its suspicion.

// errConnUnresponsive ends a request that was sent on an unresponsive connection.
var errConnUnresponsive = eris.New("the connection to the backend server has become unresponsive")

const (
	// A request is overdue after overdueFactor times the server's usual time: then the server
	// is probed, or the request is declared lost if its connection is suspect.
	overdueFactor = 2
	// minOverdue bounds that time from below: a process may be paused for 100 ms by its CPU
	// quota.
	minOverdue = 100 * time.Millisecond
	// reprobeShare is the share of its age for which an overdue request causes no further
	// probe.
	reprobeShare = 0.5
	// minReportedAge is the least age of a request for which a server's report counts: reports
	// may lag behind by this much.
	minReportedAge = 25 * time.Millisecond
	// notRunningFor is how long a request must have been missing from the server's reports:
	// its answer may still be on the way.
	notRunningFor = minOverdue
)

// suspicion is what a gate knows of unresponsive connections, guarded by its lock.
type suspicion struct {
	// cutoff makes those connections suspect on which nothing was received since then; zero if
	// none are suspect.
	cutoff time.Time
	// noWorkCount is set if the server's last answer to a probe did not say how many requests
	// it has.
	noWorkCount bool
	// lastNotRunning is when a report last showed that some request cannot be running.
	lastNotRunning time.Time
	// lostDeadlines are the deadlines of the requests that were declared lost: until then the
	// server may still be running them.
	lostDeadlines []time.Time
}

// SuspectConnections closes the idle connections to the server and marks those with work as
// suspect, because another connection of this host was found unresponsive.
func (g *Gate) SuspectConnections() { g.suspectConnsBefore(time.Now()) }

// suspectConnsBefore closes or marks as suspect the connections on which nothing was received
// since a time.
func (g *Gate) suspectConnsBefore(before time.Time) {
	g.server.CloseIdleBefore(before)
	g.mu.Lock()
	defer g.mu.Unlock()
	if before.After(g.suspicion.cutoff) {
		g.suspicion.cutoff = before
	}
}

// clearSuspicionIfAnswered waits for the answer to a probe whose connection was found
// unresponsive. If it comes after all, the connections are no longer suspect.
func (g *Gate) clearSuspicionIfAnswered(p *probe) {
	if p.waitFor(probeTimeout) && p.err == nil {
		g.mu.Lock()
		if g.suspicion.cutoff.Equal(p.sentAt) {
			g.suspicion.cutoff = time.Time{}
		}
		g.mu.Unlock()
	}
	p.cancel()
}

// responseReceived records that a request's response has begun.
func (g *Gate) responseReceived(j *job, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	j.responseStarted = true
	g.exit.responseReceived(j.startedAt)
	g.retractNotRunning(j, now)
}

// retractNotRunning retracts what a recent report has shown about other requests, if that
// report was expected to count a request whose response has begun now: the server may have
// left that request out already, and counted one of the others instead. It is called with the
// lock held.
func (g *Gate) retractNotRunning(answered *job, now time.Time) {
	reportedAt := g.suspicion.lastNotRunning
	if now.Sub(reportedAt) >= minReportedAge || reportedAt.Sub(answered.startedAt) < minReportedAge {
		return
	}
	for _, j := range g.jobs {
		if now.Sub(j.notRunningSince) < minReportedAge {
			j.notRunningSince = time.Time{}
		}
	}
}

// isSuspect reports whether a job's connection may have become unresponsive. It is called with
// the lock held.
func (g *Gate) isSuspect(j *job) bool { return j.exchange.LastReceived().Before(g.suspicion.cutoff) }

// awaitsResponse reports whether the whole request was sent and its response has not begun. It
// is called with the lock held.
func (j *job) awaitsResponse() bool {
	return j.handedOver && !j.responseStarted && !j.connUnresponsive && j.exchange.Sent()
}

// awaitedRequests returns the requests that a load report requested now has to count.
func (g *Gate) awaitedRequests() []*job {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var awaited []*job
	for _, j := range g.jobs {
		if j.awaitsResponse() && now.Sub(j.startedAt) >= minReportedAge {
			awaited = append(awaited, j)
		}
	}
	return awaited
}

// matchWorkCount compares the number of requests that the server reports with those that the
// gate waits for. Requests that have time left, on connections that are not suspect, are
// counted first. If the report counts more than these, each of the other requests may be
// among the rest; if not, none of them can be running.
func (g *Gate) matchWorkCount(p *probe) {
	field := g.settings.Dialect.Load
	load, ok := header.ParseLoad(string(p.exchange.Response.Header.Peek(field)))
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.suspicion.noWorkCount = !ok
	unaccounted := load.Running + load.Waiting
	var uncertain []*job
	for _, j := range p.awaited {
		switch {
		case !j.awaitsResponse():
		case g.isSuspect(j), !now.Before(j.stream.Expiry):
			uncertain = append(uncertain, j)
		default:
			unaccounted--
		}
	}
	for _, j := range uncertain {
		switch {
		case unaccounted > 0:
			j.notRunningSince = time.Time{}
		case j.notRunningSince.IsZero():
			j.notRunningSince, g.suspicion.lastNotRunning = now, now
		}
	}
}

// reportsWorkCount reports whether the server can be expected to report how many requests it
// has. It is expected to until a probe shows that it does not. It is called with the lock
// held.
func (g *Gate) reportsWorkCount() bool {
	probed := g.row.ProbeRate > 0 || g.check.limiter.Burst() > 0
	return g.settings.Dialect.Load != "" && probed && !g.suspicion.noWorkCount
}

// findLost declares requests lost that have waited too long on suspect connections, and probes
// the server if any other request is overdue. It is called with the lock held.
func (g *Gate) findLost(now time.Time) {
	if len(g.jobs) == 0 {
		return
	}
	overdueAfter := max(overdueFactor*g.expectedServiceTime(now), minOverdue)
	var lost []*job
	late := false
	for _, j := range g.jobs {
		if !j.awaitsResponse() {
			continue
		}
		j.setConnSuspect(now, g.isSuspect(j))
		if !j.connSuspectSince.IsZero() && now.Sub(j.connSuspectSince) > overdueAfter && (j.notRunningLong(now) || !g.reportsWorkCount()) {
			lost = append(lost, j)
			continue
		}
		late = late || j.isOverdue(now, overdueAfter)
	}
	g.declareLost(now, lost)
	if late {
		g.probeIdleConn(now)
	}
}

// setConnSuspect records whether the job's connection is suspect, and since when. It is called
// with the gate's lock held.
func (j *job) setConnSuspect(now time.Time, suspected bool) {
	switch {
	case !suspected:
		j.connSuspectSince = time.Time{}
		if now.Before(j.stream.Expiry) {
			j.notRunningSince = time.Time{}
		}
	case j.connSuspectSince.IsZero():
		j.connSuspectSince = now
	}
}

// notRunningLong reports whether the job has been missing from the server's reports for long
// enough.
func (j *job) notRunningLong(now time.Time) bool {
	return !j.notRunningSince.IsZero() && now.Sub(j.notRunningSince) >= notRunningFor
}

// shiftTimers moves the start times of suspicions forward by a pause of this process, so that
// the pause does not count as time spent waiting for the server. It is called with the lock
// held.
func (g *Gate) shiftTimers(pause time.Duration) {
	for _, j := range g.jobs {
		if !j.connSuspectSince.IsZero() {
			j.connSuspectSince = j.connSuspectSince.Add(pause)
		}
		if !j.notRunningSince.IsZero() {
			j.notRunningSince = j.notRunningSince.Add(pause)
		}
	}
}

// isOverdue reports whether the server must be probed because the job's response is late. It
// is called with the gate's lock held.
func (j *job) isOverdue(now time.Time, overdueAfter time.Duration) bool {
	age := now.Sub(j.startedAt)
	probedAt := j.startedAt
	if j.probedAt.After(probedAt) {
		probedAt = j.probedAt
	}
	return now.Sub(probedAt) > max(overdueAfter, time.Duration(reprobeShare*float64(age)))
}

// probeIdleConn probes the server on the connection that has been idle longest, if the budget
// of checks allows it: answers on other connections show nothing about the connection of an
// overdue request. It is called with the lock held.
func (g *Gate) probeIdleConn(now time.Time) {
	if g.probing || !g.check.limiter.AllowN(now, 1) {
		return
	}
	for _, j := range g.jobs {
		j.probedAt = now
	}
	g.startProbe(now, &g.probing, probeTimeout, g.server.OpenLongestIdle)
}

// expectedServiceTime returns how long requests take at the server now. It is called with the
// lock held.
func (g *Gate) expectedServiceTime(now time.Time) time.Duration {
	return g.queue.ServiceTime() * time.Duration(max(g.slownessNow(now), usualSlowness)) / usualSlowness
}

// usualSlowness is the slowness in percent of a server at its usual speed.
const usualSlowness = 100

// declareLost frees the slots of requests whose answers cannot arrive any more. At any time,
// no more requests are lost than the server has slots, because it may still be running them.
// Repeatable requests end at once, so that another server can be tried; the others stay until
// their deadlines, since they may still be answered. It is called with the lock held.
func (g *Gate) declareLost(now time.Time, lost []*job) {
	s := &g.suspicion
	s.lostDeadlines = slices.DeleteFunc(s.lostDeadlines, func(deadline time.Time) bool { return !now.Before(deadline) })
	lost = lost[:min(len(lost), max(g.row.Slots-len(s.lostDeadlines), 0))]
	if len(lost) == 0 {
		return
	}
	for _, j := range lost {
		j.connUnresponsive = true
		s.lostDeadlines = append(s.lostDeadlines, j.stream.Expiry)
		g.Counters.Lost.Add(1)
		g.queue.Done(now, &j.ticket, false)
		if j.stream.Request.Repeatable {
			j.exchange.Abort()
		}
	}
	g.advance(now)
}

// expiredGrace is how long after a request's expiry its run is still waited for. Where the
// connection between the nodes was slow to open, the deadline given to the server is later
// than the real one by up to this much.
const expiredGrace = 500 * time.Millisecond

// isAbandoned reports whether nobody waits for the job any more, although the server may still
// be running it: its deadline has passed, so its entry was notified and the server should have
// stopped. That is certain after expiredGrace, or earlier if the connection is suspect or was
// found unresponsive, or if the server's reports do not count the job. A planned stop that waits
// for such a job would last until its timeout and fail as if it had aborted the job. It is
// called with the lock held.
func (g *Gate) isAbandoned(j *job, now time.Time) bool {
	late := now.Sub(j.stream.Expiry)
	if late < 0 {
		return false
	}
	return late >= expiredGrace || j.connUnresponsive || (j.awaitsResponse() && (!j.notRunningSince.IsZero() || g.isSuspect(j)))
}

// isConnUnresponsive reports whether the job's connection was found unresponsive.
func (j *job) isConnUnresponsive() bool {
	j.gate.mu.Lock()
	defer j.gate.mu.Unlock()
	return j.connUnresponsive
}
