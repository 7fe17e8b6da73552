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
	// guardEvery is the time between two looks at the nodes that this one watches. Callers
	// are sent to a node from a second after its start on, so that it must be found before.
	guardEvery = 500 * time.Millisecond
	// guardAtOnce bounds the nodes that are tried at a look. Where more are away the next
	// look goes on with the others.
	guardAtOnce = 8
)

// runGuard keeps a connection to each node that this one watches. A node that starts anew
// is greeted as soon as one is open again, and learns from it what it cannot read while
// the store is away. Open connections cost no messages.
func (s *Spread) runGuard(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; sleep(ctx, s.jitter(guardEvery)) {
		turn = s.guard(turn)
	}
}

// guard looks at some wards, beginning with one, and returns with which the next look
// begins.
func (s *Spread) guard(turn int) int {
	var wards []member.Record
	s.View(func(v *member.View) { wards = v.Wards() })
	if len(wards) == 0 {
		return 0
	}
	n := min(len(wards), guardAtOnce)
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() { s.lookAt(wards[(turn+i)%len(wards)]) })
	}
	wait.Wait()
	return (turn + n) % len(wards)
}

// lookAt connects to a node unless it is connected, and compares with one that could not
// be reached before.
func (s *Spread) lookAt(ward member.Record) {
	var lost bool
	s.View(func(v *member.View) { lost = v.IsLost(ward.Host) })
	if lost {
		if s.exchange(ward, false) {
			s.Counters.WardsFound.Add(1)
			s.log.Info("node is reached again", zap.String("node", ward.Host))
		}
		return
	}
	if _, err := s.connect(ward.Address, s.settings.AskLimit); err != nil {
		s.Counters.WardsLost.Add(1)
		s.log.Info("node cannot be reached", zap.String("node", ward.Host), zap.Error(err))
		s.View(func(v *member.View) { v.Failed(time.Now(), ward.Host) })
	}
}
