// SPDX-License-Identifier: MIT

package soak

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/internal/faultproxy"
	"github.com/ryehaven/ryehaven/platform/emulator"
	"github.com/ryehaven/ryehaven/query"
)

// site is a running site: node processes, backend servers and the emulated store.
type site struct {
	options Options
	store   *emulator.Store
	// initialStore is a copy of the store from before any node was registered in it.
	initialStore emulator.Snapshot
	hosts        []*host
	serviceTime  time.Duration
	nextID       atomic.Uint64
	// storeFaults counts, for each fault of the store, the steps that demand it now.
	storeMu     sync.Mutex
	storeFaults map[Kind]int
	// evacuating is locked while a zone is evacuated.
	evacuating sync.Mutex

	mu      sync.Mutex
	history History
	// evacuated holds the zones that the operators have evacuated now.
	evacuated map[string]bool
	serial    int
	notes     []string
}

// services lists the services; half of the hosts have the first one.
var services = []string{"alpha", "beta"}

// Values of every route: the number of servers that a request may be sent to, and its time
// limit.
const (
	attempts  = 2
	timeoutMs = 1000
)

// routesOf returns the routes of a version: one for each kind of request, and one for each of
// the latest versions, which introduced it.
func routesOf(serial int) []emulator.Route {
	routes := []emulator.Route{
		{Prefix: "/read/", Repeatable: true, Service: services[0], TimeoutMs: timeoutMs, AimMs: 400, Attempts: attempts, Priority: 1},
		{Prefix: "/write/", Service: services[0], TimeoutMs: timeoutMs, AimMs: 400, Attempts: attempts},
		{Prefix: "/order/", Service: services[1], TimeoutMs: timeoutMs, AimMs: 400, Attempts: attempts},
	}
	routes = append(routes, emulator.Route{
		Prefix: movingPrefix, Repeatable: true, Service: movingService(serial), TimeoutMs: timeoutMs, AimMs: 400, Attempts: attempts, Priority: 1,
	})
	for s := max(1, serial-routesKept+1); s <= serial; s++ {
		routes = append(routes, emulator.Route{
			Prefix: versionPrefix(s), Repeatable: true, Service: services[s%len(services)], TimeoutMs: timeoutMs, AimMs: 400, Attempts: attempts, Priority: 2,
		})
	}
	return routes
}

// movingPrefix is the prefix of the route that moves to another service with every version.
const movingPrefix = "/moving/"

func movingService(serial int) string { return services[serial%len(services)] }

// The cold start of servers: its length in seconds, the requests that a cold server can serve
// in a second, and the factor and the number by which it may get more.
const (
	coldStart     = 3
	coldPerSecond = 20
	coldOvershoot = 2
	coldSlack     = 10
)

// evacuate evacuates a zone for a time. It does nothing if a zone is evacuated already, since
// requests need servers to go to.
func (s *site) evacuate(ctx context.Context, zone string, length time.Duration) {
	if !s.evacuating.TryLock() {
		return
	}
	defer s.evacuating.Unlock()
	from := s.setEvacuated(zone, true)
	pause(ctx, length)
	to := time.Now()
	s.setEvacuated(zone, false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Evacuations = append(s.history.Evacuations, Evacuation{Zone: zone, From: from, To: to})
}

// evacuationKind is the kind of the objects with which operators evacuate zones, and
// nodesKind of those with which nodes register.
const (
	evacuationKind = "evacuations"
	nodesKind      = "ryehaven-nodes"
)

// setEvacuated evacuates a zone or revokes that, and returns when the store had the change.
func (s *site) setEvacuated(zone string, evacuated bool) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated[zone] = evacuated
	if evacuated {
		s.store.Put(evacuationKind, zone, struct{}{})
	} else {
		delete(s.evacuated, zone)
		s.store.Delete(evacuationKind, zone)
	}
	return time.Now()
}

// routesKept is the number of versions whose routes a configuration keeps. A run has fewer
// changes, so that no route is ever removed.
const routesKept = 400

func versionPrefix(serial int) string { return fmt.Sprintf("/since-%d/", serial) }

// defaultServiceTime is the time that servers work on a request.
const defaultServiceTime = 4 * time.Millisecond

// startSite starts a store, servers and nodes, and waits until all of them serve requests.
func startSite(o Options) (*site, error) {
	s := &site{options: o, serviceTime: cmp.Or(o.ServiceTime, defaultServiceTime), storeFaults: map[Kind]int{}, evacuated: map[string]bool{}}
	s.history.Attempts = attempts
	s.history.Tenants = s.options.Tenants
	if err := s.start(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *site) start() error {
	store, err := emulator.NewStore()
	if err != nil {
		return err
	}
	s.store = store
	s.store.PutInvalidHosts()
	s.change()
	s.initialStore = s.store.Snapshot()
	for i := range s.options.Hosts {
		if err := s.addHost(i); err != nil {
			return err
		}
	}
	var wait sync.WaitGroup
	errs := make([]error, len(s.hosts))
	for i, h := range s.hosts {
		wait.Go(func() { errs[i] = h.start() })
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return s.waitRecovered(startTimeout)
}

// ipOf returns a loopback address for a host. It contains the process ID, to separate
// concurrent runs. Outgoing connections come from 127.0.0.1 and so never occupy its ports.
func ipOf(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid%200, 1+pid/200%250, 1+number)
}

func (s *site) addHost(number int) error {
	h := &host{
		site:    s,
		number:  number,
		ip:      ipOf(number),
		zone:    fmt.Sprint("zone-", number%3),
		service: services[number%len(services)],
	}
	var err error
	if h.peer, err = faultproxy.New(); err != nil {
		return err
	}
	if h.store, err = faultproxy.New(); err != nil {
		return err
	}
	h.peer.SetTarget(h.address(peerPort))
	if h.toServer, err = faultproxy.New(); err != nil {
		return err
	}
	h.store.SetTarget(s.store.Address())
	h.toServer.SetTarget(h.address(serverPort))
	s.hosts = append(s.hosts, h)
	s.history.Services = append(s.history.Services, h.service)
	s.history.Zones = append(s.history.Zones, h.zone)
	return h.newServer()
}

// change writes the next version of the configuration.
func (s *site) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial++
	v := Version{Serial: s.serial, Sent: time.Now(), MovingService: movingService(s.serial)}
	s.writeConfiguration()
	v.At = time.Now()
	s.history.Versions = append(s.history.Versions, v)
}

// restoreStore restores the store from a backup, and writes the later changes of the
// operators again. The lock keeps other changes out in the meantime.
func (s *site) restoreStore(old emulator.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Restore(old)
	for _, zone := range s.store.Names(evacuationKind) {
		if !s.evacuated[zone] {
			s.store.Delete(evacuationKind, zone)
		}
	}
	for zone := range s.evacuated {
		s.store.Put(evacuationKind, zone, struct{}{})
	}
	s.writeConfiguration()
}

// writeConfiguration writes the newest version. The caller must hold s.mu.
func (s *site) writeConfiguration() {
	s.store.Put("config", "main", s.configuration(s.serial))
}

// newestVersion returns the number of the newest version of the configuration.
func (s *site) newestVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serial
}

func (s *site) addAck(a Ack) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Acks = append(s.history.Acks, a)
}

func (s *site) addProcess(p NodeProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Processes = append(s.history.Processes, p)
}

func (s *site) addCall(c Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Calls = append(s.history.Calls, c)
}

func (s *site) addDisturbance(d Disturbance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Disturbances = append(s.history.Disturbances, d)
}

func (s *site) addReducedCapacity(d Disturbance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.ReducedCapacity = append(s.history.ReducedCapacity, d)
}

// note adds a note to the report.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes = append(s.notes, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// onEveryHost calls a function for every host at regular intervals until ctx ends.
func (s *site) onEveryHost(ctx context.Context, interval time.Duration, do func(h *host)) {
	var wait sync.WaitGroup
	for _, h := range s.hosts {
		wait.Go(func() {
			for ctx.Err() == nil {
				do(h)
				pause(ctx, interval)
			}
		})
	}
	wait.Wait()
}

// checkReady asks the node whether it accepts requests, as the platform does.
func (h *host) checkReady() {
	misses := h.readyMisses.Add(1)
	if emulator.Ready(h.address(readyPort), readyInterval) {
		h.readyMisses.Store(0)
		misses = 0
	}
	h.ready.Store(misses < maxReadyMisses)
}

// machineHeldUp is the kind of the disturbances that watchMachine records.
const machineHeldUp Kind = "machine-held-up"

// maxWakeDelay is the delay of a wakeup above which the machine counts as stalled.
const maxWakeDelay = 100 * time.Millisecond

// watchMachine records when the machine that runs the soak test stalled, since the nodes
// stalled with it.
func (s *site) watchMachine(ctx context.Context) {
	const every = 10 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(every)
		now := time.Now()
		if now.Sub(last) > every+maxWakeDelay {
			s.addDisturbance(Disturbance{Host: AllHosts, From: last, To: now, Kind: machineHeldUp, Unplanned: true})
		}
		last = now
	}
}

// pause waits until a time has passed or ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// waitRecovered waits until every node has the newest configuration, knows every server and
// serves every kind of request.
func (s *site) waitRecovered(timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for {
		err := s.checkRecovered()
		if err == nil || time.Now().After(until) {
			return err
		}
		for _, h := range s.hosts {
			h.announce()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkRecovered returns an error that says what has not recovered.
func (s *site) checkRecovered() error {
	listed := s.store.Names(nodesKind)
	for _, h := range s.hosts {
		if !slices.Contains(listed, h.name()) {
			return fmt.Errorf("host %d is not registered in the store", h.number)
		}
		status, err := query.GetStatus(h.address(adminPort))
		if err != nil {
			return err
		}
		known := 0
		for _, m := range status.Members {
			if m.Server != "" && m.ServerState == "live" {
				known++
			}
		}
		if int(status.Generation) != s.newestVersion() || known != len(s.hosts) {
			return fmt.Errorf("host %d has version %d of %d and knows %d of %d servers", h.number, status.Generation, s.newestVersion(), known, len(s.hosts))
		}
		for _, uri := range []string{"/read/healed", "/write/healed", "/order/healed"} {
			if c := s.send(h, request{uri: uri, repeatable: uri == "/read/healed"}); c.Reply.Status != fasthttp.StatusOK {
				return fmt.Errorf("host %d answered %s with status %d, error %v", h.number, uri, c.Reply.Status, c.Reply.Err)
			}
		}
	}
	return nil
}

// close stops all processes and closes all connections of the site.
func (s *site) close() {
	for _, h := range s.hosts {
		h.mu.Lock()
		h.closing = true
		h.mu.Unlock()
		if h.exited != nil {
			h.signal(syscall.SIGCONT)
			h.stopProcess(syscall.SIGKILL, stopTimeout)
		}
		for _, server := range h.allServers() {
			if server != nil {
				server.Close()
			}
		}
		for _, p := range []*faultproxy.Proxy{h.peer, h.store, h.toServer} {
			if p != nil {
				p.Close()
			}
		}
	}
	if s.store != nil {
		s.store.Close()
	}
}
