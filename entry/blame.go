// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/balance"
	"github.com/ryehaven/ryehaven/blame"
	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/wire"
)

// Blame is the knowledge that an entry needs of requests that were running when servers
// crashed.
type Blame interface {
	// Empty reports whether nothing is known.
	Empty() bool
	// Check returns the verdict on a request and, if it is blamed, for how much longer it
	// is.
	Check(now time.Time, p blame.Fingerprint) (blame.Verdict, time.Duration)
	// Sync exchanges this knowledge between this node and the node at an address. It
	// waits for that, but only briefly.
	Sync(address string)
}

// none is the Blame that blames no request.
type none struct{}

func (none) Empty() bool { return true }

func (none) Check(time.Time, blame.Fingerprint) (blame.Verdict, time.Duration) { return blame.Clear, 0 }

func (none) Sync(string) {}

// checkBlame looks up whether servers have crashed while running the request, and reports
// whether it may be sent. It is called before each attempt, because a server may have
// crashed during the last one.
func (e *Entry) checkBlame(r *request) bool {
	if e.settings.Blame.Empty() {
		return true
	}
	if !r.hasFingerprint {
		r.fingerprint, r.hasFingerprint = blame.FingerprintOf(&r.message), true
	}
	verdict, left := e.settings.Blame.Check(time.Now(), r.fingerprint)
	r.suspect = verdict == blame.Suspect
	r.blamedFor = left
	return verdict != blame.Blamed
}

// pickSuspect chooses a server for a request that is suspected of crashing servers. All
// nodes choose the same server, so that the tries of the request meet there and only one
// of them runs. The service's lock must be held.
func (r *request) pickSuspect(now time.Time) *balance.Server {
	start := string(r.fingerprint[:])
	return r.service.pool.PickByOrder(now, r.tried, func(name string) uint64 { return xxhash.Sum64String(start + name) })
}

// blamedFailure answers a request that is not run because servers have crashed while
// running it.
func blamedFailure(left time.Duration) failure {
	return failure{
		status:     fasthttp.StatusServiceUnavailable,
		outcome:    header.NotRun,
		proxyError: statusUnavailable,
		detail:     "refused: " + wire.ReasonBlamed.String() + ", backend servers have ended under this request",
		retryAfter: left,
		noRetry:    true,
	}
}
