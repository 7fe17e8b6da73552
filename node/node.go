// SPDX-License-Identifier: MIT

package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/ryehaven/ryehaven/admit"
	"github.com/ryehaven/ryehaven/announce"
	"github.com/ryehaven/ryehaven/calls"
	"github.com/ryehaven/ryehaven/entry"
	"github.com/ryehaven/ryehaven/event"
	"github.com/ryehaven/ryehaven/gate"
	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/internal/sock"
	"github.com/ryehaven/ryehaven/internal/suspend"
	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/metric"
	"github.com/ryehaven/ryehaven/peer"
	"github.com/ryehaven/ryehaven/quota"
	"github.com/ryehaven/ryehaven/settings"
	"github.com/ryehaven/ryehaven/spread"
	"github.com/ryehaven/ryehaven/store"
	"github.com/ryehaven/ryehaven/table"
)

// Limits and intervals that are not configurable. Those that are passed on to other packages
// are described in entry.Settings, gate.Settings, spread.Settings and package peer.
const (
	tickInterval       = 10 * time.Millisecond
	connectTimeout     = 250 * time.Millisecond
	cancelReplyTimeout = 20 * time.Millisecond
	handshakeTimeout   = time.Second
	peerIdleTimeout    = 30 * time.Second
	backendIdleTimeout = 2 * time.Second
	abandonedTimeout   = 30 * time.Second
	flushAfter         = time.Second
	probeTimeout       = time.Second
	queryTimeout       = 500 * time.Millisecond
	noTableRetryAfter  = 250 * time.Millisecond
	maxPeerConns       = 4096
	// tableBytesPerSecond limits the tables sent to other nodes, so that the rest of the
	// 22 KB/s for control traffic is left for digests and records.
	tableBytesPerSecond = 12 << 10
	// noticesPerSecond limits the stall notices that a node sends to all entries together,
	// each of about 60 bytes.
	noticesPerSecond = 100
	// idleTickInterval replaces tickInterval while no request is at the node, since each
	// wakeup costs processor time. A tickInterval of 4 ms instead of 10 ms would cause most
	// of the process's wakeups without any benefit from detecting stalls earlier.
	idleTickInterval = 100 * time.Millisecond
)

// Node is the system's process on one host.
type Node struct {
	settings settings.Settings
	log      *zap.Logger

	callers net.Listener
	peers   net.Listener
	admin   net.Listener
	// metricsOnly is for metrics only; nil if its address is not set or in use.
	metricsOnly net.Listener

	counters   peer.Counters
	dialer     *peer.Dialer
	peerServer *peer.Server
	entry      *entry.Entry
	holder     *spread.Holder
	spread     *spread.Spread
	metrics    metric.Set
	// noticeLimiter limits the rate of stall notices to entries.
	noticeLimiter *rate.Limiter
	noticesSent   atomic.Int64
	stopping      atomic.Bool
	// draining is set when the gates refuse new requests because the node is stopping.
	draining atomic.Bool
	// idle is set while runTicks uses idleTickInterval and has to be woken by requests.
	idle    atomic.Bool
	wake    chan struct{}
	aborted chan struct{}
	// unconfirmed wakes confirmServers.
	unconfirmed chan struct{}
	openConns   atomic.Int64
	// acceptFailures counts connections that could not be accepted.
	acceptFailures atomic.Int64
	renewals       renewalLimiter
	// suspensions counts the detected suspensions of the host.
	suspensions atomic.Int64

	dialect         header.Dialect
	recorder        *event.Recorder
	origins         admit.Origins
	calls           calls.Tracker
	blame           blameTracker
	quotas          *quota.Limiter
	suspendDetector suspend.Detector

	mu           sync.Mutex
	registry     announce.Registry
	lastRejected rejectedAnnouncement
	applied      *table.Snapshot
	gates        map[gateKey]*gate.Gate
	retired      []*gate.Gate
	// started is when this process started, and retiredAt when its earlier gates were
	// retired.
	started   time.Time
	retiredAt retirementTimes
	// members are the member records as of the last refresh.
	members map[string]member.Record
}

// gateKey identifies the backend server of a gate.
type gateKey struct {
	service string
	server  string
}

// Options configure a node in addition to its settings.
type Options struct {
	// Store is the platform's store; nil for a node that gets everything from other nodes.
	Store store.Client
	// Dialect defines the header fields that are exchanged with callers and servers; the
	// zero value means header.DefaultDialect.
	Dialect header.Dialect
	// Recorder writes the decision log; nil writes none.
	Recorder *event.Recorder
	// Suspended returns the total time for which the host has been suspended; nil means
	// suspend.Total.
	Suspended func() (time.Duration, error)
}

// New returns a node with open listeners. Run starts it.
func New(s settings.Settings, log *zap.Logger, options Options) (*Node, error) {
	n := &Node{started: time.Now(), settings: s, log: log.With(zap.String("host", s.Host)), gates: map[gateKey]*gate.Gate{}, wake: make(chan struct{}, 1), unconfirmed: make(chan struct{}, 1), aborted: make(chan struct{})}
	n.dialect = options.Dialect
	if n.dialect.Deadline == "" {
		n.dialect = header.DefaultDialect()
	}
	n.dialect.Prepare()
	n.recorder = options.Recorder
	n.registry.Service = s.Sidecar.Service
	n.registry.MustConfirm = n.dialect.ServerID != ""
	n.blame.node = n
	n.suspendDetector.Total = options.Suspended
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	incarnation := uint64(time.Now().Add(s.Experiment.ClockStep).UnixMilli())
	self := peer.Identity{Host: s.Host, Incarnation: incarnation, Key: []byte(s.Peers.Key)}
	n.dialer = &peer.Dialer{
		Self:         self,
		Counters:     &n.counters,
		Limit:        connectTimeout,
		IdleLimit:    peerIdleTimeout,
		PingAfter:    s.Peers.PingAfter,
		SuspectAfter: s.Peers.SuspectAfter,
	}
	n.peerServer = &peer.Server{
		Self:           self,
		Counters:       &n.counters,
		Handler:        n,
		HandshakeLimit: handshakeTimeout,
		MaxConns:       maxPeerConns,
		IdleLimit:      2 * peerIdleTimeout,
	}
	n.peerServer.OnStalled = n.connectionStalled
	n.dialer.OnStalled = n.connectionStalled
	n.quotas = quota.New(n.quotaSettings())
	n.entry = entry.New(n.entrySettings(), n.dialer)
	n.dialer.OnNotice = n.entry.HandleNotice
	n.dialer.OnSlowness = n.entry.HandleSlowness
	n.dialer.OnHeadroom = n.entry.HandleHeadroom
	n.noticeLimiter = rate.NewLimiter(noticesPerSecond, noticesPerSecond)
	n.holder = &spread.Holder{Log: n.log, OnAccepted: n.apply}
	n.spread = spread.New(n.spreadSettings(), n.log, n.holder, member.NewView(n.selfRecord(incarnation)), n.dialer, options.Store, n.viewChanged)
	n.dialer.OnPeer = n.spread.OutboundConnected
	n.peerServer.OnPeer = n.peerConnected
	n.metrics = n.newMetrics()
	return n, nil
}

func (n *Node) listen() error {
	for _, l := range []struct {
		at      *net.Listener
		address string
	}{
		{&n.callers, n.settings.Listen.Caller},
		{&n.peers, n.settings.Listen.Peer},
		{&n.admin, n.settings.Listen.Admin},
	} {
		listener, err := sock.Listen(l.address)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", l.address)
		}
		listener.OnFailure = n.acceptFailed
		*l.at = listener
	}
	n.listenForMetrics()
	return nil
}

// acceptFailed counts a connection that could not be accepted, and logs the first one.
func (n *Node) acceptFailed(err error) {
	if n.acceptFailures.Add(1) == 1 {
		n.log.Warn("could not accept a connection; further failures are only counted (metric accept_failures)", zap.Error(err))
	}
}

// listenForMetrics opens the port for metrics. A failure is not fatal: the port is chosen
// without regard to other processes of the host, so one of them may already use it.
func (n *Node) listenForMetrics() {
	if n.settings.Listen.Metrics == "" {
		return
	}
	listener, err := net.Listen("tcp", n.settings.Listen.Metrics)
	if err != nil {
		n.log.Warn("could not open the port for metrics; they are served at the admin port only", zap.Error(err))
		return
	}
	n.metricsOnly = listener
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.callers, n.peers, n.admin, n.metricsOnly} {
		if l != nil {
			l.Close()
		}
	}
}

// selfRecord returns this node's initial member record.
func (n *Node) selfRecord(incarnation uint64) member.Record {
	address := n.settings.Listen.Advertise
	if address == "" {
		address = n.PeerAddress()
	}
	return member.Record{
		Host:        n.settings.Host,
		Incarnation: incarnation,
		Address:     address,
		Zone:        n.settings.Zone,
		Region:      n.settings.Region,
	}
}

// CallerAddress returns the address that callers use.
func (n *Node) CallerAddress() string { return n.callers.Addr().String() }

// PeerAddress returns the address that other nodes use.
func (n *Node) PeerAddress() string { return n.peers.Addr().String() }

// AdminAddress returns the address that operators use.
func (n *Node) AdminAddress() string { return n.admin.Addr().String() }

// Run serves until ctx ends and then performs a planned stop. It returns nil if no request
// was pending at the end of the stop.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wait sync.WaitGroup
	callers := n.callerServer()
	admin := &fasthttp.Server{Handler: n.handleAdmin, Name: "ryehaven", IdleTimeout: n.settings.Limits.IdleTimeout}
	failed := make(chan error, 4)
	serve := func(name string, f func() error) {
		wait.Go(func() {
			if err := f(); err != nil && background.Err() == nil && !n.stopping.Load() {
				failed <- eris.Wrapf(err, "serve %s", name)
			}
		})
	}
	serve("callers", func() error { return callers.Serve(n.callerListener()) })
	serve("nodes", func() error { return n.peerServer.Serve(n.peers) })
	serve("operators", func() error { return admin.Serve(n.admin) })
	metricsServer := &fasthttp.Server{Handler: n.handleMetricsOnly, Name: "ryehaven", IdleTimeout: n.settings.Limits.IdleTimeout}
	if n.metricsOnly != nil {
		serve("metrics", func() error { return metricsServer.Serve(n.metricsOnly) })
	}
	wait.Go(func() { n.spread.Run(background) })
	wait.Go(func() { n.runTicks(background) })
	if n.settings.Sidecar.Control != "" {
		wait.Go(func() { n.findServer(background) })
		wait.Go(func() { n.confirmServers(background) })
	}
	n.log.Info("node started",
		zap.String("caller", n.CallerAddress()),
		zap.String("peer", n.PeerAddress()),
		zap.String("admin", n.AdminAddress()))
	var err error
	var limit time.Duration
	select {
	case <-ctx.Done():
		began := time.Now()
		err = n.stop()
		limit = n.shutdownTimeout(began)
	case err = <-failed:
		cancel()
	case <-n.aborted:
		err = ErrAborted
		cancel()
	}
	n.closeListeners()
	ended, done := context.WithTimeout(context.Background(), max(limit, finalStateDelay))
	defer done()
	_ = callers.ShutdownWithContext(ended) // Requests still pending after stop are aborted.
	cancel()                               // Until here, what the server reports still reaches other nodes.
	_ = admin.ShutdownWithContext(ended)
	_ = metricsServer.ShutdownWithContext(ended)
	n.dialer.Close()
	n.peerServer.Close()
	wait.Wait()
	n.log.Info("node stopped", zap.Error(err))
	return err
}

// runTicks performs the periodic checks for unresponsive nodes, closed callers'
// connections, overdue requests and stalls. They are frequent while there are requests at
// the node and rare otherwise, since each wakeup costs processor time.
func (n *Node) runTicks(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var ticked time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		case <-timer.C:
		}
		now := time.Now()
		busy := n.busy()
		if !busy || now.Sub(ticked) >= tickInterval {
			ticked = now
			n.tick(now)
		}
		n.sendNotices(now)
		n.idle.Store(!busy)
		if busy {
			timer.Reset(tickInterval)
		} else {
			n.dialer.ExpectCheckWithin(idleTickInterval)
			timer.Reset(idleTickInterval)
		}
	}
}

// busy reports whether there are any requests at this node.
func (n *Node) busy() bool {
	if n.entry.Active() > 0 {
		return true
	}
	for _, g := range n.allGates() {
		if g.Pending() > 0 {
			return true
		}
	}
	return false
}

// requestArrived wakes runTicks when a request arrives at an idle node.
func (n *Node) requestArrived() {
	if n.idle.CompareAndSwap(true, false) {
		n.wakeTicks()
	}
}

// wakeTicks makes runTicks run its next round at once.
func (n *Node) wakeTicks() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// sendNotices sends changes of the gates' slowness, headroom and stalls to entries.
func (n *Node) sendNotices(now time.Time) {
	for _, g := range n.allGates() {
		if slowness, ok := g.SlownessUpdate(now); ok {
			n.noticesSent.Add(int64(n.peerServer.NotifySlowness(slowness)))
		}
		if headroom, ok := g.HeadroomUpdate(now); ok {
			n.noticesSent.Add(int64(n.peerServer.NotifyHeadroom(headroom)))
		}
		notice, ok := g.StallNotice(now)
		if !ok {
			continue
		}
		budget := int(n.noticeLimiter.TokensAt(now))
		if budget <= 0 {
			continue
		}
		sent := n.peerServer.Notify(now, notice, budget)
		n.noticeLimiter.AllowN(now, sent)
		n.noticesSent.Add(int64(sent))
	}
}

// tick performs one round of the periodic checks.
func (n *Node) tick(now time.Time) {
	n.checkSuspension(now)
	n.dialer.Check(now)
	n.peerServer.Check(now)
	n.entry.Tick(now)
	n.quotas.Tick(now)
	for _, g := range n.allGates() {
		g.Tick(now)
		g.Probe(now, probeTimeout)
	}
	n.dropRetired()
}
