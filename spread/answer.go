// SPDX-License-Identifier: MIT

package spread

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/wire"
)

// HandleQuery replies to a query of another node; ok is false if the topic is not one of this
// package.
func (s *Spread) HandleQuery(topic wire.Topic, payload []byte) (reply []byte, ok bool, err error) {
	from := ""
	switch topic {
	case TopicDigest:
		from, reply, err = s.answerDigest(payload)
	case TopicVersionEntries:
		from, reply, err = s.answerVersions(payload)
	case TopicCompare:
		from, reply, err = s.answerCompare(payload)
	case TopicRecords:
		from, reply, err = s.answerRecords(payload)
	case TopicTable:
		reply, err = s.answerTable()
		return reply, true, err
	case TopicRankCheck:
		wake(s.unreached)
		return nil, true, nil
	case TopicBlame:
		reply, err = s.answerBlame(payload)
		return reply, true, err
	case TopicCalls:
		reply, err = s.answerCalls(payload)
		return reply, true, err
	default:
		return nil, false, nil
	}
	s.countSent(from, len(reply))
	return reply, true, err
}

func (s *Spread) answerDigest(payload []byte) (from string, reply []byte, err error) {
	var d digest
	if err := decode(payload, &d); err != nil {
		return "", nil, err
	}
	now := time.Now()
	compareAll := !d.Handshake || s.acceptsHandshake(now)
	s.noteExchange(now)
	s.applyDigest(now, d)
	s.requestPull(d)
	r := digestReply{Digest: s.digestFor(now, d.Calls != 0), Records: s.previousIncarnationOf(d.Host)}
	if d.Handshake {
		r.Records = append(r.Records, s.self())
	}
	if r.Digest.Root != d.Root && compareAll {
		r.Sums, r.RecordCount = s.sums()
	}
	return d.Host, wire.EncodeControl(&r), nil
}

// acceptsHandshake reports whether a node that sent a handshake may compare all records with
// this one: one node at a time, and only while this node is isolated.
func (s *Spread) acceptsHandshake(now time.Time) bool {
	if !s.isolated(now) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastHandshakeSync) < s.settings.QueryTimeout {
		return false
	}
	s.lastHandshakeSync = now
	return true
}

// requestPull requests the table of a digest's sender if it is newer. The sender's address
// must already be known from its record.
func (s *Spread) requestPull(d digest) {
	record, known := s.recordOf(d.Host)
	if !known || d.Generation == 0 || s.holder.Evaluate(d.Generation, d.Hash) != Accepted {
		return
	}
	select {
	case s.pullRequests <- record.Address:
	default: // Another pull is pending; the next round requests this one again.
	}
}

// sums returns the checksums of all buckets of member records and the number of records.
func (s *Spread) sums() (member.TruncatedDigest, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Digest().Truncate(), s.view.Len()
}

func (s *Spread) answerVersions(payload []byte) (from string, reply []byte, err error) {
	var m versionsMessage
	if err := decode(payload, &m); err != nil {
		return "", nil, err
	}
	return m.Host, wire.EncodeControl(s.versionEntries(m.Buckets)), nil
}

// versionEntries returns the version entries of this node's records in some buckets.
func (s *Spread) versionEntries(buckets member.BucketSet) *versionsMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &versionsMessage{Host: s.view.Self().Host, Buckets: buckets, Entries: s.view.VersionEntries(buckets)}
}

func (s *Spread) answerCompare(payload []byte) (from string, reply []byte, err error) {
	var m versionsMessage
	if err := decode(payload, &m); err != nil {
		return "", nil, err
	}
	return m.Host, wire.EncodeControl(s.compare(&m)), nil
}

// maxRecordsPerMessage bounds the member records in one message; each takes about 80 bytes.
const maxRecordsPerMessage = 256

// compare returns the records that another node lacks according to its version entries, and
// the hosts whose records this node lacks.
func (s *Spread) compare(theirs *versionsMessage) *recordsMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.view.Compare(theirs.Buckets, theirs.Entries, int(s.rng.Uint32()), maxRecordsPerMessage)
	return &recordsMessage{Records: c.Records, Wanted: c.Wanted}
}

// answerRecords merges records and replies with those that the sender requested.
func (s *Spread) answerRecords(payload []byte) (from string, reply []byte, err error) {
	var m recordsMessage
	if err := decode(payload, &m); err != nil {
		return "", nil, err
	}
	now := time.Now()
	s.merge(now, m.Records)
	s.applyDigest(now, m.Digest)
	s.requestPull(m.Digest)
	return m.Digest.Host, wire.EncodeControl(&recordsMessage{Records: s.recordsOf(m.Wanted)}), nil
}

// recordsOf returns the records of the hosts with the given name hashes.
func (s *Spread) recordsOf(hosts []uint64) []member.Record {
	if len(hosts) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.RecordsByHash(hosts)
}

// self returns this node's own record.
func (s *Spread) self() member.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Self()
}

// previousIncarnationOf returns the record of a node's previous incarnation if that node needs
// it.
func (s *Spread) previousIncarnationOf(host string) []member.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if previous, ok := s.view.PastRecordOf(host); ok {
		return []member.Record{previous}
	}
	return nil
}

// countSent counts payload bytes sent to a host.
func (s *Spread) countSent(host string, bytes int) {
	s.mu.Lock()
	record, known := s.view.Record(host)
	near := known && record.Zone == s.view.Self().Zone
	s.mu.Unlock()
	if near {
		s.Counters.NearBytes.Add(int64(bytes))
	} else {
		s.Counters.FarBytes.Add(int64(bytes))
	}
}

// errBusy refuses to send a table because the byte budget is spent. Its text is sent to the
// querying node.
var errBusy = eris.New("busy: ask another node or later")

func (s *Spread) answerTable() ([]byte, error) {
	current := s.holder.Current()
	if current == nil {
		return nil, eris.New("this node has no table")
	}
	s.mu.Lock()
	if s.compressed.Generation != current.Generation {
		s.compressed = tableReply{Generation: current.Generation, Hash: current.Hash, Deflated: deflate(current.Text)}
	}
	reply := s.compressed
	s.mu.Unlock()
	// A table larger than the burst may be sent when the whole burst is available.
	cost := min(len(reply.Deflated), s.tableLimiter.Burst())
	if !s.tableLimiter.AllowN(time.Now(), cost) {
		s.Counters.TablesDeferred.Add(1)
		return nil, errBusy
	}
	s.Counters.TablesServed.Add(1)
	return wire.EncodeControl(&reply), nil
}
