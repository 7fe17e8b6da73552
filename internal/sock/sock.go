// SPDX-License-Identifier: MIT

// Package sock looks at a TCP connection without reading from it.
package sock

import (
	"net"
	"syscall"
)

// PeerOpen reports whether the other side may still want to talk: it has
// neither closed its sending side nor reset the connection, or it has sent
// bytes that were not read yet. It never waits and takes no lock that a
// reader of the connection holds.
func PeerOpen(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := true
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting := errno == syscall.EAGAIN || errno == syscall.EINTR
		open = waiting || (errno == nil && n > 0)
	})
	return err == nil && open
}
