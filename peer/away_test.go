// SPDX-License-Identifier: MIT

package peer

import (
	"errors"
	"os"
	"testing"
	"time"

	"github.com/rotisserie/eris"
)

// failedSlot is a slot whose try to connect has timed out.
func failedSlot() *slot {
	s := &slot{ready: make(chan struct{}), err: eris.Wrap(os.ErrDeadlineExceeded, "connect")}
	close(s.ready)
	return s
}

// A try to connect timed out, and before its node was noted as away a request came that
// dialed it again. The node was away with a connection that worked then: the try to reach
// it took the connection's place, and nobody closed that any more. Whoever finds the
// failed try first notes the node as away.
func TestAwayNodeHasNoConnection(t *testing.T) {
	address, _ := start(t, newGate())
	d := newDialer(t, testKey)
	failed := failedSlot()
	d.slots = map[string]*slot{address: failed}
	_, err := d.Get(address, time.Second)
	if !errors.Is(err, ErrAway) || !d.Silent(address) {
		t.Errorf("error %v, silent %v, want that the node is away", err, d.Silent(address))
	}
	d.Check(time.Now())
	eventually(t, "its return", func() bool { return !d.Silent(address) })
	back := connect(t, d, address)
	d.tried(address, failed)
	if d.Silent(address) {
		t.Error("a node with a connection that works is away")
	}
	if connect(t, d, address) != back {
		t.Error("the connection was replaced")
	}
}

// A connection that works stays, whatever the tries to reach its node find.
func TestReachLeavesAConnection(t *testing.T) {
	address, _ := start(t, newGate())
	d := newDialer(t, testKey)
	first := connect(t, d, address)
	a := &away{since: time.Now(), pause: awayFirst}
	d.away = map[string]*away{address: a}
	if d.Silent(address) {
		t.Error("a node with a connection that works is taken for silent")
	}
	d.reach(address, a)
	if connect(t, d, address) != first || first.closed() {
		t.Error("the connection was replaced")
	}
	if n := d.Counters.Dialed.Load(); n != 1 || len(d.away) != 0 {
		t.Errorf("%d connections open, %d nodes away, want 1 and 0", n, len(d.away))
	}
}
