// SPDX-License-Identifier: MIT

package spread

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/peer"
	"github.com/ryehaven/ryehaven/wire"
)

// link is a connection to another node.
type link interface {
	Ask(topic wire.Topic, payload []byte, limit time.Duration) ([]byte, error)
	// Version is the highest protocol version that the other node supports.
	Version() int
}

// dialTo returns a function that connects with a dialer.
func dialTo(d *peer.Dialer) func(address string, limit time.Duration) (link, error) {
	return func(address string, limit time.Duration) (link, error) {
		conn, err := d.Get(address, limit)
		if err != nil {
			return nil, err // A nil *peer.Conn must not become a non-nil link.
		}
		return conn, nil
	}
}

// exchangeAll exchanges digests with several nodes at once and returns how many replied.
func (s *Spread) exchangeAll(targets []member.Record) int {
	var wait sync.WaitGroup
	var answered atomic.Int64
	for _, target := range targets {
		wait.Go(func() {
			if s.exchange(target, false) {
				answered.Add(1)
			}
		})
	}
	wait.Wait()
	return int(answered.Load())
}

// exchange exchanges digests with one node, fetches what this node lacks and reports whether
// the other replied. In a handshake it requests the other's record, and all records only if
// the other knows no other node.
func (s *Spread) exchange(target member.Record, handshake bool) bool {
	s.Counters.Exchanges.Add(1)
	queried := time.Now()
	l, reply, err := s.queryDigest(target, handshake)
	now := time.Now()
	if err != nil {
		s.Counters.ExchangeFailures.Add(1)
		s.View(func(v *member.View) { v.MarkUnreachable(now, target.Host) })
		wake(s.unreached)
		return false
	}
	s.noteExchange(now)
	s.View(func(v *member.View) { v.MarkReachable(target.Host) })
	s.applyDigest(now, reply.Digest)
	s.applyProof(queried, reply.Digest)
	s.syncBlame(l, target.Host, s.settings.QueryTimeout, false)
	s.syncCalls(l, reply.Digest)
	if len(reply.Records) > 0 {
		s.merge(now, reply.Records)
	}
	if err := s.reconcile(l, reply); err != nil {
		s.Counters.ExchangeFailures.Add(1)
		return true // The next round tries another node.
	}
	if s.holder.Evaluate(reply.Digest.Generation, reply.Digest.Hash) == Accepted && reply.Digest.Generation > 0 {
		s.pull(l, reply.Digest.Host)
	}
	return true
}

func (s *Spread) queryDigest(target member.Record, handshake bool) (link, digestReply, error) {
	var reply digestReply
	l, err := s.connect(target.Address, s.settings.QueryTimeout)
	if err != nil {
		return nil, reply, err
	}
	d := s.digestFor(time.Now(), knowsCalls(l))
	d.Handshake = handshake
	err = s.query(l, target.Host, TopicDigest, &d, &reply)
	return l, reply, err
}

// query sends a query to a node and decodes its reply.
func (s *Spread) query(l link, host string, topic wire.Topic, request, reply any) error {
	payload := wire.EncodeControl(request)
	s.countSent(host, len(payload))
	answer, err := l.Ask(topic, payload, s.settings.QueryTimeout)
	if err != nil {
		return err
	}
	return decode(answer, reply)
}

// sparseFactor is how many times more records than the other node this one must have to
// request the other's version entries rather than send its own.
const sparseFactor = 2

// reconcile sends a node the records that it lacks and fetches those that this node lacks.
func (s *Spread) reconcile(l link, reply digestReply) error {
	host := reply.Digest.Host
	previous := s.previousIncarnationOf(host)
	buckets := member.BucketSet(0)
	if len(reply.Sums) > 0 {
		s.View(func(v *member.View) { buckets = v.Digest().Differing(reply.Sums) })
	}
	if buckets == 0 {
		return s.sendRecords(l, host, recordsMessage{Records: previous})
	}
	if _, known := s.sums(); known > sparseFactor*reply.RecordCount {
		return s.reconcileSparse(l, host, buckets, previous)
	}
	var missing recordsMessage
	if err := s.query(l, host, TopicCompare, s.versionEntries(buckets), &missing); err != nil {
		return err
	}
	s.merge(time.Now(), missing.Records)
	return s.sendRecords(l, host, recordsMessage{Records: append(s.recordsOf(missing.Wanted), previous...)})
}

// reconcileSparse reconciles with a node that has far fewer records, by requesting its version
// entries.
func (s *Spread) reconcileSparse(l link, host string, buckets member.BucketSet, previous []member.Record) error {
	var theirs versionsMessage
	request := versionsMessage{Host: s.self().Host, Buckets: buckets}
	if err := s.query(l, host, TopicVersionEntries, &request, &theirs); err != nil {
		return err
	}
	m := s.compare(&theirs)
	m.Records = append(m.Records, previous...)
	return s.sendRecords(l, host, *m)
}

// sendRecords sends records to a node, if there are any to send or to request, and merges the
// requested ones.
func (s *Spread) sendRecords(l link, host string, m recordsMessage) error {
	if len(m.Records)+len(m.Wanted) == 0 {
		return nil
	}
	m.Digest = s.digest(time.Now())
	var requested recordsMessage
	if err := s.query(l, host, TopicRecords, &m, &requested); err != nil {
		return err
	}
	if len(requested.Records) > 0 {
		s.merge(time.Now(), requested.Records)
	}
	return nil
}

// pushOwnRecord sends this node's own record to several nodes at once.
func (s *Spread) pushOwnRecord(targets []member.Record) {
	m := recordsMessage{Records: []member.Record{s.self()}}
	var wait sync.WaitGroup
	for _, target := range targets {
		wait.Go(func() { s.push(target, m) })
	}
	wait.Wait()
}

func (s *Spread) push(target member.Record, m recordsMessage) {
	l, err := s.connect(target.Address, s.settings.QueryTimeout)
	if err == nil {
		err = s.sendRecords(l, target.Host, m)
	}
	if err != nil {
		s.Counters.ExchangeFailures.Add(1)
		s.View(func(v *member.View) { v.MarkUnreachable(time.Now(), target.Host) })
	}
}

// runTablePulls fetches tables from nodes whose digests had a newer generation.
func (s *Spread) runTablePulls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-s.pullRequests:
			if l, err := s.connect(address, s.settings.QueryTimeout); err == nil {
				s.pull(l, address)
			}
		}
	}
}

// pull fetches the table of another node.
func (s *Spread) pull(l link, host string) {
	payload, err := l.Ask(TopicTable, nil, s.settings.QueryTimeout)
	if err != nil {
		return // The node was busy or its connection was lost; the next round tries another.
	}
	var reply tableReply
	if err := decode(payload, &reply); err != nil {
		s.badTable(host, err)
		return
	}
	if s.holder.Evaluate(reply.Generation, reply.Hash) != Accepted {
		return
	}
	snapshot, err := reply.snapshot()
	if err != nil {
		s.badTable(host, err)
		return
	}
	s.Counters.TablesPulled.Add(1)
	s.offer(snapshot, "node "+host)
}

func (s *Spread) badTable(source string, err error) {
	if s.Counters.BadTables.Add(1) == 1 {
		s.log.Warn("invalid table refused", zap.String("source", source), zap.Error(err))
	}
}
