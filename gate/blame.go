// SPDX-License-Identifier: MIT

package gate

import (
	"time"

	"github.com/ryehaven/ryehaven/blame"
	"github.com/ryehaven/ryehaven/wire"
)

// Blame is the part of the node's record of requests suspected of making servers exit that a
// gate uses.
type Blame interface {
	// Empty reports whether no request is suspected or blamed.
	Empty() bool
	// Check returns the verdict on a request and, if it is blamed, for how much longer.
	Check(now time.Time, p blame.Fingerprint) (blame.Verdict, time.Duration)
	// ServerExited records what the server was running when it exited; exit identifies that exit.
	ServerExited(now time.Time, exit uint64, inFlight []blame.InFlight)
	// Answered records that the server has answered a request.
	Answered(now time.Time, p blame.Fingerprint)
}

// noBlame blames no request.
type noBlame struct{}

func (noBlame) Empty() bool { return true }

func (noBlame) Check(time.Time, blame.Fingerprint) (blame.Verdict, time.Duration) {
	return blame.Clear, 0
}

func (noBlame) ServerExited(time.Time, uint64, []blame.InFlight) {}

func (noBlame) Answered(time.Time, blame.Fingerprint) {}

// fingerprint returns the request's fingerprint, which is computed once.
func (j *job) fingerprint() blame.Fingerprint {
	j.fingerprintOnce.Do(func() { j.fingerprintValue = blame.FingerprintOf(j.stream.Request) })
	return j.fingerprintValue
}

// blameReason returns why a request must not be run because servers have exited while they ran
// it; 0 if it may run. Two suspects are never run at the same time, so that if the server exits, it is
// clear which request to blame. It is called with the lock held.
func (g *Gate) blameReason(j *job, now time.Time) (reason wire.Reason, retryAfter time.Duration) {
	if g.settings.Blame.Empty() {
		return 0, 0
	}
	verdict, left := g.settings.Blame.Check(now, j.fingerprint())
	switch verdict {
	case blame.Blamed:
		return wire.ReasonBlamed, left
	case blame.Clear:
		return 0, 0
	}
	for _, other := range g.jobs {
		if other == j || !other.crashSuspect {
			continue
		}
		if other.fingerprint() == j.fingerprint() {
			return wire.ReasonBlamed, g.queue.RetryAfter(now)
		}
		return wire.ReasonSuspect, g.queue.RetryAfter(now)
	}
	j.crashSuspect = true
	return 0, 0
}

// recordAnswered records that the server has sent a complete response; ok means without a
// server error.
func (j *job) recordAnswered(ok bool) {
	if !ok {
		return
	}
	p := j.fingerprint()
	j.gate.mu.Lock()
	j.gate.exit.answered.add(p)
	j.gate.mu.Unlock()
	if b := j.gate.settings.Blame; !b.Empty() {
		b.Answered(time.Now(), p)
	}
}
