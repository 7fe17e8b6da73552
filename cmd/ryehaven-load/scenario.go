// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ryehaven/ryehaven/client"
	"github.com/ryehaven/ryehaven/internal/site"
	"github.com/ryehaven/ryehaven/load"
	"github.com/ryehaven/ryehaven/settings"
	"github.com/ryehaven/ryehaven/standin"
)

// deployment describes the site of one user. Only its first service receives load. The
// others are in the table and idle, so that one machine can load the site near its
// capacity.
type deployment struct {
	name     string
	region   string
	zones    []string
	services []string
	slots    int
	// probeRate is the maximum rate of probes to each server, per second.
	probeRate string
}

var deployments = map[string]deployment{
	"carpati": {"carpati", "cluj", []string{"hala-a", "hala-b", "hala-c"},
		[]string{"telemetrie", "termostat", "arzator", "program"}, 12, "2"},
	"cascade": {"cascade", "pnw-west", []string{"tacoma-hall", "olympia-hall", "bellingham-hall"},
		[]string{"archive", "billing", "payroll", "dispatch"}, 6, "0.5"},
}

const (
	firstServers = 4
	otherServers = 3
	// serviceTime is the service time of each request. It is constant unless --exponential
	// is set, so that variations of the latency come from the site and not from the work.
	serviceTime = 5 * time.Millisecond
	// requestTimeout is the time after which a request's deadline passes.
	requestTimeout = 500 * time.Millisecond
)

// capacity returns how many requests per second the first service can answer.
func (d deployment) capacity() float64 {
	return firstServers * float64(d.slots) / serviceTime.Seconds()
}

// scenario describes the load on the servers of the first service and the faults there.
type scenario struct {
	name string
	// load is the arrival rate as a share of capacity.
	load float64
	// change changes the behaviour of the server with a number; it may be nil.
	change func(b *standin.Behaviour, number int)
	// during is called in the middle of the run; it may be nil.
	during func(s *site.Site)
}

const (
	slowFactor      = 10
	slowEveryMillis = 100
	slowForMillis   = 20
)

func setSlowPeriods(b *standin.Behaviour, offset int64) {
	b.SlowFactor, b.SlowEveryMillis, b.SlowForMillis, b.SlowOffsetMillis = slowFactor, slowEveryMillis, slowForMillis, offset
}

var scenarios = []scenario{
	{name: "steady", load: 0.7},
	{name: "one-slow", load: 0.7, change: func(b *standin.Behaviour, number int) {
		if number == 0 {
			setSlowPeriods(b, 0)
		}
	}},
	{name: "all-shift", load: 0.6, change: func(b *standin.Behaviour, number int) {
		setSlowPeriods(b, int64(number)*slowEveryMillis/firstServers)
	}},
	{name: "fail-fast", load: 0.6, change: func(b *standin.Behaviour, number int) {
		if number == 0 {
			b.FailShare = 1
		}
	}},
	{name: "frozen", load: 0.6, change: func(b *standin.Behaviour, number int) {
		b.Frozen = number == 0
	}},
	{name: "overload", load: 1.3},
	{name: "restart", load: 0.6, during: restartOne},
}

// restartOne stops one node in a planned stop and starts another in its place.
func restartOne(s *site.Site) {
	server := s.Servers[0]
	s.StopNode(server)
	if err := s.StartNode(server); err != nil {
		fmt.Println("restart:", err) // The failure also shows in the results.
	}
}

// trial is one run of one scenario.
type trial struct {
	deployment deployment
	scenario   scenario
	adjust     func(*settings.Experiment)
	seed       uint64
	length     time.Duration
	// exponential draws each request's service time from an exponential distribution.
	exponential bool
	// queue is the length of each gate's queue; 0 means as many as slots.
	queue int
}

// outcome is the result of a trial.
type outcome struct {
	*load.Result
	// ProbesPerSecond is per server of the first service. ControlBytesPerSecond is the
	// control traffic that each node sends.
	AttemptsPerCall, ProbesPerSecond, ControlBytesPerSecond float64
}

const (
	warmup = time.Second
	// trialStopTimeout bounds the stop of the nodes after a trial, when no requests are
	// pending any more.
	trialStopTimeout = 200 * time.Millisecond
)

func (t trial) run() (outcome, error) {
	s, err := site.Start(t.siteConfig())
	if err != nil {
		return outcome{}, err
	}
	defer s.Stop()
	first := s.ServersOf(t.deployment.services[0])
	var callers []string
	for _, server := range s.Servers[1:] { // The first one may be restarted.
		callers = append(callers, server.Node.CallerAddress())
	}
	before := sumMetrics(s.Servers[1:])
	began := time.Now()
	if t.scenario.during != nil {
		timer := time.AfterFunc(t.length/2, func() { t.scenario.during(s) })
		defer timer.Stop()
	}
	result := load.Run(load.Plan{
		Seed:    t.seed,
		Rate:    t.scenario.load * t.deployment.capacity(),
		Length:  t.length,
		Warmup:  warmup,
		Callers: callers,
		Request: func(number int, _ *rand.Rand) client.Request {
			return client.Request{Service: t.deployment.services[0], Method: "GET", Path: "/x", Timeout: requestTimeout}
		},
	})
	elapsedSeconds := time.Since(began).Seconds()
	after := sumMetrics(s.Servers[1:])
	reports := int64(0)
	for _, server := range first {
		reports += server.Standin.Reports.Load()
	}
	return outcome{
		Result:                result,
		AttemptsPerCall:       (after["entry_attempts"] - before["entry_attempts"]) / (after["entry_requests"] - before["entry_requests"]),
		ProbesPerSecond:       float64(reports) / float64(len(first)) / elapsedSeconds,
		ControlBytesPerSecond: (after["peer_control_sent"] - before["peer_control_sent"]) / float64(len(s.Servers)-1) / elapsedSeconds,
	}, nil
}

// sumMetrics returns the sums of the nodes' metrics by name.
func sumMetrics(servers []*site.Server) map[string]float64 {
	sums := map[string]float64{}
	for _, server := range servers {
		for _, m := range server.Node.Metrics() {
			sums[m.Name] += float64(m.Value())
		}
	}
	return sums
}

func (t trial) queueLength() int {
	if t.queue > 0 {
		return t.queue
	}
	return t.deployment.slots
}

func (t trial) siteConfig() site.Config {
	d := t.deployment
	c := site.Config{Region: d.region, Zones: d.zones}
	for i, name := range d.services {
		servers := otherServers
		if i == 0 {
			servers = firstServers
		}
		c.Services = append(c.Services, site.Service{
			Name:    name,
			Servers: servers,
			Columns: map[string]string{
				"slots":         fmt.Sprint(d.slots),
				"queue":         fmt.Sprint(t.queueLength()),
				"measure_per_s": d.probeRate,
			},
			Behaviour: func(number int) standin.Behaviour {
				b := standin.Behaviour{Slots: d.slots, ServiceMicros: serviceTime.Microseconds(), Exponential: t.exponential}
				if i == 0 && t.scenario.change != nil {
					t.scenario.change(&b, number)
				}
				return b
			},
		})
	}
	c.Adjust = func(s *settings.Settings) {
		s.Limits.IdleTimeout = time.Second
		s.Limits.StopTimeout = trialStopTimeout
		s.Distance.Zone = 0 // All nodes are on loopback, without distance.
		if t.adjust != nil {
			t.adjust(&s.Experiment)
		}
	}
	return c
}

// directCapacity measures how many requests per second the servers of the first service
// answer to callers that call them directly, with as many callers as slots.
func directCapacity(d deployment, exponential bool) (float64, error) {
	s, err := site.Start(trial{deployment: d, exponential: exponential}.siteConfig())
	if err != nil {
		return 0, err
	}
	defer s.Stop()
	const length = 2 * time.Second
	var wait sync.WaitGroup
	var answers atomic.Int64
	for _, server := range s.ServersOf(d.services[0]) {
		wait.Go(func() {
			latency, err := closedLoop(server.Address, "GET", d.slots, length)
			if err == nil {
				answers.Add(latency.TotalCount())
			}
		})
	}
	wait.Wait()
	return float64(answers.Load()) / length.Seconds(), nil
}
