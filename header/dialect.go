// SPDX-License-Identifier: MIT

package header

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Dialect names the header fields that the callers and backend servers of one deployment
// exchange with the nodes. A blank name means that the deployment does not use the field.
type Dialect struct {
	// Deadline, Repeatable and Priority are set by the caller; see the constants of these
	// names.
	Deadline   string
	Repeatable string
	Priority   string
	// RequestID identifies a request. The server returns it in its response.
	RequestID string
	// Caller tells the server from which service's host the request was sent.
	Caller string
	// Tenant tells the server which tenant sent the request.
	Tenant string
	// ExpectServer is the ID of the server that a request is meant for. Any other server
	// answers with status 421 and does not run the request.
	ExpectServer string
	// ServerID is the ID of the server that answers a probe.
	ServerID string
	// NotRun in a response says that the server did not run the request.
	NotRun string
	// Load in a response is the server's current load; see [ParseLoad].
	Load string
	// Cold in the response to a probe is how much longer the server is cold, in
	// milliseconds. A response without it means that the server is warm. The name is blank
	// if servers do not report this.
	Cold string
	// RateLimit in a response is the number of requests per second that the server accepts
	// in total, as long as its responses have the field; see [ParseRateLimit].
	RateLimit string
	// Leaving in a response is "1" if the server is about to stop and must get no more
	// requests. Both fields are forwarded to callers.
	Leaving string
	// Seal is the server's signature. A response with a status below 500 is not accepted
	// without it.
	Seal string
	// Exact says that callers accept Retry-After in fractions of a second, and take status
	// 408, 421, 429 and 503 as a guarantee that the request has not run.
	Exact bool

	// request and response are the names, in lower case, of the fields that nodes don't
	// forward in requests and responses.
	request  []string
	response []string
}

// DefaultDialect returns the dialect that docs/CALLERS.md and docs/BACKENDS.md describe.
func DefaultDialect() Dialect {
	return Dialect{Deadline: Deadline, Repeatable: Repeatable, Priority: Priority}
}

// Prepare must be called after the names are set and before other methods.
func (d *Dialect) Prepare() {
	d.request = lowerAll(d.Deadline, d.Repeatable, d.Priority, d.RequestID, d.Caller, d.Tenant, d.ExpectServer, d.NotRun, d.ServerID, d.Load, d.Cold)
	d.response = lowerAll(d.RequestID, d.NotRun, d.ServerID, d.Load, d.Cold)
}

// Strict reports whether the dialect has request IDs. The gate then accepts a server's response
// only if it has the ID of its request and follows the other rules of the dialect.
func (d *Dialect) Strict() bool { return d.RequestID != "" }

// requestFields returns the names, in lower case, of the fields that nodes read from or set
// in requests themselves.
func (d *Dialect) requestFields() []string { return d.request }

func (d *Dialect) responseFields() []string { return d.response }

func lowerAll(names ...string) []string {
	var lower []string
	for _, name := range names {
		if name != "" {
			lower = append(lower, strings.ToLower(name))
		}
	}
	return lower
}

// Load is the load that a server reports.
type Load struct {
	// Running and Waiting are the numbers of running and of queued requests. Slots is how many
	// requests the server runs concurrently.
	Running, Waiting, Slots int
	// Slowness is how long requests take now, in percent of the usual time; 0 if not
	// reported.
	Slowness int
}

// maxLoadValue bounds the plausible values of the numbers in a load report, of which the
// slowness is in percent.
const maxLoadValue = 100_000

// maxCold is the longest plausible cold time of a server.
const maxCold = time.Hour

// ParseCold parses how much longer a server is cold, in milliseconds. A blank value means
// that it is warm.
func ParseCold(text string) (left time.Duration, ok bool) {
	if text == "" {
		return 0, true
	}
	ms, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(ms >= 0 && ms <= float64(maxCold.Milliseconds())) {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// maxRateLimit bounds a rate limit, in requests per second; higher ones count as this.
const maxRateLimit = 1e6

// ParseRateLimit parses the values of the rate limit fields of one response, in requests per
// second. Of several valid values the lowest applies; reported is false if there is none. ok is
// false if any value is invalid.
func ParseRateLimit[T ~string | ~[]byte](values ...T) (perSecond float64, reported, ok bool) {
	ok = true
	for _, text := range values {
		v, err := strconv.ParseFloat(strings.TrimSpace(string(text)), 64)
		if err != nil || !(v >= 0) || math.IsInf(v, 0) {
			ok = false
			continue
		}
		if v = min(v, maxRateLimit); !reported || v < perSecond {
			perSecond, reported = v, true
		}
	}
	return perSecond, reported, ok
}

// IsLeaving reports whether the value of a leaving field says that the server is leaving.
func IsLeaving[T ~string | ~[]byte](value T) bool { return strings.TrimSpace(string(value)) == "1" }

// ParseLoad parses "running,waiting,slots" or "running,waiting,slots,slowness".
func ParseLoad(text string) (Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 && len(parts) != 4 {
		return Load{}, false
	}
	var n [4]int
	for i, part := range parts {
		v, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
		if err != nil || !(v >= 0 && v <= maxLoadValue) {
			return Load{}, false
		}
		n[i] = int(v)
	}
	return Load{Running: n[0], Waiting: n[1], Slots: n[2], Slowness: n[3]}, true
}
