// SPDX-License-Identifier: MIT

package spread

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/peer"
	"github.com/ryehaven/ryehaven/store"
	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/wire"
)

// Settings of a Spread.
type Settings struct {
	// Seeds are addresses of peer ports to ask while no node is known.
	Seeds []string
	// Interval is the time between two rounds of digests.
	Interval time.Duration
	// AskLimit bounds each question to another node, with the connecting.
	AskLimit time.Duration
	// WatchWait is how long a watch at the platform waits.
	WatchWait time.Duration
	// StaleAfter is the confirmation's age at which nodes without a watch
	// begin to poll.
	StaleAfter time.Duration
	// PollEvery is the time between two polls of a node without a watch.
	PollEvery time.Duration
	// Register makes the node known in the store's list of hosts, which then
	// holds what nodes say of themselves.
	Register bool
	// HostsEvery is the time between two readings of the list of hosts.
	HostsEvery time.Duration
	// TableBytesPerSecond bounds the bytes of tables given to other nodes.
	TableBytesPerSecond int
}

// Counters counts what a Spread did.
type Counters struct {
	// Exchanges counts digests sent, ExchangeFailures those not answered.
	Exchanges, ExchangeFailures atomic.Int64
	// TablesPulled and TablesServed count tables from and to other nodes;
	// TablesDeferred those not served for want of budget.
	TablesPulled, TablesServed, TablesDeferred atomic.Int64
	// BadTables counts tables that did not pass their checks.
	BadTables atomic.Int64
	// RecordsReceived counts member records.
	RecordsReceived atomic.Int64
	// PlatformReads counts reads and watches, PlatformErrors those that
	// failed.
	PlatformReads, PlatformErrors atomic.Int64
}

// Spread is one node's part in spreading tables and records.
type Spread struct {
	Counters Counters

	settings Settings
	log      *zap.Logger
	holder   *Holder
	dialer   *peer.Dialer
	platform store.Client
	// onView is called, without locks held, when the view changed.
	onView func()
	served *rate.Limiter
	news   chan struct{}
	pulls  chan string
	// registered is closed once the node is known in the store.
	registered chan struct{}
	// reached tells when the store is lost and regained.
	reached dependency

	mu        sync.Mutex
	view      *member.View
	rng       *rand.Rand
	confirmed time.Time
	// ownConfirmed is when this node confirmed it, and othersConfirmed when
	// another one did.
	ownConfirmed, othersConfirmed time.Time
	// exchanged is when digests were last exchanged with any node.
	exchanged time.Time
	deflated  tableReply
}

// tableBurst is how many seconds' worth of tables may be served at once.
const tableBurst = 16

// New returns a Spread; Run makes it work. onView may be nil.
func New(settings Settings, log *zap.Logger, holder *Holder, view *member.View, dialer *peer.Dialer, client store.Client, onView func()) *Spread {
	if onView == nil {
		onView = func() {}
	}
	perSecond := settings.TableBytesPerSecond
	return &Spread{
		settings:   settings,
		log:        log,
		holder:     holder,
		dialer:     dialer,
		platform:   client,
		onView:     onView,
		served:     rate.NewLimiter(rate.Limit(perSecond), perSecond*tableBurst),
		news:       make(chan struct{}, 1),
		pulls:      make(chan string, 1),
		registered: make(chan struct{}),
		view:       view,
		exchanged:  time.Now(),
		rng:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// View calls f with the view under its lock.
func (s *Spread) View(f func(v *member.View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.view)
}

// ConfirmedAge is how long ago the table was confirmed with the platform by
// any node that this one heard of; ok is false when never.
func (s *Spread) ConfirmedAge(now time.Time) (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.confirmed), !s.confirmed.IsZero()
}

// Announce tells a few nodes at once that there is news.
func (s *Spread) Announce() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// offer takes a table and tells others if it is news.
func (s *Spread) offer(snapshot *table.Snapshot, source string) {
	if s.holder.Offer(snapshot, source) == Taken {
		s.Announce()
	}
}

func (s *Spread) digest(now time.Time) digest {
	generation, hash := s.holder.Generation()
	s.mu.Lock()
	defer s.mu.Unlock()
	d := digest{
		Generation:      generation,
		Hash:            hash[:min(len(hash), hashStart)],
		ConfirmedMillis: -1,
		Root:            s.view.Digest().Root(),
		Host:            s.view.Self().Host,
	}
	if !s.confirmed.IsZero() {
		d.ConfirmedMillis = now.Sub(s.confirmed).Milliseconds()
	}
	return d
}

// learn takes what a digest says about the sender and the confirmation.
func (s *Spread) learn(now time.Time, d digest) {
	generation, _ := s.holder.Generation()
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.ConfirmedMillis < 0 || d.Generation != generation {
		return
	}
	confirmed := now.Add(-time.Duration(d.ConfirmedMillis) * time.Millisecond)
	if confirmed.After(s.confirmed) {
		s.confirmed = confirmed
	}
	if confirmed.After(s.ownConfirmed.Add(echo)) && confirmed.After(s.othersConfirmed) {
		s.othersConfirmed = confirmed
	}
}

func (s *Spread) noteExchange(now time.Time) {
	s.mu.Lock()
	s.exchanged = now
	s.mu.Unlock()
}

// isolatedRounds is how many rounds without any exchange make a node isolated.
const isolatedRounds = 1.5

// isolated reports whether the node knows others and has reached none of late.
// It must then look at the store itself.
func (s *Spread) isolated(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view.Len() <= 1 {
		return true
	}
	return now.Sub(s.exchanged) > time.Duration(isolatedRounds*float64(s.settings.Interval))
}

// merge takes records and reports news to whoever listens.
func (s *Spread) merge(now time.Time, records []member.Record) {
	s.Counters.RecordsReceived.Add(int64(len(records)))
	s.mu.Lock()
	news := s.view.Merge(now, records)
	s.mu.Unlock()
	if news {
		s.onView()
	}
}

// Ask answers other nodes' questions; ok is false for other topics.
func (s *Spread) Ask(topic wire.Topic, payload []byte) (reply []byte, ok bool, err error) {
	switch topic {
	case TopicDigest:
		reply, err = s.answerDigest(payload)
	case TopicRecords:
		reply, err = s.answerRecords(payload)
	case TopicTable:
		reply, err = s.answerTable()
	default:
		return nil, false, nil
	}
	return reply, true, err
}

func (s *Spread) answerDigest(payload []byte) ([]byte, error) {
	var d digest
	if err := decode(payload, &d); err != nil {
		return nil, err
	}
	now := time.Now()
	s.noteExchange(now)
	s.learn(now, d)
	s.pullFrom(d)
	reply := digestReply{Digest: s.digest(now)}
	if reply.Digest.Root != d.Root {
		reply.Members = s.members()
	}
	return encode(&reply), nil
}

// pullFrom has the table of a digest's sender fetched if it is newer. The
// address of a new node comes with its record.
func (s *Spread) pullFrom(d digest) {
	record, known := s.recordOf(d.Host)
	if !known || d.Generation == 0 || s.holder.Judge(d.Generation, d.Hash) != Taken {
		return
	}
	select {
	case s.pulls <- record.Address:
	default: // A pull is waiting already; the next round asks again.
	}
}

// members returns the digest of all member records.
func (s *Spread) members() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.view.Digest()
	return d[:]
}

// answerRecords takes records and answers with those that the sender lacks.
func (s *Spread) answerRecords(payload []byte) ([]byte, error) {
	var m recordsMessage
	if err := decode(payload, &m); err != nil {
		return nil, err
	}
	now := time.Now()
	s.merge(now, m.Records)
	s.learn(now, m.Digest)
	s.pullFrom(m.Digest)
	return encode(&recordsMessage{Records: s.lackedBy(m.Digest.Host, m.Members)}), nil
}

// lackedBy returns the records that a node lacks by its digest of members, with
// what it must hear of its own past.
func (s *Spread) lackedBy(host string, members []uint64) []member.Record {
	var d member.Digest
	copy(d[:], members)
	return append(s.differing(d), s.pastOf(host)...)
}

// recordsAtOnce bounds the member records of one message, at about 60 bytes.
const recordsAtOnce = 64

// differing returns records that the sender of a digest lacks, or has newer.
func (s *Spread) differing(d member.Digest) []member.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Differing(d, s.rng.IntN(member.Buckets), recordsAtOnce)
}

// pastOf returns what a node must hear of its own earlier life.
func (s *Spread) pastOf(host string) []member.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if past, ok := s.view.PastOf(host); ok {
		return []member.Record{past}
	}
	return nil
}

// errBusy defers a table that the byte budget does not allow now.
var errBusy = eris.New("busy: ask another node or later")

func (s *Spread) answerTable() ([]byte, error) {
	current := s.holder.Current()
	if current == nil {
		return nil, eris.New("this node has no table")
	}
	s.mu.Lock()
	if s.deflated.Generation != current.Generation {
		s.deflated = tableReply{Generation: current.Generation, Hash: current.Hash, Deflated: deflate(current.Text)}
	}
	reply := s.deflated
	s.mu.Unlock()
	// A table larger than the whole burst may go when the burst is unspent.
	cost := min(len(reply.Deflated), s.served.Burst())
	if !s.served.AllowN(time.Now(), cost) {
		s.Counters.TablesDeferred.Add(1)
		return nil, errBusy
	}
	s.Counters.TablesServed.Add(1)
	return encode(&reply), nil
}
