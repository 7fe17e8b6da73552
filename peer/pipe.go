// SPDX-License-Identifier: MIT

package peer

import (
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Window is how many unread body bytes may be in transfer for one request and direction. A
// gate returns credit only once the request is dispatched, so an entry keeps at most this
// much to be able to send a body again.
const Window = 128 << 10

// MaxChunk bounds the body bytes of one frame.
const MaxChunk = 16 << 10

// Errors of body transfers.
var (
	ErrClosed   = eris.New("body transfer was closed")
	ErrIdle     = eris.New("body transfer made no progress within its idle limit")
	ErrOverflow = eris.New("peer sent more body bytes than it had credit for")
)

// pipe holds received body bytes until they are read.
type pipe struct {
	mu     sync.Mutex
	wake   chan struct{}
	chunks [][]byte
	size   int
	err    error
	// unreturned counts bytes that were read and whose credit was not returned yet.
	unreturned int
	// credit returns credit to the sender; nil while credit is withheld.
	credit func(n int64)
}

func newPipe() *pipe {
	return &pipe{wake: make(chan struct{}, 1)}
}

func (p *pipe) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// push appends received bytes and, with last, the end of the body.
func (p *pipe) push(chunk []byte, last bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.signal()
	if p.err != nil {
		return nil
	}
	if p.size+len(chunk) > Window {
		p.err = ErrOverflow
		return ErrOverflow
	}
	if len(chunk) > 0 {
		p.chunks = append(p.chunks, chunk)
		p.size += len(chunk)
	}
	if last {
		p.err = io.EOF
	}
	return nil
}

// fail ends the body with err after the received bytes.
func (p *pipe) fail(err error) {
	p.mu.Lock()
	if p.err == nil {
		p.err = err
	}
	p.mu.Unlock()
	p.signal()
}

// complete reports whether the last byte was received.
func (p *pipe) complete() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err == io.EOF
}

// startCredit starts to return credit through f.
func (p *pipe) startCredit(f func(n int64)) {
	p.mu.Lock()
	p.credit = f
	n := p.takeCredit(1)
	p.mu.Unlock()
	if n > 0 {
		f(n)
	}
}

// takeCredit returns the credit to send, in bytes, if at least minBytes of it are due. p.mu must
// be held.
func (p *pipe) takeCredit(minBytes int) int64 {
	if p.credit == nil || p.unreturned < minBytes || p.err != nil {
		return 0
	}
	n := p.unreturned
	p.unreturned = 0
	return int64(n)
}

// read copies received bytes to b and waits up to idle until there are some.
func (p *pipe) read(b []byte, idle time.Duration) (int, error) {
	var timer *time.Timer
	for {
		n, credit, err := p.tryRead(b)
		if n > 0 || err != nil {
			if credit > 0 {
				p.credit(credit)
			}
			return n, err
		}
		if timer == nil {
			timer = time.NewTimer(idle)
			defer timer.Stop()
		}
		select {
		case <-p.wake:
		case <-timer.C:
			p.fail(ErrIdle)
		}
	}
}

func (p *pipe) tryRead(b []byte) (n int, credit int64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.chunks) == 0 {
		if p.err != nil {
			p.signal()
		}
		return 0, 0, p.err
	}
	n = copy(b, p.chunks[0])
	if n == len(p.chunks[0]) {
		p.chunks[0] = nil
		p.chunks = p.chunks[1:]
	} else {
		p.chunks[0] = p.chunks[0][n:]
	}
	p.size -= n
	p.unreturned += n
	return n, p.takeCredit(Window / 4), nil
}

// sendCredit is the credit for sending body bytes.
type sendCredit struct {
	mu   sync.Mutex
	wake chan struct{}
	left int64
	err  error
}

func newSendCredit() *sendCredit {
	return &sendCredit{left: Window, wake: make(chan struct{}, 1)}
}

func (c *sendCredit) add(n int64) {
	c.mu.Lock()
	c.left += n
	c.mu.Unlock()
	c.signal()
}

func (c *sendCredit) fail(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	c.mu.Unlock()
	c.signal()
}

func (c *sendCredit) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// take waits up to idle for credit and takes at most maxBytes of it.
func (c *sendCredit) take(maxBytes int, idle time.Duration) (int, error) {
	var timer *time.Timer
	for {
		c.mu.Lock()
		err := c.err
		n := min(int64(maxBytes), c.left)
		if err == nil {
			c.left -= n
		}
		c.mu.Unlock()
		if err != nil {
			c.signal()
			return 0, err
		}
		if n > 0 {
			return int(n), nil
		}
		if timer == nil {
			timer = time.NewTimer(idle)
			defer timer.Stop()
		}
		select {
		case <-c.wake:
		case <-timer.C:
			return 0, ErrIdle
		}
	}
}
