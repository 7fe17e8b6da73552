// SPDX-License-Identifier: MIT

//go:build review

package main

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/ryehaven/ryehaven/platform/emulator"
)

// Bounds of the small sites (SYSTEM.md, "Bounds").
const (
	contactTime   = 3 * time.Second
	drainTime     = 2 * time.Second
	heartbeatTime = 1500 * time.Millisecond
	// restartDelay is how long a process that was killed stays down.
	restartDelay = 200 * time.Millisecond
)

// machine is a sidecar machine: a node process and the target beside it.
type machine struct {
	name, zone, service string
	app                 string
	// The node's addresses.
	outbound, ready, control, peer, admin, metrics string
	// advertise is the address at which other nodes reach this one; the peer port if it is empty.
	advertise string

	site     *site
	settings string
	mu       sync.Mutex
	process  *exec.Cmd
	exited   chan struct{}
	started  time.Time
}

// site is a store, which is the project's own stand-in, and machines.
type site struct {
	dir      string
	program  string
	store    *emulator.Store
	machines []*machine
	record   *record
}

func newSite(dir, program string, r *record) (*site, error) {
	store, err := emulator.NewStore()
	if err != nil {
		return nil, err
	}
	return &site{dir: dir, program: program, store: store, record: r}, nil
}

// Ports of a machine. Each machine has a loopback address of its own, from which no connections are
// opened, so that the ports stay free while a node is down.
const (
	appPort      = 7601
	outboundPort = 7602
	readyPort    = 7603
	controlPort  = 7604
	peerPort     = 7620
	adminPort    = 7635
	metricsPort  = 9180
)

// freeIP returns a loopback address on which all ports of a machine are free.
func freeIP(number int) (string, error) {
	for try := range 50 {
		ip := fmt.Sprintf("127.%d.%d.%d", 16+(os.Getpid()+try)%200, 1+os.Getpid()/200%250, number+1)
		if portsFree(ip) {
			return ip, nil
		}
	}
	return "", errors.New("no loopback address with free ports")
}

func portsFree(ip string) bool {
	for _, port := range []int{appPort, outboundPort, readyPort, controlPort, peerPort, adminPort, metricsPort} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

func (s *site) addMachine(zone, service string) (*machine, error) {
	number := len(s.machines) + 1
	ip, err := freeIP(number)
	if err != nil {
		return nil, err
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	m := &machine{
		name: fmt.Sprintf("sidecar-%s-%d", zone, number), zone: zone, service: service, site: s,
		app: at(appPort), outbound: at(outboundPort), ready: at(readyPort), control: at(controlPort), peer: at(peerPort), admin: at(adminPort), metrics: at(metricsPort),
	}
	s.machines = append(s.machines, m)
	m.settings = filepath.Join(s.dir, m.name+".toml")
	return m, nil
}

// writeSettings writes the node's settings as deploy/node.toml.tmpl does for a small site.
func (m *machine) writeSettings() error {
	return os.WriteFile(m.settings, fmt.Appendf(nil, `host = %q
zone = %q
region = "r"

[listen]
caller = %q
peer = %q
advertise = %q
admin = %q
metrics = %q

[sidecar]
server = %q
service = %q
control = %q
ready = %q
slot_share = 0.8
measure_after_ms = 75
probes_per_s = 60

[peers]
ping_after_ms = 50
suspect_after_ms = 150

[platform]
address = %q
in_force_ms = 2000
evacuations = false

[limits]
header_bytes = 36864
body_bytes = 67108864
idle_ms = 15000
stop_ms = 6e3

[retries]
share = 0.2
extra = 58
window_ms = 10e3

[overload]
whole = true
by_aim = true
returns = true

[distance]
factor = 2.5
late_per_mb = 40
`, m.name, m.zone, m.outbound, m.peer, cmp.Or(m.advertise, m.peer), m.admin, m.metrics, m.app, m.service, m.control, m.ready, m.site.store.Address()), 0o600)
}

// start starts the node's process with the command of the deploy file.
func (m *machine) start() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.site.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(m.site.program, m.settings)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	m.mu.Lock()
	m.process, m.exited, m.started = c, exited, time.Now()
	m.mu.Unlock()
	return nil
}

// signal sends a signal to the node's process.
func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(sig)
	}
}

// kill ends the node's process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	c, exited := m.process, m.exited
	m.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	<-exited
}

// isReady asks for the node's readiness, as the platform does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.ready + "/v1/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until all nodes are ready.
func (s *site) waitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, m := range s.machines {
		for !m.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after %v", m.name, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// stop ends everything.
func (s *site) stop() {
	for _, m := range s.machines {
		m.kill()
	}
	s.store.Close()
}
