// SPDX-License-Identifier: MIT

package quota

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ryehaven/ryehaven/wire"
)

// Topic is the topic of queries. Each is answered with a reply.
const Topic wire.Topic = "quota"

// purpose is the kind of a query.
type purpose uint8

const (
	// acquire requests tokens from the owner in the own zone.
	acquire purpose = iota
	// forwarded is an acquire query that was forwarded by a node that is not the owner.
	forwarded
	// lend requests tokens from the owner in another zone, from its bucket alone.
	lend
)

// query requests tokens for a tenant's requests.
type query struct {
	Tenant  string
	Purpose purpose
	Want    int
	// Rate and Burst are the quota in the sender's table, for an owner whose table does not
	// have the tenant yet.
	Rate, Burst int
	// Yielding is how many of the wanted requests yield to the others while tokens are
	// scarce; these are the last ones. Scheduled is how many of the yielding ones, again the
	// last, have a retry time already. Both fields are omitted if no request yields, since
	// nodes of an older build can't decode them.
	Yielding, Scheduled int
}

// baseFields is the number of encoded fields of a query without yielding requests, allFields
// that of one with them. maxFields bounds the fields that a newer build may send.
const (
	baseFields = 5
	allFields  = baseFields + 2
	maxFields  = 64
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (m *query) EncodeMsgpack(e *msgpack.Encoder) error {
	fields := []any{m.Tenant, m.Purpose, m.Want, m.Rate, m.Burst, m.Yielding, m.Scheduled}
	if m.Yielding == 0 {
		fields = fields[:baseFields]
	}
	if err := e.EncodeArrayLen(len(fields)); err != nil {
		return err
	}
	return e.EncodeMulti(fields...)
}

// DecodeMsgpack implements msgpack.CustomDecoder. Fields that a newer build has added are
// skipped.
func (m *query) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < baseFields || n > maxFields {
		return eris.Errorf("a question for a quota has %d fields", n)
	}
	fields := []any{&m.Tenant, &m.Purpose, &m.Want, &m.Rate, &m.Burst, &m.Yielding, &m.Scheduled}
	known := fields[:min(n, len(fields))]
	if n < allFields {
		known = fields[:baseFields]
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

// valid reports whether the numbers in another node's query are in range.
func (m *query) valid() bool {
	return m.Want >= 0 && m.Rate >= 0 && m.Burst >= 0 && m.Purpose <= lend &&
		0 <= m.Scheduled && m.Scheduled <= m.Yielding && m.Yielding <= m.Want
}

// remaining returns the query for those requests that have no token yet.
func (m *query) remaining(granted int) query {
	next := *m
	next.Want -= granted
	next.Yielding = min(m.Yielding, next.Want)
	next.Scheduled = min(m.Scheduled, next.Want)
	return next
}

// onTime returns how many of the wanted requests don't yield.
func (m *query) onTime() int { return m.Want - m.Yielding }

// reply is how many requests are admitted. The first of the others should be retried
// after FirstRetryMicros, and each further one RetryStepMicros later.
type reply struct {
	Granted                           int
	FirstRetryMicros, RetryStepMicros int64
}
