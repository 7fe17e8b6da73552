// SPDX-License-Identifier: MIT

package sock

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// failing is a listener that fails in a series of ways.
type failing struct {
	net.Listener
	errors []error
}

func (f *failing) Accept() (net.Conn, error) {
	err := f.errors[0]
	f.errors = f.errors[1:]
	if err != nil {
		return nil, err
	}
	client, _ := net.Pipe()
	return client, nil
}

// A lack of descriptors passes, and is told; the end of the listener does not.
func TestAcceptGoesOn(t *testing.T) {
	lack := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	told := 0
	l := &Listener{Listener: &failing{errors: []error{lack, lack, nil, net.ErrClosed}}, OnFailure: func(error) { told++ }}
	c, err := l.Accept()
	if err != nil || told != 2 {
		t.Fatalf("error %v after %d failures were told", err, told)
	}
	c.Close()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v at the listener's end", err)
	}
}
