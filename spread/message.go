// SPDX-License-Identifier: MIT

package spread

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/store"
	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/wire"
)

// The topics of the queries that nodes send each other in this package.
const (
	// TopicDigest is the topic of a query with a digest; the reply is a digestReply.
	TopicDigest wire.Topic = "digest"
	// TopicVersionEntries is the topic of a query with a versionsMessage; the reply is one
	// too.
	TopicVersionEntries wire.Topic = "marks"
	// TopicCompare is the topic of a query with a versionsMessage; the reply is a
	// recordsMessage.
	TopicCompare wire.Topic = "compare"
	// TopicRecords is the topic of a query with a recordsMessage; the reply is one too.
	TopicRecords wire.Topic = "records"
	// TopicTable is the topic of an empty query; the reply is a tableReply.
	TopicTable wire.Topic = "table"
	// TopicRankCheck is the topic of an empty query with an empty reply: the receiver checks
	// whether it can reach the nodes before it in rank.
	TopicRankCheck wire.Topic = "rank"
)

// digest summarizes the state of a node: its table, member records and evacuations. It is sent
// in every round, so it is small.
type digest struct {
	Generation table.Generation
	// Hash is a prefix of the table's hash, hashPrefixLength characters long.
	Hash string
	// ConfirmedMillis is how long ago the store last confirmed the generation, to the sender
	// or to a node from which the confirmation reached it; -1 if never.
	ConfirmedMillis int64
	// Root is a checksum of all member records.
	Root uint64
	// Host is the sender.
	Host string
	// Handshake is set if the sender has just found a new incarnation of the receiver on a
	// connection (see Spread.handshake). The sender then requests the receiver's record, and
	// compares all records only if the receiver knows no other node.
	Handshake bool
	// Evacuations are those in force at the sender. They take only a few bytes, so they need
	// no query of their own.
	Evacuations store.Evacuations
	// ProvenMillis is how long ago the generation was proven to be the newest; 0 if it never
	// was.
	ProvenMillis int64
	// Calls is a checksum of the sender's records of the calls of routes; 0 if the sender does
	// not support TopicCalls. A digest with 0 is encoded without the field, because a node of
	// an older build can't decode it.
	Calls uint64
}

// hashPrefixLength is the number of characters of a table's hash that a digest holds.
const hashPrefixLength = 16

// digestReply holds the digest of the node that replies.
type digestReply struct {
	Digest digest
	// Sums are the checksums of the replying node's records by bucket, sent if the roots
	// differ. RecordCount is the number of these records.
	Sums        member.TruncatedDigest
	RecordCount int
	// Records are sent whether or not the roots differ: the receiver's own record of an
	// earlier incarnation, and the replying node's record if the query was a handshake.
	Records []member.Record
}

// versionsMessage holds the version entries of the sender's records in some buckets. A query
// that requests version entries has none itself.
type versionsMessage struct {
	// Host is the sender.
	Host    string
	Buckets member.BucketSet
	Entries []member.VersionEntry
}

// recordsMessage holds member records that the receiver lacks, and hashes of the names of
// hosts whose records the sender lacks.
type recordsMessage struct {
	// Digest is the sender's. A receiver that did not know the sender learns its address from
	// Records, and only then can fetch its table.
	Digest  digest
	Records []member.Record
	Wanted  []uint64
}

// tableReply holds a table; its text is compressed with DEFLATE.
type tableReply struct {
	Generation table.Generation
	Hash       string
	Deflated   []byte
}

func decode(payload []byte, v any) error {
	return eris.Wrap(msgpack.Unmarshal(payload, v), "decode control message")
}

func deflate(text []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestCompression)
	if err != nil {
		panic(err) // NewWriter fails only for an invalid level.
	}
	_, _ = w.Write(text) // Writing to a bytes.Buffer never fails.
	_ = w.Close()
	return b.Bytes()
}

// snapshot decompresses a table received from another node and validates it as strictly as a
// table from the platform.
func (r tableReply) snapshot() (*table.Snapshot, error) {
	limited := io.LimitReader(flate.NewReader(bytes.NewReader(r.Deflated)), table.MaxBytes+1)
	text, err := io.ReadAll(limited)
	if err != nil {
		return nil, eris.Wrap(err, "decompress table")
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
