// SPDX-License-Identifier: MIT

package sock

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// How soon a connection is given up whose other side has vanished without a word: a
// host without power, a cut, or a connection that went silent for good. Without these
// bounds it would hang for minutes, and a watch on the store with it.
const (
	// probeAfter is how long nothing was heard before the other side's kernel is
	// probed, probeEvery the time between probes and probes how many it may miss. A
	// frozen process does not count as silent, since its kernel answers.
	probeAfter = time.Second
	probeEvery = time.Second // Systems count in whole seconds.
	probes     = 2
	// unackedLimit is how long sent bytes may stay unacknowledged: as long as the
	// probes take.
	unackedLimit = probeAfter + probes*probeEvery
)

// keepAlive are the bounds for connections that rest.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probes}

// Dial connects to an address and bounds how long the connection may be silent.
func Dial(address string, limit time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return DialContext(ctx, address)
}

// DialContext is Dial with a limit that is the context's.
func DialContext(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive, Control: boundUnacked}
	return d.DialContext(ctx, "tcp", address)
}

// boundUnacked sets the bound for connections with bytes under way. A system that does
// not know it leaves its own, which is longer.
func boundUnacked(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
}
