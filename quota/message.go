// SPDX-License-Identifier: MIT

package quota

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ryehaven/ryehaven/wire"
)

// Topic carries a question and is answered with a reply.
const Topic wire.Topic = "quota"

// purpose is what a question asks for.
type purpose uint8

const (
	// take asks the keeper of the own zone to pay for requests.
	take purpose = iota
	// passed is take, passed on by a node that is not the keeper.
	passed
	// lend asks the keeper of another zone to pay from what it has.
	lend
)

// question asks that a tenant's requests are paid for.
type question struct {
	Tenant  string
	Purpose purpose
	Want    int
	// Rate and Burst are the quota as the asker's table has it, for a keeper whose table
	// does not know the tenant yet.
	Rate, Burst int
	// Yield is how many of the wanted, the last, yield to others while there is too little,
	// and Placed how many of these, the last, know when to come back. They are left out
	// where none yields: a node of an older build can't read them.
	Yield, Placed int
}

// plainFields are the fields of a question in which none yields, and mostFields bounds
// those that a newer build may send.
const (
	plainFields = 5
	allFields   = plainFields + 2
	mostFields  = 64
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (m *question) EncodeMsgpack(e *msgpack.Encoder) error {
	fields := []any{m.Tenant, m.Purpose, m.Want, m.Rate, m.Burst, m.Yield, m.Placed}
	if m.Yield == 0 {
		fields = fields[:plainFields]
	}
	if err := e.EncodeArrayLen(len(fields)); err != nil {
		return err
	}
	return e.EncodeMulti(fields...)
}

// DecodeMsgpack implements msgpack.CustomDecoder. What a newer build has added is passed
// over.
func (m *question) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < plainFields || n > mostFields {
		return eris.Errorf("a question for a quota has %d fields", n)
	}
	fields := []any{&m.Tenant, &m.Purpose, &m.Want, &m.Rate, &m.Burst, &m.Yield, &m.Placed}
	known := fields[:min(n, len(fields))]
	if n < allFields {
		known = fields[:plainFields]
	}
	if err := d.DecodeMulti(known...); err != nil {
		return err
	}
	for range n - len(known) {
		if err := d.Skip(); err != nil {
			return err
		}
	}
	return nil
}

// valid reports whether a question of another node makes sense.
func (m *question) valid() bool {
	return m.Want >= 0 && m.Rate >= 0 && m.Burst >= 0 && m.Purpose <= lend &&
		0 <= m.Placed && m.Placed <= m.Yield && m.Yield <= m.Want
}

// rest is the question for those of the wanted that are not paid for yet.
func (m *question) rest(paid int) question {
	next := *m
	next.Want -= paid
	next.Yield = min(m.Yield, next.Want)
	next.Placed = min(m.Placed, next.Want)
	return next
}

// first is how many of the wanted don't yield.
func (m *question) first() int { return m.Want - m.Yield }

// reply says how many requests are paid for, and when the others should come back.
type reply struct {
	Paid                    int
	FirstMicros, StepMicros int64
}
