// SPDX-License-Identifier: MIT

package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/client"
	"github.com/ryehaven/ryehaven/command"
	"github.com/ryehaven/ryehaven/internal/process"
	"github.com/ryehaven/ryehaven/standin"
	"github.com/ryehaven/ryehaven/store"
	"github.com/ryehaven/ryehaven/table"

	"github.com/valyala/fasthttp"
)

// put sends a value as JSON to a control path of a stand-in.
func put(t *testing.T, url string, v any) {
	t.Helper()
	body, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(url)
	request.Header.SetMethod("PUT")
	request.SetBody(body)
	if err := fasthttp.DoTimeout(request, response, 5*time.Second); err != nil || response.StatusCode() != 200 {
		t.Fatalf("put %s: status %d, error %v", url, response.StatusCode(), err)
	}
}

// publishHosts writes the platform's list of hosts, with the first host leaving or live.
func publishHosts(t *testing.T, s *process.Site, leaving bool) {
	t.Helper()
	var hosts []store.Host
	for _, n := range s.Nodes {
		hosts = append(hosts, store.Host{Host: n.Host, Address: n.Peer.Address(), Zone: n.Zone, Region: "region", State: store.HostLive})
	}
	if leaving {
		hosts[0].State = store.HostLeaving
		hosts[0].ChangedMillis = time.Now().UnixMilli()
	}
	body, err := json.Marshal(hosts)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Client.Put(context.Background(), store.HostsKey, "", body); err != nil {
		t.Fatal(err)
	}
}

// runsOf returns the number of requests that server i has run.
func runsOf(t *testing.T, s *process.Site, i int) int {
	t.Helper()
	runs, err := s.RunsOf(s.Servers[i])
	if err != nil {
		t.Fatal(err)
	}
	return runs
}

// newWorkLimit is the time within which a leaving server must stop getting new
// requests, which the requirements give as "a few seconds".
const newWorkLimit = 2 * time.Second

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	tests := []struct {
		name         string
		startLeaving func(t *testing.T, s *process.Site)
	}{
		{"server reports draining", func(t *testing.T, s *process.Site) {
			b := s.Config.Behaviour
			b.Draining = true
			put(t, "http://"+s.Servers[0].Address+standin.BehaviourPath, b)
		}},
		{"table row is leaving", func(t *testing.T, s *process.Site) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			result, err := command.SetState(ctx, s.Client, "", s.Servers[0].Name, table.Leaving)
			if err != nil || result.Outcome != command.Accepted {
				t.Fatalf("%+v, error %v", result, err)
			}
		}},
		{"host list says leaving", func(t *testing.T, s *process.Site) { publishHosts(t, s, true) }},
		{"node gets SIGTERM", signalNode(0, syscall.SIGTERM)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := start(t, 5, nil)
			w := startWorkload(callers(s.Nodes[3:]), workers)
			time.Sleep(beforeFault)
			if runsOf(t, s, 0) == 0 {
				t.Fatal("the server got no requests before it left")
			}
			test.startLeaving(t, s)
			time.Sleep(newWorkLimit)
			runsAtLimit := runsOf(t, s, 0)
			time.Sleep(duringFault)
			if now := runsOf(t, s, 0); now != runsAtLimit {
				t.Errorf("%d requests started at a leaving server more than %v after it began to leave", now-runsAtLimit, newWorkLimit)
			}
			all := w.end()
			checkPromises(t, s, all)
			checkAllAnswered(t, all)
		})
	}
}

// A planned stop of a node that is entry and gate at once, under load on keep-alive
// connections: every request is answered, and the process exits with code 0.
func TestPlannedStopLosesNoRequest(t *testing.T) {
	s := start(t, 5, nil)
	w := startWorkload(callers(s.Nodes[3:]), workers)
	clients := startKeepAliveClients(s.Nodes[0].Caller, 8)
	for range 4 { // In flight at several gates when the stop begins.
		clients.sendLong(s.Nodes[0].Caller)
		clients.sendLong(s.Nodes[3].Caller)
	}
	time.Sleep(beforeFault)
	if err := s.Nodes[0].Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := s.Nodes[0].Wait(); code != 0 {
		t.Errorf("exit code is %d, want 0", code)
	}
	failed := clients.waitStopped()
	for _, message := range failed {
		t.Errorf("request through the stopping node failed: %s", message)
	}
	if clients.answered == 0 {
		t.Error("no request through the stopping node was answered")
	}
	all := w.end()
	checkPromises(t, s, all)
	checkAllAnswered(t, all)
}

// keepAliveClients sends requests through one node on keep-alive connections, with
// pauses in between, until the node refuses new connections.
type keepAliveClients struct {
	*workload
	answered int
	failed   []string
}

func startKeepAliveClients(caller string, workers int) *keepAliveClients {
	s := &keepAliveClients{workload: &workload{stop: make(chan struct{})}}
	for i := range workers {
		s.wait.Go(func() { s.sendUntilRefused(caller, time.Duration(i)*100*time.Millisecond) })
	}
	return s
}

// sendLong sends one request that takes longer than the shortest planned stop.
func (s *keepAliveClients) sendLong(caller string) {
	s.wait.Go(func() {
		c := client.New([]string{caller})
		answer, err := c.Do(client.Request{Service: service, Method: "POST", Path: "/wait/1500", Timeout: 5 * time.Second})
		s.mu.Lock()
		defer s.mu.Unlock()
		if err != nil || answer.Status != 200 {
			s.failed = append(s.failed, fmt.Sprintf("long request through %s: status %d, error %v", caller, answer.Status, err))
		}
	})
}

// sendUntilRefused sends on one connection, as a caller that honours Keep-Alive does,
// until a new connection is refused.
func (s *keepAliveClients) sendUntilRefused(caller string, pause time.Duration) {
	host := &fasthttp.HostClient{Addr: caller, MaxConns: 1, MaxIdleConnDuration: 900 * time.Millisecond, MaxIdemponentCallAttempts: 1}
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	for {
		request.SetRequestURI("http://" + caller + "/stop")
		request.UseHostHeader = true
		request.Header.SetHost(service)
		request.Header.SetMethod("POST")
		request.Header.Set(standin.RequestNumberField, "stop")
		err := host.DoTimeout(request, response, 5*time.Second)
		var dial *net.OpError
		dialing := errors.As(err, &dial) && dial.Op == "dial"
		refused := dialing && errors.Is(err, syscall.ECONNREFUSED)
		// The kernel resets a connection that nobody has accepted when the listener closes.
		notAccepted := dialing && errors.Is(err, syscall.ECONNRESET)
		s.mu.Lock()
		switch {
		case refused, notAccepted:
		case err != nil:
			s.failed = append(s.failed, err.Error())
		case response.StatusCode() != 200:
			s.failed = append(s.failed, string(response.Body()))
		default:
			s.answered++
		}
		s.mu.Unlock()
		if refused {
			return
		}
		time.Sleep(pause)
	}
}

// waitStopped waits until the node refuses every worker's connection, and returns the
// errors of the failed requests.
func (s *keepAliveClients) waitStopped() []string {
	s.wait.Wait()
	return s.failed
}

// Requests that a frozen gate reads only after their deadline must not run.
func TestFrozenGateRunsNoExpiredRequest(t *testing.T) {
	s := start(t, 4, nil)
	waitServing(t, callers(s.Nodes[3:]))
	for i := range s.Servers {
		signalNode(i, syscall.SIGSTOP)(t, s)
	}
	all := sendAndGiveUp(s.Nodes[3].Caller, 40, 300*time.Millisecond)
	for i := range s.Servers {
		signalNode(i, syscall.SIGCONT)(t, s)
	}
	waitServing(t, callers(s.Nodes[3:]))
	time.Sleep(afterFault)
	checkNothingRan(t, s, all)
}

// Requests that a frozen entry reads only after their callers have closed
// their connections must not run.
func TestFrozenEntryRunsNoAbandonedRequest(t *testing.T) {
	s := start(t, 4, nil)
	waitServing(t, callers(s.Nodes[3:]))
	signalNode(3, syscall.SIGSTOP)(t, s)
	all := sendAndGiveUp(s.Nodes[3].Caller, 40, 300*time.Millisecond)
	signalNode(3, syscall.SIGCONT)(t, s)
	waitServing(t, callers(s.Nodes[3:]))
	time.Sleep(afterFault)
	checkNothingRan(t, s, all)
}

// sendAndGiveUp sends n concurrent requests that are not repeatable, and gives up on
// each after a time limit by closing its connection. It returns their numbers.
func sendAndGiveUp(caller string, n int, limit time.Duration) []string {
	var numbers []string
	w := &workload{}
	for i := range n {
		number := "late." + string(rune('a'+i%26)) + string(rune('a'+i/26))
		numbers = append(numbers, number)
		w.wait.Go(func() {
			c := client.New([]string{caller})
			_, _ = c.Do(client.Request{Service: service, Method: "POST", Path: "/run", Timeout: limit,
				Header: map[string]string{standin.RequestNumberField: number}}) // It fails by design.
		})
	}
	w.wait.Wait()
	return numbers
}

func checkNothingRan(t *testing.T, s *process.Site, numbers []string) {
	t.Helper()
	runs, err := s.Runs()
	if err != nil {
		t.Fatal(err)
	}
	for _, number := range numbers {
		if runs[number] > 0 {
			t.Errorf("request %s ran after its deadline or after its caller had left", number)
		}
	}
}
