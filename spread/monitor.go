// SPDX-License-Identifier: MIT

package spread

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ryehaven/ryehaven/member"
)

const (
	// monitorInterval is the time between two checks of the monitored nodes. A restarted node
	// receives requests from a second after its start, so it must be found before that.
	monitorInterval = 500 * time.Millisecond
	// monitorBatch bounds the nodes checked at once. The next check continues with the nodes
	// after them.
	monitorBatch = 8
)

// runMonitor keeps a connection open to each monitored node. When a restarted node accepts
// connections again, the handshake on the new connection sends it what it can't read while the
// store is unreachable. Open connections cost no messages.
func (s *Spread) runMonitor(ctx context.Context) {
	for start := 0; ctx.Err() == nil; sleep(ctx, s.jitter(monitorInterval)) {
		start = s.monitor(start)
	}
}

// monitor checks up to monitorBatch nodes, starting with the one at index start, and returns
// the index at which the next check starts.
func (s *Spread) monitor(start int) int {
	var nodes []member.Record
	s.View(func(v *member.View) { nodes = v.Monitored() })
	if len(nodes) == 0 {
		return 0
	}
	n := min(len(nodes), monitorBatch)
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() { s.checkMonitored(nodes[(start+i)%len(nodes)]) })
	}
	wait.Wait()
	return (start + n) % len(nodes)
}

// checkMonitored connects to a node unless a connection is open. If the last attempt to reach
// it failed, it exchanges digests with it instead.
func (s *Spread) checkMonitored(node member.Record) {
	var unreachable bool
	s.View(func(v *member.View) { unreachable = v.IsUnreachable(node.Host) })
	if unreachable {
		if s.exchange(node, false) {
			s.Counters.MonitoredReachable.Add(1)
			s.log.Info("monitored node reachable again", zap.String("node", node.Host))
		}
		return
	}
	if _, err := s.connect(node.Address, s.settings.QueryTimeout); err != nil {
		s.Counters.MonitoredUnreachable.Add(1)
		s.log.Info("monitored node unreachable", zap.String("node", node.Host), zap.Error(err))
		s.View(func(v *member.View) { v.MarkUnreachable(time.Now(), node.Host) })
	}
}
