// SPDX-License-Identifier: MIT

// Package faultproxy is a small TCP proxy that injects faults between two
// processes: closed, refused and stalled connections, in one direction or both,
// delays and low throughput. docs/design/proofs.md says why the project has its
// own proxy.
package faultproxy

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Fault describes the faults that the proxy injects. With the zero value it
// forwards everything.
type Fault struct {
	// Refuse closes new connections immediately after accepting them, and Cut
	// closes those that are open.
	Refuse bool
	Cut    bool
	// HoldForward and HoldBackward hold back the data from the client and from
	// the server, like a link that loses every packet in that direction.
	HoldForward  bool
	HoldBackward bool
	// Delay is added before each chunk of data is forwarded.
	Delay time.Duration
	// BytesPerSecond limits the throughput of each direction of a connection; 0 means no limit.
	BytesPerSecond int
}

// Proxy forwards connections to a target. Create it with New.
type Proxy struct {
	address string

	mu       sync.Mutex
	listener net.Listener
	target   string
	fault    Fault
	// changed is closed when the fault changes.
	changed chan struct{}
	conns   map[net.Conn]struct{}
	closed  bool
	// down is set while connections are refused; reserved keeps the port bound
	// during that time.
	down     bool
	reserved reservedPort
	// pairs holds the connections that are being forwarded.
	pairs map[*pair]struct{}
}

// pair is one forwarded connection: from the client to the proxy and from there
// to the server.
type pair struct {
	// While stalledForward or stalledBackward is set, nothing from the client or
	// from the server is forwarded, not even the close of its connection.
	stalledForward, stalledBackward atomic.Bool
}

// Direction selects which data a stalled connection no longer forwards.
type Direction string

// Forward is the direction from the client to the server, and Backward from the
// server to the client.
const (
	BothDirections Direction = "both"
	Forward        Direction = "forward"
	Backward       Direction = "backward"
)

// New listens on a free loopback port. Connections are closed until SetTarget
// is called.
func New() (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{address: listener.Addr().String(), listener: listener, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}, pairs: map[*pair]struct{}{}}
	go p.accept(listener)
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.address }

// SetTarget sets the address to which new connections are forwarded.
func (p *Proxy) SetTarget(address string) {
	p.mu.Lock()
	p.target = address
	p.mu.Unlock()
}

// Set replaces the faults in effect.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
	if f.Cut {
		for c := range p.conns {
			c.Close()
		}
	}
}

// Stall stops forwarding data on all open connections without closing them, like
// a NAT gateway or firewall that has lost their state. New connections work. It
// returns the number of connections stalled.
func (p *Proxy) Stall() int { return p.StallDirection(BothDirections) }

// StallDirection is Stall for one direction or both. The proxy goes on accepting
// data until its buffers are full, so that the sender's kernel gets its
// acknowledgements and sees no fault.
func (p *Proxy) StallDirection(d Direction) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		if d != Backward {
			c.stalledForward.Store(true)
		}
		if d != Forward {
			c.stalledBackward.Store(true)
		}
	}
	return len(p.pairs)
}

// Resume makes stalled connections forward data again, beginning with what was sent
// in the meantime, like a link that was down for a while.
func (p *Proxy) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.stalledForward.Store(false)
		c.stalledBackward.Store(false)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Down closes all open connections and stops listening, so that new connections are
// refused until Up is called. The port stays bound in the meantime: otherwise an
// outgoing connection of the machine could take it.
func (p *Proxy) Down() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || p.closed {
		return
	}
	p.down = true
	p.listener.Close()
	p.reserved = reservePort(p.address)
	for c := range p.conns {
		c.Close()
	}
}

// listenTimeout limits how long Up waits for the port if something has taken it
// nevertheless.
const listenTimeout = 5 * time.Second

// Up listens again after Down.
func (p *Proxy) Up() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !p.down {
		return nil
	}
	p.reserved.release()
	listener, err := net.Listen("tcp", p.address)
	for until := time.Now().Add(listenTimeout); err != nil && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
		listener, err = net.Listen("tcp", p.address)
	}
	if err != nil {
		return err
	}
	p.listener, p.down = listener, false
	go p.accept(listener)
	return nil
}

// reservedPort is the descriptor of a socket that is bound to a port and does not
// listen; -1 means none.
type reservedPort int

// reservePort binds a socket to an address without listening: connections to it
// are refused.
func reservePort(address string) reservedPort {
	at, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return -1
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1
	}
	// Without SO_REUSEADDR the bind fails while connections that were just closed
	// still occupy the port.
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: at.Port, Addr: [4]byte(at.IP.To4())}); err != nil {
		syscall.Close(fd)
		return -1 // Another socket has taken the port just now; Up waits for it.
	}
	return reservedPort(fd)
}

func (r reservedPort) release() {
	if r >= 0 {
		syscall.Close(int(r))
	}
}

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
	if p.down {
		p.reserved.release()
	}
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
	for c := range p.conns {
		c.Close()
	}
}

func (p *Proxy) state() (f Fault, target string, changed chan struct{}, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.target, p.changed, p.closed
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(client net.Conn) {
	defer client.Close()
	fault, target, _, _ := p.state()
	if fault.Refuse || target == "" {
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer server.Close()
	c := new(pair)
	if !p.add(c, client, server) {
		return
	}
	defer p.remove(c, client, server)
	var both sync.WaitGroup
	both.Go(func() {
		p.forward(client, server, func(f Fault) bool { return f.HoldForward || c.stalledForward.Load() })
	})
	both.Go(func() {
		p.forward(server, client, func(f Fault) bool { return f.HoldBackward || c.stalledBackward.Load() })
	})
	both.Wait()
}

func (p *Proxy) add(c *pair, conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pairs[c] = struct{}{}
	for _, conn := range conns {
		p.conns[conn] = struct{}{}
	}
	return !p.closed && !p.down
}

func (p *Proxy) remove(c *pair, conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, c)
	for _, conn := range conns {
		delete(p.conns, conn)
	}
}

const chunkBytes = 4 << 10

// forward copies data in one direction until either connection ends, and then closes
// both. It does not support half-closed connections. A reset is forwarded as a reset.
func (p *Proxy) forward(from, to net.Conn, isHeld func(Fault) bool) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if !p.applyFault(n, isHeld) {
			return
		}
		_, writeErr := to.Write(buf[:n])
		if errors.Is(err, syscall.ECONNRESET) {
			resetAtClose(to)
		}
		if writeErr != nil || err != nil {
			return
		}
	}
}

// resetAtClose makes closing the connection send a reset.
func resetAtClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // It may be closed already.
	}
}

// applyFault delays n bytes as the fault in effect demands, and reports whether to
// forward them; it returns false once the proxy is closed.
func (p *Proxy) applyFault(n int, isHeld func(Fault) bool) bool {
	fault, _, changed, closed := p.state()
	for isHeld(fault) && !closed {
		<-changed
		fault, _, changed, closed = p.state()
	}
	pause := fault.Delay
	if fault.BytesPerSecond > 0 {
		pause += time.Duration(n) * time.Second / time.Duration(fault.BytesPerSecond)
	}
	if pause > 0 {
		time.Sleep(pause)
	}
	return !closed
}
