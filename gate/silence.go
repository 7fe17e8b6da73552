// SPDX-License-Identifier: MIT

package gate

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/backend"
	"github.com/ryehaven/ryehaven/header"
)

// What is at work on a connection that has gone silent is lost, and its slot with it,
// until it is known. Two things tell it from work that takes long: the server says that
// it works on fewer requests than the gate waits for, or nothing is heard on any
// connection as old while newer ones answer and the time that requests usually take has
// passed.

// errMute ends what was sent on a silent connection.
var errMute = eris.New("the connection to the backend server has gone silent")

const (
	// severFactor is how many usual times of the server a request on a suspected
	// connection is waited for; aloneFactor the same where others as old are heard,
	// or where only the server's word on how much it works on stands against it.
	severFactor = 2
	aloneFactor = 4
	// severLeast bounds that wait from below: a process may stand still for a
	// tenth of a second by its quota.
	severLeast = 100 * time.Millisecond
	// reportLeast is the least age of a request for which a server's report
	// counts: it may be that much behind.
	reportLeast = 25 * time.Millisecond
	// reportsShort is how many reports in a row must fall short where no connection
	// was found silent.
	reportsShort = 2
	// wrongShare is the weight of one answered request in how often the reports had
	// denied it, and wrongMost from where on they are not believed.
	wrongShare = 0.1
	wrongMost  = 0.2
)

// silence is what a gate knows of silent connections, guarded by its lock.
type silence struct {
	// before is until when connections were opened that are suspected; zero if none
	// are.
	before time.Time
	// alive says that one of these has been heard since, and newer that one opened
	// later has.
	alive, newer bool
	// denied says that some request is not at work by the server's reports, and wrong
	// how often that was not true.
	denied bool
	wrong  float64
}

// Renew drops the connections to the server that rest, and suspects those with work:
// something else on this host has shown that open connections have gone silent.
func (g *Gate) Renew() { g.renew(time.Now()) }

// renew drops and suspects what was opened before a time.
func (g *Gate) renew(before time.Time) {
	g.server.Renew(before)
	g.mu.Lock()
	defer g.mu.Unlock()
	if before.After(g.silence.before) {
		g.silence.before, g.silence.alive, g.silence.newer = before, false, false
	}
}

// heard takes note that a request's answer has begun.
func (g *Gate) heard(j *job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	j.answered = true
	g.heardOn(j.exchange)
	if j.reports < reportsShort {
		return
	}
	wrong := 0.0
	if j.short >= reportsShort {
		wrong = 1
	}
	g.silence.wrong += wrongShare * (wrong - g.silence.wrong)
}

// heardOn takes note that a connection is not silent. It is called with the lock held.
func (g *Gate) heardOn(e *backend.Exchange) {
	if e.Opened().Before(g.silence.before) {
		g.silence.alive = true
		return
	}
	g.silence.newer = true
}

// suspects reports whether a job's connection is one of those that may be silent. It
// is called with the lock held.
func (g *Gate) suspects(j *job) bool { return j.exchange.Opened().Before(g.silence.before) }

// isOut reports whether a whole request was sent and its answer is waited for. It is
// called with the lock held.
func (j *job) isOut() bool {
	return j.handedOver && !j.answered && !j.mute && j.exchange.Sent()
}

// waitedFor returns the requests that a report of the server asked for now has to
// count, oldest first.
func (g *Gate) waitedFor() []*job {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var out []*job
	for _, j := range g.jobs {
		if j.isOut() && now.Sub(j.began) >= reportLeast {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int { return a.began.Compare(b.began) })
	return out
}

// learnAtWork takes what the answer to a question tells of how much the server works
// on.
func (g *Gate) learnAtWork(q *question) {
	field := g.settings.Dialect.Load
	load, ok := header.ParseLoad(string(q.exchange.Response.Header.Peek(field)))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heardOn(q.exchange)
	if field == "" || !ok {
		return
	}
	out := slices.DeleteFunc(q.out, func(j *job) bool { return !j.isOut() })
	atWork := load.Running + load.Waiting
	g.deny(out, len(out)-atWork)
	old := slices.DeleteFunc(slices.Clone(out), func(j *job) bool { return !g.suspects(j) })
	if g.silence.alive || g.silence.wrong > wrongMost || atWork > len(out)-len(old) {
		return
	}
	g.severAll(time.Now(), old)
}

// deny takes note that the server works on so many fewer requests than are out; the
// oldest are taken to be the missing ones. It is called with the lock held.
func (g *Gate) deny(out []*job, missing int) {
	for i, j := range out {
		j.reports++
		if i >= missing {
			j.short = 0
			continue
		}
		j.short++
		g.silence.denied = true
	}
}

// sever ends what has waited too long on connections that are suspected, or although
// the server says again and again that it is not at work. It is called with the lock
// held.
func (g *Gate) sever(now time.Time) {
	s := &g.silence
	if len(g.jobs) == 0 || (s.before.IsZero() && !s.denied) {
		return
	}
	usual := g.usual(now)
	alone := max(aloneFactor*usual, severLeast)
	suspected := max(severFactor*usual, severLeast)
	if s.alive {
		suspected = alone
	}
	var lost []*job
	for _, j := range g.jobs {
		if !j.isOut() {
			continue
		}
		waited := now.Sub(j.began)
		denied := j.short >= reportsShort && s.wrong <= wrongMost
		if (s.newer && g.suspects(j) && !j.named() && waited >= suspected) || (denied && waited >= alone) {
			lost = append(lost, j)
		}
	}
	g.severAll(now, lost)
}

// named reports whether the server's last report has room for the request among what it
// works on. It is called with the gate's lock held.
func (j *job) named() bool { return j.reports > 0 && j.short == 0 }

// usual is how long requests take at the server now. It is called with the lock held.
func (g *Gate) usual(now time.Time) time.Duration {
	return g.queue.Service() * time.Duration(max(g.slownessNow(now), usualSlowness)) / usualSlowness
}

// usualSlowness is the slowness in percent of a server at its usual speed.
const usualSlowness = 100

// severAll gives back the slots of requests whose answers cannot come any more. What
// may be repeated ends at once, so that another server can be asked; the rest stays
// until its deadline, since it may still be answered. It is called with the lock held.
func (g *Gate) severAll(now time.Time, lost []*job) {
	if len(lost) == 0 {
		return
	}
	for _, j := range lost {
		j.mute = true
		g.Counters.Severed.Add(1)
		g.queue.Done(now, &j.ticket, false)
		if j.stream.Request.Repeatable {
			j.exchange.Abort()
		}
	}
	g.settle(g.queue.Advance(now))
}

// isMute reports whether the job's connection was found silent.
func (j *job) isMute() bool {
	j.gate.mu.Lock()
	defer j.gate.mu.Unlock()
	return j.mute
}
