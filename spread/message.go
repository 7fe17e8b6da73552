// SPDX-License-Identifier: MIT

package spread

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/wire"
)

// The questions that nodes ask each other here.
const (
	// TopicDigest carries a digest and is answered with a digestReply.
	TopicDigest wire.Topic = "digest"
	// TopicRecords carries a recordsMessage and is answered with one.
	TopicRecords wire.Topic = "records"
	// TopicTable has no content and is answered with a tableReply.
	TopicTable wire.Topic = "table"
)

// digest is what a node says it has. It is sent every round, so it holds little.
type digest struct {
	Generation table.Generation
	// Hash is the start of the table's hash.
	Hash string
	// ConfirmedMillis is how long ago the generation was confirmed with the
	// store by any node that the sender heard of; -1 when never.
	ConfirmedMillis int64
	// Root sums up all member records.
	Root uint64
	// Host names the sender.
	Host string
}

// hashStart is how much of a table's hash a digest holds, in characters.
const hashStart = 16

// digestReply is the answerer's own digest, with its members' if the roots
// differ.
type digestReply struct {
	Digest  digest
	Members []uint64
}

// recordsMessage carries the member records that the other side lacks.
type recordsMessage struct {
	Records []member.Record
	// Digest and Members are what the sender has.
	Digest  digest
	Members []uint64
}

// tableReply carries a table, its text compressed by DEFLATE.
type tableReply struct {
	Generation table.Generation
	Hash       string
	Deflated   []byte
}

func encode(v any) []byte {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil {
		panic(err) // The messages hold only strings, bytes and numbers.
	}
	return b.Bytes()
}

func decode(payload []byte, v any) error {
	return eris.Wrap(msgpack.Unmarshal(payload, v), "decode control message")
}

func deflate(text []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestCompression)
	if err != nil {
		panic(err) // Only a wrong level fails.
	}
	_, _ = w.Write(text) // A bytes.Buffer takes everything.
	_ = w.Close()
	return b.Bytes()
}

// snapshot unpacks and checks a table from another node as strictly as one
// from the platform.
func (r tableReply) snapshot() (*table.Snapshot, error) {
	limited := io.LimitReader(flate.NewReader(bytes.NewReader(r.Deflated)), table.MaxBytes+1)
	text, err := io.ReadAll(limited)
	if err != nil {
		return nil, eris.Wrap(err, "unpack table")
	}
	s, err := table.NewSnapshot(r.Generation, "table from a node", text)
	if err != nil {
		return nil, err
	}
	if s.Hash != r.Hash || r.Generation == 0 {
		return nil, eris.Errorf("table of generation %d does not match its hash", r.Generation)
	}
	return s, nil
}
