// SPDX-License-Identifier: MIT

package node

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ryehaven/ryehaven/burn"
	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/peer"
	"github.com/ryehaven/ryehaven/query"
	"github.com/ryehaven/ryehaven/quota"
	"github.com/ryehaven/ryehaven/wire"
)

// topicBurn is the topic of queries for a node's own burn counts.
const topicBurn wire.Topic = "burn"

// burnCounts are the counts of one node by service. The counts of a service are in the order
// of burn.Windows.
type burnCounts map[string][]burn.Count

const (
	// gatherTimeout limits the wait for a node's reply.
	gatherTimeout = time.Second
	// maxParallelQueries limits the number of nodes that are queried at a time.
	maxParallelQueries = 32
)

// Ask implements peer.Handler.
func (n *Node) Ask(_ peer.Identity, topic wire.Topic, payload []byte) ([]byte, error) {
	switch topic {
	case topicBurn:
		return msgpack.Marshal(burnCounts(n.entry.Burn(time.Now())))
	case topicTenants:
		return msgpack.Marshal(n.entry.Tenants(time.Now()))
	case quota.Topic:
		return n.quotas.Answer(payload)
	}
	reply, ok, err := n.spread.HandleQuery(topic, payload)
	if !ok {
		return nil, eris.Errorf("no such topic %q", topic)
	}
	return reply, err
}

// gatherBurn adds up the burn counts of this node and of all nodes that reply.
func (n *Node) gatherBurn(now time.Time) query.Burn {
	sums := burnCounts{}
	sums.add(n.entry.Burn(now))
	answered, missing := gather(n, topicBurn, func(_ string, counts burnCounts) { sums.add(counts) })
	return query.Burn{Answered: answered, Missing: missing, Services: n.burnByService(sums)}
}

// gather queries all other nodes in parallel and passes each reply to collect, one at a
// time. It returns the number of nodes that replied, including this one, and the hosts of
// those that did not.
func gather[T any](n *Node, topic wire.Topic, collect func(host string, answer T)) (answered int, missing []string) {
	var others []member.Record
	n.spread.View(func(v *member.View) {
		for _, r := range v.All() {
			if r.Host != n.settings.Host && r.State != member.Gone {
				others = append(others, r)
			}
		}
	})
	answered = 1
	var mu sync.Mutex
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxParallelQueries)
	for _, r := range others {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			answer, err := queryNode[T](n, r.Address, topic)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, r.Host)
				return
			}
			answered++
			collect(r.Host, answer)
		})
	}
	wait.Wait()
	return answered, missing
}

// queryNode queries one node and decodes its reply.
func queryNode[T any](n *Node, address string, topic wire.Topic) (answer T, err error) {
	conn, err := n.dialer.Get(address, gatherTimeout)
	if err != nil {
		return answer, err
	}
	payload, err := conn.Ask(topic, nil, gatherTimeout)
	if err != nil {
		return answer, err
	}
	return answer, msgpack.Unmarshal(payload, &answer)
}

// add adds the counts of another node. It ignores windows that only one of the two nodes
// has, which happens if they run different versions.
func (c burnCounts) add(other burnCounts) {
	for service, counts := range other {
		sum := c[service]
		if sum == nil {
			sum = make([]burn.Count, len(burn.Windows()))
		}
		for i := range min(len(sum), len(counts)) {
			sum[i] = sum[i].Add(counts[i])
		}
		c[service] = sum
	}
}

// burnByService computes the burn rates of the services from the sums and the objectives of
// the table in force.
func (n *Node) burnByService(sums burnCounts) []query.ServiceBurn {
	current := n.holder.Current()
	if current == nil {
		return nil
	}
	var report []query.ServiceBurn
	for _, name := range current.Table.Services() {
		counts, ok := sums[name]
		if !ok {
			continue
		}
		row := current.Table.Service(name)
		s := query.ServiceBurn{
			Service:         name,
			ObjectiveMillis: float64(row.ObjectiveLatency) / float64(time.Millisecond),
			ObjectiveShare:  row.ObjectiveShare,
		}
		for i, window := range burn.Windows() {
			s.Windows = append(s.Windows, query.WindowBurn{
				Window:   window.String(),
				Count:    counts[i],
				BadShare: counts[i].BadShare(),
				Rate:     counts[i].Rate(row.ObjectiveShare),
			})
		}
		report = append(report, s)
	}
	return report
}
