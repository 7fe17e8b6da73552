// SPDX-License-Identifier: MIT

package sock

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds on how soon a connection is given up whose peer has vanished without closing it:
// after a loss of power, a network partition, or when the connection has stalled for good.
// Without these bounds such a connection would hang for minutes, and with it a watch on
// the store.
const (
	// probeIdle is how long nothing may be received before the peer's kernel is probed,
	// probeInterval the time between probes, and maxMissedProbes how many may stay
	// unanswered. A paused process does not count as vanished, since its kernel answers.
	probeIdle       = time.Second
	probeInterval   = time.Second // The socket option counts in whole seconds.
	maxMissedProbes = 2
	// unackedTimeout is how long sent bytes may stay unacknowledged: as long as the probes
	// take.
	unackedTimeout = probeIdle + maxMissedProbes*probeInterval
)

// keepAlive are the bounds for idle connections.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: maxMissedProbes}

// Dial connects to an address and bounds how long the peer may be unreachable.
func Dial(address string, limit time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return DialContext(ctx, address)
}

// DialContext is Dial with the context's deadline in place of a limit.
func DialContext(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive, Control: boundUnacked}
	return d.DialContext(ctx, "tcp", address)
}

// boundUnacked sets the bound for connections with unacknowledged bytes. A system without
// this option keeps its own bound, which is longer.
func boundUnacked(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}
