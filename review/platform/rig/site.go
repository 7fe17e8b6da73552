// SPDX-License-Identifier: MIT

//go:build review

// Command rig runs the scripts of the review: it starts node processes as the deploy file
// does, with stand-ins of the platform's store, backend servers and clients on loopback
// addresses, runs one case and checks its rule.
package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/ryehaven/ryehaven/platform/emulator"
)

// host is a machine: a node process and the backend server beside it.
type host struct {
	site    *site
	name    string
	ip      string
	zone    string
	service string
	server  *server
	// ports are the listening addresses, by the names that the template uses.
	ports map[string]string
	cmd   *exec.Cmd
	done  chan struct{}
}

// site is a small deployment.
type site struct {
	dir   string
	store *emulator.Store
	hosts []*host
	quit  chan struct{}
	wait  sync.WaitGroup
}

// newSite starts the store with a first configuration.
func newSite(configuration any) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	store, err := emulator.NewStore()
	if err != nil {
		return nil, err
	}
	store.Put("config", "main", configuration)
	return &site{dir: dir, store: store, quit: make(chan struct{})}, nil
}

// freeAddress returns an address of an IP with a port that is free now.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// loopback returns the loopback address of a host of this run.
func loopback(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid%200, 1+pid/200%250, 1+number)
}

// slots is how many requests a server runs at once, as on the site that the claims name.
const slots = 6

// addHost adds a host with a server of a service, which works for a time on each request.
func (s *site) addHost(service, zone string, work time.Duration) (*host, error) {
	n := len(s.hosts)
	h := &host{site: s, name: fmt.Sprintf("sidecar-%s-%d", zone, n+1), ip: loopback(n), zone: zone, service: service, ports: map[string]string{}}
	var err error
	if h.server, err = newServer(fmt.Sprintf("i-%d", n+1), service, h.ip, work); err != nil {
		return nil, err
	}
	for _, name := range []string{"outbound", "ready", "control", "peer", "admin", "metrics"} {
		if h.ports[name], err = freeAddress(h.ip); err != nil {
			return nil, err
		}
	}
	s.hosts = append(s.hosts, h)
	if err := h.start(); err != nil {
		return nil, err
	}
	s.wait.Go(h.announceAll)
	return h, nil
}

// settings returns the settings file: deploy/node.toml.tmpl with the figures of a small site.
func (h *host) settings() string {
	return fmt.Sprintf(`host = %q
zone = %q
region = "r"

[listen]
caller = %q
peer = %q
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
`, h.name, h.zone, h.ports["outbound"], h.ports["peer"], h.ports["admin"], h.ports["metrics"],
		h.server.address(), h.service, h.ports["control"], h.ports["ready"], h.site.store.Address())
}

// program is the node's program, as the deploy file's build makes it.
const program = "target/ryehavend"

// start starts the node's process.
func (h *host) start() error {
	path := filepath.Join(h.site.dir, h.name+".toml")
	if err := os.WriteFile(path, []byte(h.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.site.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	h.cmd, h.done = cmd, done
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", h.ports["ready"]); err == nil {
			c.Close()
			return nil
		}
	}
	return fmt.Errorf("node %s does not listen", h.name)
}

// signal sends a signal to the node's process.
func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// kill ends the node's process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.done
}

// heartbeat is how often a server sends a heartbeat, as the site files say.
const heartbeat = 1500 * time.Millisecond

func (h *host) announceAll() {
	for {
		h.server.announce(h.ports["control"], "ready")
		select {
		case <-h.site.quit:
			return
		case <-time.After(heartbeat):
		}
	}
}

// waitServing waits until a request for a path is answered with success at every host.
func (s *site) waitServing(method, path string, limit time.Duration) error {
	until := time.Now().Add(limit)
	for i := 0; i < len(s.hosts); {
		r := emulator.Call{Method: method, Path: path, ID: fmt.Sprintf("warm-%d-%d", i, time.Now().UnixNano()), DeadlineMs: 500}.Send(s.hosts[i].ports["outbound"])
		if r.Status == 200 {
			i++
			continue
		}
		if time.Now().After(until) {
			return fmt.Errorf("host %s does not serve: %+v", s.hosts[i].name, r)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// close ends everything that was started. With keep, the logs stay.
func (s *site) close(keep bool) {
	close(s.quit)
	for _, h := range s.hosts {
		if h.cmd != nil {
			h.signal(syscall.SIGCONT)
			h.kill()
		}
		h.server.close()
	}
	s.wait.Wait()
	s.store.Close()
	if !keep {
		os.RemoveAll(s.dir)
	}
}
