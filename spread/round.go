// SPDX-License-Identifier: MIT

package spread

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/peer"
)

const (
	// announceTo is how many nodes are told of news at once.
	announceTo = 4
	// hurry is the time between rounds while the node has no table.
	hurry = 100 * time.Millisecond
	// seedEvery is how many rounds pass between questions to a seed, so that
	// parts that lost sight of each other meet again.
	seedEvery = 30
)

// Run spreads until ctx ends. It returns once all its goroutines have.
func (s *Spread) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { s.runRounds(ctx) })
	wait.Go(func() { s.runPulls(ctx) })
	if s.platform != nil {
		wait.Go(func() { s.runWatch(ctx) })
		wait.Go(func() { s.runRegister(ctx) })
		wait.Go(func() { s.runHosts(ctx) })
	}
	wait.Wait()
}

func (s *Spread) runRounds(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-s.news:
			s.exchangeAll(s.sample(announceTo, ""))
		case <-timer.C:
			s.round(number)
			timer.Reset(s.untilNext())
		}
	}
}

// untilNext is the interval with a jitter of a fifth, so that nodes that
// started together do not stay in step.
func (s *Spread) untilNext() time.Duration {
	interval := s.settings.Interval
	if s.holder.Current() == nil {
		interval = min(interval, hurry)
	}
	return s.jitter(interval)
}

func (s *Spread) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(d) * (0.8 + 0.4*s.rng.Float64()))
}

func (s *Spread) round(number int) {
	zone := ""
	s.View(func(v *member.View) {
		v.Tidy(time.Now())
		zone = v.Self().Zone
	})
	targets := append(s.sample(1, zone), s.sample(1, "")...)
	if len(targets) == 0 || number%seedEvery == 0 {
		targets = append(targets, s.seeds(len(targets) == 0)...)
	}
	s.exchangeAll(targets)
}

func (s *Spread) sample(n int, zone string) []member.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Sample(time.Now(), s.rng, n, zone)
}

// seeds returns all seeds or one at random, as records without a host.
func (s *Spread) seeds(all bool) []member.Record {
	self := ""
	s.View(func(v *member.View) { self = v.Self().Address })
	var records []member.Record
	for _, address := range s.settings.Seeds {
		if address != self {
			records = append(records, member.Record{Address: address})
		}
	}
	if !all && len(records) > 1 {
		s.mu.Lock()
		i := s.rng.IntN(len(records))
		s.mu.Unlock()
		return records[i : i+1]
	}
	return records
}

func (s *Spread) exchangeAll(targets []member.Record) {
	var wait sync.WaitGroup
	for _, target := range targets {
		wait.Go(func() { s.exchange(target) })
	}
	wait.Wait()
}

// exchange compares digests with one node and fetches what it lacks.
func (s *Spread) exchange(target member.Record) {
	s.Counters.Exchanges.Add(1)
	conn, reply, err := s.askDigest(target.Address)
	now := time.Now()
	if err != nil {
		s.Counters.ExchangeFailures.Add(1)
		s.View(func(v *member.View) { v.Failed(now, target.Host) })
		return
	}
	s.noteExchange(now)
	s.View(func(v *member.View) { v.Reached(target.Host) })
	s.learn(now, reply.Digest)
	if len(reply.Members) > 0 {
		s.exchangeRecords(conn, reply)
	}
	if s.holder.Judge(reply.Digest.Generation, reply.Digest.Hash) == Taken && reply.Digest.Generation > 0 {
		s.pull(conn)
	}
}

// exchangeRecords sends a node the records that it lacks and takes those that
// this one lacks.
func (s *Spread) exchangeRecords(conn *peer.Conn, reply digestReply) {
	now := time.Now()
	m := recordsMessage{
		Records: s.lackedBy(reply.Digest.Host, reply.Members),
		Digest:  s.digest(now),
		Members: s.members(),
	}
	payload, err := conn.Ask(TopicRecords, encode(&m), s.settings.AskLimit)
	if err != nil {
		return // The next round asks another.
	}
	var lacked recordsMessage
	if decode(payload, &lacked) == nil {
		s.merge(time.Now(), lacked.Records)
	}
}

func (s *Spread) askDigest(address string) (*peer.Conn, digestReply, error) {
	var reply digestReply
	conn, err := s.dialer.Get(address, s.settings.AskLimit)
	if err != nil {
		return nil, reply, err
	}
	d := s.digest(time.Now())
	payload, err := conn.Ask(TopicDigest, encode(&d), s.settings.AskLimit)
	if err != nil {
		return nil, reply, err
	}
	return conn, reply, decode(payload, &reply)
}

// runPulls fetches tables from nodes that said they have a newer one.
func (s *Spread) runPulls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-s.pulls:
			if conn, err := s.dialer.Get(address, s.settings.AskLimit); err == nil {
				s.pull(conn)
			}
		}
	}
}

// pull fetches the table of another node.
func (s *Spread) pull(conn *peer.Conn) {
	payload, err := conn.Ask(TopicTable, nil, s.settings.AskLimit)
	if err != nil {
		return // It was busy or went away; the next round asks another.
	}
	var reply tableReply
	if err := decode(payload, &reply); err != nil {
		s.badTable(conn.Peer.Host, err)
		return
	}
	if s.holder.Judge(reply.Generation, reply.Hash) != Taken {
		return
	}
	snapshot, err := reply.snapshot()
	if err != nil {
		s.badTable(conn.Peer.Host, err)
		return
	}
	s.Counters.TablesPulled.Add(1)
	s.offer(snapshot, "node "+conn.Peer.Host)
}

func (s *Spread) badTable(source string, err error) {
	if s.Counters.BadTables.Add(1) == 1 {
		s.log.Warn("table refused", zap.String("source", source), zap.Error(err))
	}
}
