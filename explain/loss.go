// SPDX-License-Identifier: MIT

package explain

import "strings"

// Loss is the reason for which a request was not answered within its aim.
type Loss string

// The losses. Each request has one of them; finishedRequest.loss decides which.
const (
	// LossNone: the request was answered within its aim.
	LossNone Loss = ""
	// CallerLeft: the caller closed its connection before the answer.
	CallerLeft Loss = "caller left"
	// RefusedNoServer to RefusedOther: the request was refused and not run.
	RefusedNoServer Loss = "refused: no server"
	RefusedFull     Loss = "refused: servers full"
	RefusedSlow     Loss = "refused: servers slow"
	RefusedCold     Loss = "refused: servers cold"
	RefusedLimit    Loss = "refused: servers limit their rate"
	RefusedLate     Loss = "refused: could not be in time"
	RefusedLeaving  Loss = "refused: servers leave or their zone is evacuated"
	RefusedCalls    Loss = "refused: no room for the calls that it would make"
	RefusedDeadline Loss = "refused: time was up"
	RefusedStopping Loss = "refused: node stops"
	RefusedKey      Loss = "refused: key not known"
	RefusedQuota    Loss = "refused: tenant above its quota"
	RefusedOldTable Loss = "refused: route or key not known by a table that may be an old one"
	RefusedWrong    Loss = "refused: wrong request, or a route that the table does not know"
	RefusedNoTable  Loss = "refused: node has no table"
	RefusedOther    Loss = "refused: other"
	// FailedTimeout to FailedLost: the request was sent to a server and failed.
	FailedTimeout Loss = "failed: time-out at the server"
	FailedServer  Loss = "failed: error of the server"
	FailedLost    Loss = "failed: answer lost"
	// LateCall to LateOwnWork: the request was answered, but took longer than its aim,
	// for this reason.
	LateCall       Loss = "late: a call within it"
	LateSlow       Loss = "late: began at a slow server"
	LateCold       Loss = "late: began at a cold server"
	LateQueued     Loss = "late: in a gate's queue"
	LateBeforeSend Loss = "late: before it was sent"
	LateOwnWork    Loss = "late: its own work"
	// LateAfterRefusal: this attempt took no longer than its aim, but the caller had been
	// refused before, and the time since its first attempt is longer than the aim.
	LateAfterRefusal Loss = "late: came back after a try that was not served"
)

const (
	// causeShare is the share of a late request's duration from which on time in the
	// queue, or time before it was sent, is the reason for its lateness. The calls that
	// it made are the reason from twice that share on.
	causeShare = 0.25
	// slowPercent and coldPercent are the slowness, in percent of usual, from which on a
	// server counts as slow or cold.
	slowPercent = 300
	coldPercent = 150
)

// finishedRequest is an entry's line about a request, with what other lines say about it.
type finishedRequest struct {
	Line
	// gateRequest is the last line of a gate about an attempt that reached a server; nil
	// if there is none.
	gateRequest *Line
	// callsMillis is the total time of the calls that the request made, in milliseconds.
	callsMillis float64
}

// loss returns the reason for which the request was not answered within its aim.
func (f *finishedRequest) loss() Loss {
	switch f.text("outcome") {
	case "caller-gone":
		return CallerLeft
	case "not-run":
		return f.refusalReason()
	case "unknown":
		if f.number("status") == statusTimeout {
			return FailedTimeout
		}
		return FailedLost
	}
	switch status := f.number("status"); {
	case status == statusTimeout:
		return FailedTimeout
	case status >= statusError:
		return FailedServer
	}
	aim, tookMillis := f.number("aim_ms"), f.number("took_ms")
	switch {
	case aim == 0 || f.number("age_ms")+tookMillis <= aim:
		return LossNone
	case tookMillis <= aim:
		return LateAfterRefusal
	}
	return f.latenessReason()
}

// The status codes that loss distinguishes.
const (
	statusUnknownKey = 401
	statusOverQuota  = 429
	statusError      = 500
	statusTimeout    = 504
)

func (f *finishedRequest) refusalReason() Loss {
	attempts := objects(f.Fields["attempts"])
	if len(attempts) == 0 {
		return f.entryRefusalReason()
	}
	last := Line{Fields: attempts[len(attempts)-1]}
	switch last.text("reason") {
	case "overload", "shed":
		return RefusedFull
	case "slow":
		return RefusedSlow
	case "cold":
		return RefusedCold
	case "rate-limit":
		return RefusedLimit
	case "late":
		return RefusedLate
	case "draining":
		return RefusedLeaving
	case "deadline":
		return RefusedDeadline
	}
	return RefusedOther
}

// entryRefusalReason returns why the entry refused the request without sending it to a
// gate.
func (f *finishedRequest) entryRefusalReason() Loss {
	detail, status := f.text("detail"), f.number("status")
	switch {
	case status == statusUnknownKey:
		return RefusedKey
	case status == statusOverQuota:
		return RefusedQuota
	case status < statusError:
		return RefusedWrong
	case strings.Contains(detail, "refused: calls"):
		return RefusedCalls
	case strings.Contains(detail, "an old one"), strings.Contains(detail, "newest keys"):
		return RefusedOldTable
	case strings.Contains(detail, "stops"):
		return RefusedStopping
	case strings.Contains(detail, "are cold"):
		return RefusedCold
	case strings.Contains(detail, "report rate limits"):
		return RefusedLimit
	case strings.Contains(detail, "no table"):
		return RefusedNoTable
	}
	return RefusedNoServer
}

func (f *finishedRequest) latenessReason() Loss {
	tookMillis := f.number("took_ms")
	slowness, queuedMillis := 0.0, 0.0
	if f.gateRequest != nil {
		slowness, queuedMillis = f.gateRequest.number("began_slowness"), f.gateRequest.number("waited_ms")
	}
	sentAfterMillis := 0.0
	if attempts := objects(f.Fields["attempts"]); len(attempts) > 0 {
		sentAfterMillis = Line{Fields: attempts[len(attempts)-1]}.number("began_ms")
	}
	switch {
	case slowness >= slowPercent:
		return LateSlow
	case f.callsMillis >= 2*causeShare*tookMillis:
		return LateCall
	case slowness >= coldPercent:
		return LateCold
	case queuedMillis >= causeShare*tookMillis:
		return LateQueued
	case sentAfterMillis >= causeShare*tookMillis:
		return LateBeforeSend
	}
	return LateOwnWork
}
