// SPDX-License-Identifier: MIT

package spread

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ryehaven/ryehaven/store"
	"github.com/ryehaven/ryehaven/table"
)

// connStore is a store whose open connections can stall for good, which a caller notices only
// by its own timeout. Each call uses a connection of its own.
type connStore struct {
	// latency is the time that the store takes for each reply.
	latency time.Duration

	mu           sync.Mutex
	changed      chan struct{}
	open         map[*storeConn]bool
	revision     uint64
	objects      map[string]store.Object
	down         bool
	unresponsive bool
	calls        int
	checks       int
}

// storeConn is one connection.
type storeConn struct{ stalled bool }

func newConnStore() *connStore {
	return &connStore{latency: 4 * time.Millisecond, changed: make(chan struct{}), open: map[*storeConn]bool{}, objects: map[string]store.Object{}}
}

// wake wakes all waiting calls. s.mu must be held.
func (s *connStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *connStore) put(key string, body []byte) {
	s.revision++
	s.objects[key] = store.Object{Body: body, Tag: strconv.FormatUint(s.revision, 10)}
	s.wake()
}

// putTable stores a version of the table.
func (s *connStore) putTable(t *testing.T, generation table.Generation) {
	text := snapshot(t, generation, fmt.Sprint(generation)).Text
	e := store.Envelope{Generation: generation, WriteID: "w", Hash: table.HashText(text), Table: string(text)}
	body, err := e.Encode()
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(store.TableKey, body)
}

// putEvacuations stores a state of the evacuations and returns its version.
func (s *connStore) putEvacuations(t *testing.T, zones ...string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.revision + 1
	e := evacuations(version, zones...)
	body, err := e.Encode()
	if err != nil {
		t.Fatal(err)
	}
	s.put(store.EvacuationsKey, body)
	return version
}

// stallConnections stalls all connections that are open now.
func (s *connStore) stallConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.open {
		l.stalled = true
	}
	s.wake()
}

// setFailure makes the store reply to everything with an error, or to nothing on any
// connection.
func (s *connStore) setFailure(down, unresponsive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.unresponsive = down, unresponsive
	s.wake()
}

// counts returns the numbers of calls and checks received.
func (s *connStore) counts() (calls, checks int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.checks
}

func (s *connStore) connect() *storeConn {
	l := new(storeConn)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[l] = true
	return l
}

func (s *connStore) disconnect(l *storeConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, l)
}

// Get implements store.Client.
func (s *connStore) Get(ctx context.Context, key string) (store.Object, error) {
	o, _, err := s.Watch(ctx, key, "", 0)
	return o, err
}

// Put implements store.Client.
func (s *connStore) Put(context.Context, string, string, []byte) (string, error) {
	return "", store.ErrUnavailable
}

// Watch implements store.Client.
func (s *connStore) Watch(ctx context.Context, key, tag string, wait time.Duration) (store.Object, bool, error) {
	l := s.connect()
	defer s.disconnect(l)
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	return s.request(ctx, l, key, tag, wait, wait+clientTimeout)
}

// Probe implements store.Prober.
func (s *connStore) Probe(ctx context.Context, _ time.Duration) (store.Probe, error) {
	sleep(ctx, s.latency)
	return &connProbe{s, s.connect()}, ctx.Err()
}

// connProbe is a probe on one connection that is kept open.
type connProbe struct {
	store *connStore
	conn  *storeConn
}

func (p *connProbe) Close() { p.store.disconnect(p.conn) }

// Check implements store.Probe.
func (p *connProbe) Check(ctx context.Context, tag string, limit time.Duration) (bool, error) {
	p.store.mu.Lock()
	p.store.checks++
	p.store.mu.Unlock()
	_, changed, err := p.store.request(ctx, p.conn, store.TableKey, tag, time.Millisecond, limit)
	return changed, err
}

// request sends a request on a connection and waits for the reply until limit, as a client does.
func (s *connStore) request(ctx context.Context, l *storeConn, key, tag string, wait, limit time.Duration) (store.Object, bool, error) {
	limited := time.NewTimer(limit)
	defer limited.Stop()
	sleep(ctx, s.latency)
	waited := time.NewTimer(wait)
	defer waited.Stop()
	for waiting := wait > 0; ; {
		s.mu.Lock()
		o, noReply, down, changed := s.objects[key], l.stalled || s.unresponsive, s.down, s.changed
		s.mu.Unlock()
		switch {
		case noReply || ctx.Err() != nil:
		case down:
			return store.Object{}, false, store.ErrUnavailable
		case o.Tag == "":
			return store.Object{}, false, store.ErrNotFound
		case o.Tag != tag || !waiting:
			return o, o.Tag != tag, nil
		}
		select {
		case <-ctx.Done():
			return store.Object{}, false, &store.UnansweredError{Meaning: store.ErrUnavailable, Cause: ctx.Err()}
		case <-limited.C:
			return store.Object{}, false, &store.UnansweredError{Meaning: store.ErrUnavailable, Cause: context.DeadlineExceeded}
		case <-changed:
		case <-waited.C:
			waiting = false
		}
	}
}

// inForce is the time within which every node must have a change.
const inForce = 2 * time.Second

// startWatching returns a fleet whose nodes exchange digests and watch one store, and which
// all have the store's table and evacuations.
func startWatching(t *testing.T, nodes, zones int) (f *fleet, s *connStore, wait *sync.WaitGroup) {
	t.Helper()
	f, s, wait = beginWatching(t, nodes, zones)
	time.Sleep(10 * time.Second)
	if late := f.behind(1, 2); len(late) > 0 {
		t.Fatalf("before any stall %v had not read from the store", late)
	}
	return f, s, wait
}

// beginWatching is startWatching without waiting until the nodes have read anything.
func beginWatching(t *testing.T, nodes, zones int) (f *fleet, s *connStore, wait *sync.WaitGroup) {
	t.Helper()
	return beginWatchingWith(t, nodes, zones, func(s *connStore) store.Client { return s })
}

// beginWatchingWith is beginWatching with a store client for each node.
func beginWatchingWith(t *testing.T, nodes, zones int, client func(s *connStore) store.Client) (f *fleet, s *connStore, wait *sync.WaitGroup) {
	t.Helper()
	f, s, wait = newFleet(nodes, zones), newConnStore(), new(sync.WaitGroup)
	s.putTable(t, 1)
	s.putEvacuations(t)
	for _, n := range f.nodes {
		n.spread.platform = client(s)
		n.spread.settings.WatchEvacuations = true
		n.spread.settings.InForceWithin = inForce
		n.spread.settings.WatchWait = 25 * time.Second
		n.spread.settings.StaleAfter = 31 * time.Second
		n.spread.settings.PollInterval = 5 * time.Minute
		n.run(wait)
		watchContext, cancel := context.WithCancel(context.Background())
		cancelExchanges := n.cancel
		n.cancel = func() { cancelExchanges(); cancel() }
		wait.Go(func() { n.spread.runWatch(watchContext) })
		wait.Go(func() { n.spread.runRankChecks(watchContext) })
		wait.Go(func() { n.spread.runProbes(watchContext) })
		wait.Go(func() { n.spread.runEvacuations(watchContext) })
	}
	return f, s, wait
}

// behind returns the nodes that hold an older table or older evacuations.
func (f *fleet) behind(generation table.Generation, version uint64) (hosts []string) {
	for _, n := range f.nodes {
		if g, _ := n.spread.holder.Generation(); g < generation || n.spread.Evacuations().Version < version {
			hosts = append(hosts, n.record.Host)
		}
	}
	return hosts
}

// waitUntilInForce waits until all nodes have a change, and fails the test if that takes
// longer than inForce.
func (f *fleet) waitUntilInForce(t *testing.T, what string, generation table.Generation, version uint64) time.Duration {
	t.Helper()
	began := time.Now()
	for time.Since(began) < inForce {
		if len(f.behind(generation, version)) == 0 {
			return time.Since(began)
		}
		time.Sleep(time.Millisecond)
	}
	late := f.behind(generation, version)
	t.Errorf("%s: not in force at %d of %d nodes within %v", what, len(late), len(f.nodes), inForce)
	return inForce
}

// fleets are the sizes of fleets that the tests below run.
var fleets = []struct{ nodes, zones int }{{13, 3}, {largeFleet, fleetZones}}

// eachFleet runs a test with each size of fleet.
func eachFleet(t *testing.T, test func(t *testing.T, f *fleet, s *connStore)) {
	for _, size := range fleets {
		t.Run(fmt.Sprint(size.nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, s, wait := startWatching(t, size.nodes, size.zones)
				test(t, f, s)
				f.stop(wait)
			})
		})
	}
}

// afterStalls makes changes at several times after a stall of all connections. The stalls come
// at several phases of what nodes do once a second.
func afterStalls(s *connStore, change func(offset time.Duration)) {
	for phase := time.Duration(0); phase < time.Second; phase += phaseStep {
		for _, offset := range []time.Duration{0, 1, 300, 1000, 1700, 3000} {
			time.Sleep(4*time.Second + phase)
			s.stallConnections()
			time.Sleep(offset * time.Millisecond)
			change(offset * time.Millisecond)
		}
	}
}

// All connections to the store stalled, which callers noticed only by their own timeouts. The
// watches hung for up to 27 s, so a table accepted in that time was unknown to every node for
// more than 20 s, and requests that it allows were refused.
func TestTableIsInForceInTimeAfterStall(t *testing.T) {
	eachFleet(t, func(t *testing.T, f *fleet, s *connStore) {
		generation := table.Generation(1)
		afterStalls(s, func(offset time.Duration) {
			generation++
			s.putTable(t, generation)
			t.Logf("%v after a stall: in force after %v", offset, f.waitUntilInForce(t, fmt.Sprint("a table ", offset, " after a stall"), generation, 0))
		})
	})
}

// The same must hold for evacuations.
func TestEvacuationsAreInForceInTimeAfterStall(t *testing.T) {
	eachFleet(t, func(t *testing.T, f *fleet, s *connStore) {
		zones := []string{"zone-0"}
		afterStalls(s, func(offset time.Duration) {
			version := s.putEvacuations(t, zones...)
			zones = append(zones[:0:0], fmt.Sprint("zone-", version%2))
			t.Logf("%v after a stall: in force after %v", offset, f.waitUntilInForce(t, fmt.Sprint("an evacuation ", offset, " after a stall"), 0, version))
		})
	})
}

// Some time after the start, connections stalled while watches were older than the probe
// connections. In one of six runs of real nodes no change was noticed for 20 s.
func TestChangeIsInForceInTimeAfterStallAtStart(t *testing.T) {
	for _, size := range fleets {
		for at := 50 * time.Millisecond; at < 4*time.Second; at += startStep {
			synctest.Test(t, func(t *testing.T) {
				f, s, wait := beginWatching(t, size.nodes, size.zones)
				time.Sleep(at)
				s.stallConnections()
				s.putTable(t, 2)
				version := s.putEvacuations(t, "zone-0")
				t.Logf("%d nodes: %v after the start: in force after %v", size.nodes, at, f.waitUntilInForce(t, fmt.Sprint("a change ", at, " after the start"), 2, version))
				f.stop(wait)
			})
		}
	}
}

// Connections stall every 0.7 s, so that every connection stalls soon after it is opened.
func TestChangesAreInForceInTimeDuringSeriesOfStalls(t *testing.T) {
	eachFleet(t, func(t *testing.T, f *fleet, s *connStore) {
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		wait.Go(func() {
			for ctx.Err() == nil {
				s.stallConnections()
				sleep(ctx, 700*time.Millisecond)
			}
		})
		for i := range 6 {
			time.Sleep(time.Duration(i) * 230 * time.Millisecond)
			generation := table.Generation(i + 2)
			s.putTable(t, generation)
			version := s.putEvacuations(t, fmt.Sprint("zone-", i%2))
			t.Logf("change %d: in force after %v", i, f.waitUntilInForce(t, fmt.Sprint("change ", i), generation, version))
		}
		cancel()
		wait.Wait()
	})
}

// While no connection stalls, the number of calls does not grow with the number of nodes: each
// zone has two watches per object, renewed when they time out, and one check per second.
func TestIdleWatchesMakeFewCalls(t *testing.T) {
	const period, zones = time.Minute, 3
	for _, nodes := range []int{13, largeFleet} {
		synctest.Test(t, func(t *testing.T) {
			f, s, wait := startWatching(t, nodes, zones)
			callsBefore, checksBefore := s.counts()
			time.Sleep(period)
			callsAfter, checksAfter := s.counts()
			t.Logf("%d nodes: %d calls and %d checks in %v", nodes, callsAfter-callsBefore, checksAfter-checksBefore, period)
			renewals := int(period/f.nodes[0].spread.settings.WatchWait) + 1
			if most := 2 * watchers * zones * renewals; callsAfter-callsBefore > most {
				t.Errorf("%d nodes: %d calls, more than %d", nodes, callsAfter-callsBefore, most)
			}
			if most := zones * int(period/(inForce/checkDivisor)+1); checksAfter-checksBefore > most {
				t.Errorf("%d nodes: %d checks, more than %d", nodes, checksAfter-checksBefore, most)
			}
			f.stop(wait)
		})
	}
}

// A store that is down is not overloaded with calls, whether it replies with errors or not at
// all: each of the few watches calls every two seconds or so, and the checks of the first
// nodes do not add to that.
func TestStoreThatIsDownReceivesFewCalls(t *testing.T) {
	const outage, zones = time.Minute, 3
	for _, unresponsive := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f, s, wait := startWatching(t, 13, zones)
			callsBefore, checksBefore := s.counts()
			s.setFailure(!unresponsive, unresponsive)
			time.Sleep(outage)
			callsAfter, checksAfter := s.counts()
			t.Logf("unresponsive %t: %d calls and %d checks in %v", unresponsive, callsAfter-callsBefore, checksAfter-checksBefore, outage)
			// With the jitter a pause is at least 1.6 s, and the other nodes poll a few times.
			if most := 2*watchers*zones*int(outage/(1600*time.Millisecond)) + 4*13; callsAfter-callsBefore > most {
				t.Errorf("unresponsive %t: %d calls, more than %d", unresponsive, callsAfter-callsBefore, most)
			}
			if most := zones * int(outage/(inForce/checkDivisor)+2); checksAfter-checksBefore > most {
				t.Errorf("unresponsive %t: %d checks, more than %d", unresponsive, checksAfter-checksBefore, most)
			}
			f.stop(wait)
		})
	}
}

// On a call of Recheck, a node that probes checks at once, and any other node restarts its
// watches, but not more often than every five seconds.
func TestRecheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s, wait := startWatching(t, 13, 3)
		s.stallConnections()
		for _, n := range f.nodes {
			n.spread.Recheck()
		}
		s.putTable(t, 2)
		if took := f.waitUntilInForce(t, "a table after Recheck", 2, 0); took > inForce/overdueDivisor+100*time.Millisecond {
			t.Errorf("in force after %v", took)
		}
		time.Sleep(10 * time.Second)
		before, _ := s.counts()
		for range 40 {
			for _, n := range f.nodes {
				n.spread.Recheck()
			}
			time.Sleep(100 * time.Millisecond)
		}
		after, _ := s.counts()
		t.Logf("%d calls for 40 false alarms of all nodes in 4 s", after-before)
		if most := 2 * watchers * 3; after-before > most {
			t.Errorf("%d calls, more than %d", after-before, most)
		}
		f.stop(wait)
	})
}
