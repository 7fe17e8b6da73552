// SPDX-License-Identifier: MIT

package backend

import (
	"bufio"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/internal/sock"
)

// Errors of opening an exchange. After either of them, nothing was sent.
var (
	ErrConnect            = eris.New("cannot connect to backend server")
	ErrTooManyConnections = eris.New("connection limit of backend server is reached")
)

const (
	readBuffer  = 8 << 10
	writeBuffer = 8 << 10
	// maxUnanswered bounds how many requests of a burst are lost when all open connections
	// become unresponsive together: only so many are sent on kept connections within
	// unansweredWindow before one of them is answered. A response on any kept connection ends
	// the count. If it did so only for connections that were opened no earlier than its own,
	// 380 of 800 requests at 400 a second, of 50 ms each, would open a new connection.
	maxUnanswered    = 3
	unansweredWindow = 25 * time.Millisecond
)

// Pool holds the connections to one backend server. Set the exported fields before the first
// use.
type Pool struct {
	Address string
	// MaxConns bounds the number of open connections.
	MaxConns int
	// IdleTimeout is how long a connection is kept between requests, or less if the server says
	// in Keep-Alive that it closes connections earlier. It must be shorter than the timeout of
	// a server that does not say so.
	IdleTimeout time.Duration
	DialTimeout time.Duration

	mu   sync.Mutex
	idle []*conn
	// unanswered are the kept connections that were recently taken for requests and count
	// towards maxUnanswered; see responseReceived.
	unanswered []*conn
	open       int
	closed     bool
	// keepAlive is how long the server keeps idle connections, as it last said; nil if it never
	// did.
	keepAlive *time.Duration

	// Dials counts the connections that were opened, and Reused the requests sent on kept
	// ones.
	Dials, Reused atomic.Int64
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// opened is when the connection was opened, and lastReceived when data was last received
	// on it.
	opened, lastReceived time.Time
	// takenAt is when the connection was last taken from the idle ones for a request.
	takenAt time.Time
	used    bool
	// closedLocally is set when this node has closed the connection.
	closedLocally atomic.Bool
}

// Close implements net.Conn. It records that this node closed the connection, since a read
// then fails as if the server had closed it.
func (c *conn) Close() error {
	c.closedLocally.Store(true)
	return c.Conn.Close()
}

// getConn returns an idle connection from take, or a new one if there is none.
func (p *Pool) getConn(take func(now time.Time) *conn) (*conn, error) {
	now := time.Now()
	for {
		c := take(now)
		if c == nil {
			return p.dial()
		}
		if c.reader.Buffered() == 0 && sock.Idle(c.Conn) {
			p.Reused.Add(1)
			return c, nil
		}
		p.discard(c)
	}
}

// takeNewest takes the idle connection that was used last, which the server is least likely to
// have closed.
func (p *Pool) takeNewest(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 || p.tooManyUnanswered(now) || now.Sub(p.idle[n-1].lastReceived) > p.idleTimeout() {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	c.takenAt = now
	p.unanswered = append(p.unanswered, c)
	return c
}

// takeOldest takes the idle connection on which nothing has been received for the longest
// time.
func (p *Pool) takeOldest(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 || now.Sub(p.idle[0].lastReceived) > p.idleTimeout() {
		return nil
	}
	c := p.idle[0]
	p.idle = p.idle[1:]
	return c
}

// tooManyUnanswered reports whether maxUnanswered requests are waiting on kept connections. It
// is called with the lock held.
func (p *Pool) tooManyUnanswered(now time.Time) bool {
	p.unanswered = slices.DeleteFunc(p.unanswered, func(c *conn) bool { return now.Sub(c.takenAt) > unansweredWindow })
	return len(p.unanswered) >= maxUnanswered
}

// responseReceived records that a response was received on a connection. If it is a kept
// connection, the kept connections as a whole are not unresponsive; if it is a fresh one, only
// those opened after it are known not to be.
func (p *Pool) responseReceived(c *conn, origin Origin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unanswered = slices.DeleteFunc(p.unanswered, func(other *conn) bool {
		return origin == Kept || !other.opened.Before(c.opened)
	})
}

// remove removes a connection from the counts. It is called with the lock held.
func (p *Pool) remove(c *conn) {
	p.open--
	p.unanswered = slices.DeleteFunc(p.unanswered, func(other *conn) bool { return other == c })
}

func (p *Pool) dial() (*conn, error) {
	p.mu.Lock()
	if p.open >= p.MaxConns && !p.dropIdle() {
		p.mu.Unlock()
		return nil, ErrTooManyConnections
	}
	p.open++
	p.mu.Unlock()
	nc, err := sock.Dial(p.Address, p.DialTimeout)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, eris.Wrapf(ErrConnect, "%s: %v", p.Address, err)
	}
	p.Dials.Add(1)
	now := time.Now()
	return &conn{
		Conn:         nc,
		reader:       bufio.NewReaderSize(nc, readBuffer),
		writer:       bufio.NewWriterSize(nc, writeBuffer),
		opened:       now,
		lastReceived: now,
	}, nil
}

// dropIdle closes the idle connection that was used least recently, and reports whether there
// was one. It is called with the lock held.
func (p *Pool) dropIdle() bool {
	if len(p.idle) == 0 {
		return false
	}
	p.idle[0].Close()
	p.idle = p.idle[1:]
	p.open--
	return true
}

// put returns a connection to the pool for the next request.
func (p *Pool) put(c *conn) {
	c.used = true
	c.lastReceived = time.Now()
	p.mu.Lock()
	keep := !p.closed
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.discard(c)
	}
}

func (p *Pool) discard(c *conn) {
	c.Close()
	p.mu.Lock()
	p.remove(c)
	p.mu.Unlock()
}

// CloseExpired closes connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && now.Sub(p.idle[0].lastReceived) > p.idleTimeout() {
		p.dropIdle()
	}
}

// CloseIdleBefore closes the idle connections on which nothing was received since the given
// time, because they may be unresponsive, and returns how many there were.
func (p *Pool) CloseIdleBefore(before time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.lastReceived.Before(before) {
			c.Close()
			p.open--
			continue
		}
		kept = append(kept, c)
	}
	dropped := len(p.idle) - len(kept)
	clear(p.idle[len(kept):])
	p.idle = kept
	return dropped
}

// RefusesConnections reports whether connections to the address are refused, which means that
// the server has exited. It tries to connect, for up to a time limit.
func (p *Pool) RefusesConnections(limit time.Duration) bool {
	nc, err := sock.Dial(p.Address, limit)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	nc.Close()
	return false
}

// Close closes the idle connections; those in use are closed when their exchanges end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for p.dropIdle() {
	}
}
