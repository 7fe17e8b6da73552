// SPDX-License-Identifier: MIT

// Package sock dials and accepts TCP connections with bounds on how long the peer may be
// unreachable, and inspects a connection without reading from it.
package sock

import (
	"net"
	"syscall"
)

// PeerOpen reports whether the peer may still use the connection: it has neither closed
// its sending side nor reset the connection, or it has sent bytes that were not read yet.
// It never blocks and takes no lock that a reader of the connection holds.
func PeerOpen(c net.Conn) bool {
	waiting, bytes := peek(c)
	return waiting || bytes
}

// Idle reports whether the connection is open and the peer has sent nothing that was not
// read yet. It never blocks.
func Idle(c net.Conn) bool {
	waiting, _ := peek(c)
	return waiting
}

// HasUnread reports whether the peer has sent bytes that were not read yet. It never
// blocks.
func HasUnread(c net.Conn) bool {
	_, bytes := peek(c)
	return bytes
}

// peek reports whether a read would block, or would return bytes; if neither, the
// connection has ended.
func peek(c net.Conn) (waiting, bytes bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = errno == syscall.EAGAIN || errno == syscall.EINTR
		bytes = errno == nil && n > 0
	})
	if err != nil {
		return false, false
	}
	return waiting, bytes
}
