// SPDX-License-Identifier: MIT

package wire

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Requirements describes a request to the gate, which schedules by it: when the response is
// due and how much work the request is. Times are in milliseconds to keep the encoding
// short, since almost every request carries one.
type Requirements struct {
	// AimMillis is the time that remained, when the request was sent, of its latency
	// objective (aim), within which the response has its full value. It is negative once
	// the objective has been missed, and 0 if there is none.
	AimMillis int64
	// WorkMillis is the usual duration of such a request at a server of usual speed; 0 if
	// that is not known.
	WorkMillis int64
	// AgeMillis is the time since the caller's first attempt of the request, as far as the
	// entry can determine.
	AgeMillis int64
	// LowerQuartileMillis is the lower quartile of the duration of such requests at a server
	// of usual speed; 0 if that is not known.
	LowerQuartileMillis int64
	// RateLimit is the limit that the server has reported, as far as the entry knows; 0 if
	// none. A gate that has read no response of its server yet enforces it.
	RateLimit RateLimit
}

// RateLimit is a limit on the rate of requests that a server reports: thousandths of a request per
// second plus one. Other values are NoRateLimit and UnknownRateLimit.
type RateLimit int64

const (
	// UnknownRateLimit: the sender does not know whether the server reports a limit.
	UnknownRateLimit RateLimit = 0
	// NoRateLimit: the server reports no limit.
	NoRateLimit RateLimit = -1
)

// maxRateLimit is the highest limit in requests per second; higher ones are sent as this.
const maxRateLimit = 1e6

// NewRateLimit returns the RateLimit for a number of requests per second.
func NewRateLimit(perSecond float64) RateLimit {
	return RateLimit(min(max(perSecond, 0), maxRateLimit)*1000) + 1
}

// PerSecond returns the limit in requests per second; limited is false if there is none or it is
// not known.
func (l RateLimit) PerSecond() (perSecond float64, limited bool) {
	if l <= 0 {
		return 0, false
	}
	return min(float64(l-1)/1000, maxRateLimit), true
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Requirements) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeNumbers(d, 3, &r.AimMillis, &r.WorkMillis, &r.AgeMillis, &r.LowerQuartileMillis, (*int64)(&r.RateLimit))
}

// Headroom reports to entries, without a request for it, which requests the backend server
// that announced itself to the sender can still take. It is sent on each change.
type Headroom struct {
	// AdmittedPriorities is the number of priorities, beginning with the most urgent one,
	// whose client requests are admitted. Client requests of the other priorities are refused.
	AdmittedPriorities int64
	// CallWaitMillis is the time that calls made by running requests are queued for the
	// server.
	CallWaitMillis int64
	// ColdMillis is the time until the server is no longer cold; 0 if it is not cold.
	ColdMillis int64
	// TokenIntervalMillis is the time between two requests that the server is sent while it
	// is cold or reports a limit; 0 if their rate is not bounded.
	TokenIntervalMillis int64
	// The time that a further request would wait until it is sent to such a server: a
	// call, and a client request by priority. A negative value means that requests can be
	// sent at once, one for each TokenIntervalMillis below zero in addition to the first.
	CallTokenWaitMillis, UrgentTokenWaitMillis, NormalTokenWaitMillis, BulkTokenWaitMillis int64
	// RateLimit is the limit that the server reports. Like a cold server, it is then sent one
	// request for each TokenIntervalMillis.
	RateLimit RateLimit
}

// RateBounded reports whether the rate of requests to the server is bounded.
func (h *Headroom) RateBounded() bool {
	_, limited := h.RateLimit.PerSecond()
	return limited || h.ColdMillis > 0
}

// HeadroomLevels is the number of token waits in Headroom: one for calls and one for each
// priority of client requests.
const HeadroomLevels = 4

// TokenWaits returns the token waits: that of calls first, then those of the priorities.
func (h *Headroom) TokenWaits() [HeadroomLevels]*int64 {
	return [HeadroomLevels]*int64{&h.CallTokenWaitMillis, &h.UrgentTokenWaitMillis, &h.NormalTokenWaitMillis, &h.BulkTokenWaitMillis}
}

// After returns the headroom some time after h was reported, if no other report has followed.
func (h Headroom) After(elapsed time.Duration) Headroom {
	elapsedMillis := max(elapsed.Milliseconds(), 0)
	h.ColdMillis = max(h.ColdMillis-elapsedMillis, 0)
	if !h.RateBounded() {
		h.TokenIntervalMillis = 0
	}
	for _, wait := range h.TokenWaits() {
		switch {
		case h.TokenIntervalMillis <= 0:
			*wait = 0
		case *wait > 0:
			*wait = max(*wait-elapsedMillis, 0)
		}
	}
	return h
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (h *Headroom) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeNumbers(d, 3, &h.AdmittedPriorities, &h.CallWaitMillis, &h.ColdMillis, &h.TokenIntervalMillis,
		&h.CallTokenWaitMillis, &h.UrgentTokenWaitMillis, &h.NormalTokenWaitMillis, &h.BulkTokenWaitMillis, (*int64)(&h.RateLimit))
}

// Kind implements Message.
func (*Headroom) Kind() Kind { return KindHeadroom }

// ErrNumberCount is returned for an array of numbers with too few or too many elements.
var ErrNumberCount = eris.New("wrong number of elements in an array of numbers")

// maxNumbers limits the length of an array of numbers, to which newer builds may have added
// elements.
const maxNumbers = 64

// decodeNumbers decodes an array of at least minNumbers numbers. Elements that a newer build
// has added at the end are skipped, and those that an older build did not send become 0.
func decodeNumbers(d *msgpack.Decoder, minNumbers int, fields ...*int64) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < minNumbers || n > maxNumbers {
		return eris.Wrapf(ErrNumberCount, "%d, want %d to %d", n, minNumbers, maxNumbers)
	}
	for i, field := range fields {
		if *field = 0; i >= n {
			continue
		}
		if *field, err = d.DecodeInt64(); err != nil {
			return err
		}
	}
	for range max(n-len(fields), 0) {
		if err := d.Skip(); err != nil {
			return err
		}
	}
	return nil
}
