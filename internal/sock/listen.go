// SPDX-License-Identifier: MIT

package sock

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Listener accepts TCP connections whose silence is bounded, and goes on where one
// cannot be accepted: a process that has run out of descriptors for a moment must not
// end for it.
type Listener struct {
	net.Listener
	// OnFailure is called with each failure after which the listener goes on; it may
	// be nil.
	OnFailure func(err error)
}

// acceptPause is how long the listener waits for descriptors to be given back.
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
			l.bound(c)
			return c, nil
		}
		if !passes(err) {
			return nil, err
		}
		if l.OnFailure != nil {
			l.OnFailure(err)
		}
		time.Sleep(acceptPause)
	}
}

// bound bounds the time that bytes to the other side may stay unacknowledged.
func (l *Listener) bound(c net.Conn) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		_ = boundUnacked("", "", raw) // Its end has been met already; whoever reads hears of it.
	}
}

// passes reports whether a failure to accept may pass.
func passes(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
