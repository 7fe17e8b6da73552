// SPDX-License-Identifier: MIT

package sock

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Listener accepts TCP connections with a bound on how long the peer may be unreachable,
// and continues after temporary failures to accept: a process that has run out of file
// descriptors for a moment must not exit for that.
type Listener struct {
	net.Listener
	// OnFailure is called with each failure after which the listener continues; it may be
	// nil.
	OnFailure func(err error)
}

// acceptPause is how long the listener waits for file descriptors to be released.
const acceptPause = 5 * time.Millisecond

// Listen listens on an address.
func Listen(address string) (*Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: l}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			l.boundUnackedTime(c)
			return c, nil
		}
		if !isTemporary(err) {
			return nil, err
		}
		if l.OnFailure != nil {
			l.OnFailure(err)
		}
		time.Sleep(acceptPause)
	}
}

// boundUnackedTime bounds how long sent bytes may stay unacknowledged.
func (l *Listener) boundUnackedTime(c net.Conn) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		_ = boundUnacked("", "", raw) // On failure the connection has ended; its reader gets the error.
	}
}

// isTemporary reports whether a failure to accept may pass.
func isTemporary(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
