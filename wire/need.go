// SPDX-License-Identifier: MIT

package wire

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Need is what an entry tells a gate of a request so that it can be scheduled: when the
// answer is due and what it takes. Times are in milliseconds, since it rides on every
// request.
type Need struct {
	// AimMillis is what is left of the time within which the answer is worth its full
	// value, when the request is sent: negative once that has passed, 0 if there is no
	// such time.
	AimMillis int64
	// WorkMillis is what such a request usually takes at a server of usual speed; 0 if
	// that is not known.
	WorkMillis int64
	// AgeMillis is how long before this try its caller first asked, as far as the entry
	// can tell.
	AgeMillis int64
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (n *Need) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeNumbers(d, &n.AimMillis, &n.WorkMillis, &n.AgeMillis)
}

// Room tells entries unasked for which requests there is room now at the one backend
// server that announced itself to the sender. It is sent when that changes.
type Room struct {
	// Levels is how many levels of urgency find room, the most urgent first; callers'
	// requests of all others are turned away.
	Levels int64
	// CallWaitMillis is how long calls of running requests wait for the server.
	CallWaitMillis int64
	// ColdMillis is for how much longer the server is cold; 0 once it is warm.
	ColdMillis int64
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Room) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeNumbers(d, &r.Levels, &r.CallWaitMillis, &r.ColdMillis)
}

// Kind implements Message.
func (*Room) Kind() Kind { return KindRoom }

// ErrNumbers says that an array has fewer numbers than the message must have.
var ErrNumbers = eris.New("array has too few numbers")

// maxNumbers bounds the numbers that a newer build may have added.
const maxNumbers = 64

// decodeNumbers reads an array of numbers. Those that a newer build has added at its end
// are passed over.
func decodeNumbers(d *msgpack.Decoder, into ...*int64) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < len(into) || n > maxNumbers {
		return eris.Wrapf(ErrNumbers, "%d, known are %d", n, len(into))
	}
	for _, at := range into {
		if *at, err = d.DecodeInt64(); err != nil {
			return err
		}
	}
	for range n - len(into) {
		if err := d.Skip(); err != nil {
			return err
		}
	}
	return nil
}
