// SPDX-License-Identifier: MIT

package soak

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/internal/faultproxy"
	"github.com/ryehaven/ryehaven/platform/emulator"
)

// The ports of a host. Each host has its own loopback address.
const (
	callerPort = 7300 + iota
	peerPort
	adminPort
	controlPort
	readyPort
	serverPort
)

const (
	announceInterval = 500 * time.Millisecond
	readyInterval    = time.Second
	// maxReadyMisses is the number of unanswered readiness checks after which callers stop
	// sending to a host.
	maxReadyMisses = 2
	startTimeout   = 20 * time.Second
	// stopTimeout is the time within which a planned stop must be complete.
	stopTimeout = 6 * time.Second
)

// host is the process of a node with the backend server beside it.
type host struct {
	site    *site
	number  int
	ip      string
	zone    string
	service string
	// peer, store and toServer are the proxies in front of the node's peer port and between the
	// node and the store and its backend server.
	peer, store, toServer *faultproxy.Proxy
	// ready says whether callers send to the host. readyMisses counts the failed readiness
	// checks in a row.
	ready       atomic.Bool
	readyMisses atomic.Int64
	// restarting is locked while the process stops and starts.
	restarting sync.Mutex

	mu       sync.Mutex
	server   *emulator.Server
	draining bool
	// closing is set once no more servers may be started.
	closing        bool
	serversStarted int
	seq            uint64
	retired        []*emulator.Server
	cmd            *exec.Cmd
	exited         chan struct{}
	process        NodeProcess
	clockStep      time.Duration
	revision       int
	// upgraded is set once the node no longer runs the earlier version.
	upgraded bool
}

func (h *host) address(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// name returns the name of the node.
func (h *host) name() string { return fmt.Sprint("host-", h.number) }

// settings returns the node's settings file, as the platform's template would fill it in.
func (h *host) settings() string {
	return fmt.Sprintf(`host = %q
zone = %q
region = "r"
[listen]
caller = %q
peer = %q
admin = %q
advertise = %q
[sidecar]
server = %q
service = %q
control = %q
ready = %q
slot_share = 0.8
measure_after_ms = 75
[peers]
ping_after_ms = 50
suspect_after_ms = 150
[platform]
address = %q
[limits]
header_bytes = 36864
idle_ms = 15000
stop_ms = %d
[retries]
share = 0.2
extra = %d
window_ms = 10000
[distance]
factor = 2.5
late_per_mb = 40
%s`, h.name(), h.zone, h.address(callerPort), h.address(peerPort), h.address(adminPort), h.peer.Address(),
		h.toServer.Address(), h.service, h.address(controlPort), h.address(readyPort), h.store.Address(),
		stopTimeout.Milliseconds(), UsualBounds().RetryExtra+h.revision%2, h.optionalSettings())
}

// optionalSettings returns the settings that an earlier version may not know, and those that
// only some runs need.
func (h *host) optionalSettings() string {
	text := ""
	if h.site.options.OlderPrograms == "" || h.upgraded {
		text = fmt.Sprintf("[cold]\novershoot = %d\nslack = %d\n", coldOvershoot, coldSlack)
		text += "[overload]\nwhole = true\nby_aim = true\nreturns = true\n"
	}
	if h.site.options.Tenants {
		text += quotaSettings()
	}
	if h.clockStep != 0 {
		text += fmt.Sprintf("[experiment]\nclock_step_ms = %d\n", h.clockStep.Milliseconds())
	}
	return text
}

// programs returns the directory of the commands that the host runs now.
func (h *host) programs() string {
	if h.site.options.OlderPrograms != "" && !h.upgraded {
		return h.site.options.OlderPrograms
	}
	return h.site.options.Programs
}

func (h *host) settingsPath() string {
	return filepath.Join(h.site.options.Dir, fmt.Sprintf("host-%d.toml", h.number))
}

func (h *host) logPath() string {
	return filepath.Join(h.site.options.Dir, fmt.Sprintf("host-%d.log", h.number))
}

// start starts the node's process and waits until it listens.
func (h *host) start() error {
	if err := os.WriteFile(h.settingsPath(), []byte(h.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(h.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(h.programs(), "ryehavend"), h.settingsPath())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "start node of host %d", h.number)
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.process = NodeProcess{Host: h.number, From: time.Now()}
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait() // stopProcess reads the result from ProcessState.
		close(exited)
	}()
	return h.waitUntilListening(exited)
}

func (h *host) waitUntilListening(exited chan struct{}) error {
	limit := time.Now().Add(startTimeout)
	for time.Now().Before(limit) {
		c, err := net.Dial("tcp", h.address(readyPort))
		if err == nil {
			c.Close()
			return nil
		}
		select {
		case <-exited:
			text, _ := os.ReadFile(h.logPath())
			return eris.Errorf("node of host %d exited while starting: %s", h.number, lastLines(text))
		case <-time.After(10 * time.Millisecond):
		}
	}
	return eris.Errorf("node of host %d did not listen in time", h.number)
}

// lastLines returns the end of a log.
func lastLines(text []byte) string {
	return string(text[max(len(text)-600, 0):])
}

// signal sends a signal to the node's process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s) // The process may have exited already.
	}
}

// stopProcess sends a signal, waits until the process exits, and records the process. One
// that does not exit in time is killed, and the record says so.
func (h *host) stopProcess(s syscall.Signal, timeout time.Duration) {
	h.mu.Lock()
	exited := h.exited
	early := false
	select {
	case <-exited:
		early = true
	default:
	}
	h.mu.Unlock()
	unexpected := ""
	if early {
		unexpected = "exited by itself: " + h.cmd.ProcessState.String()
	}
	h.signal(s)
	select {
	case <-exited:
	case <-time.After(timeout):
		unexpected = fmt.Sprintf("did not exit within %v of %v", timeout, s)
		h.signal(syscall.SIGKILL)
		<-exited
	}
	if s == syscall.SIGTERM && unexpected == "" && h.cmd.ProcessState.ExitCode() != 0 {
		h.site.note("host %d: process exited with %v after a planned stop", h.number, h.cmd.ProcessState)
	}
	h.mu.Lock()
	h.process.To, h.process.Unexpected = time.Now(), unexpected
	process := h.process
	h.mu.Unlock()
	h.site.addProcess(process)
}

// crashTrace returns the stack trace of a crash or a data race from the node's log, if there
// is one.
func (h *host) crashTrace() string {
	text, err := os.ReadFile(h.logPath())
	if err != nil {
		return ""
	}
	for _, marker := range []string{"\npanic: ", "\nfatal error: ", "WARNING: DATA RACE"} {
		if at := bytes.Index(text, []byte(marker)); at >= 0 {
			return strings.TrimSpace(string(text[at:min(at+1500, len(text))]))
		}
	}
	return ""
}

// newServer starts the next backend server of the host. Every second one has the same ID as
// its predecessor.
func (h *host) newServer() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closing {
		return nil
	}
	h.serversStarted++
	id := fmt.Sprintf("i-%d-%d", h.number, h.serversStarted)
	if h.serversStarted%2 == 0 && h.site.options.OlderPrograms == "" {
		id = h.server.ID
	}
	server, err := emulator.NewServer(id, h.service, h.address(serverPort))
	if err != nil {
		return err
	}
	server.Start = time.Now().UnixMilli()
	server.SetServiceTime(h.site.serviceTime)
	server.CrashOn(crashMarker, h.toServer.Down)
	server.SetAnswerFields(answerFields...)
	if h.server != nil {
		h.retired = append(h.retired, h.server)
	}
	h.server, h.draining, h.seq = server, false, 0
	go h.replaceExitedServer(server)
	return h.toServer.Up()
}

// allServers returns all backend servers that the host has had.
func (h *host) allServers() []*emulator.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append(append([]*emulator.Server(nil), h.retired...), h.server)
}

// currentServer returns the backend server that the host has now.
func (h *host) currentServer() *emulator.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.server
}

// announce announces the backend server in its current state, records the acknowledgement
// of a drain, and reports whether the node accepted the announcement.
func (h *host) announce() bool {
	h.mu.Lock()
	h.seq++
	server, seq, draining := h.server, h.seq, h.draining
	h.mu.Unlock()
	state := "ready"
	if draining {
		state = "draining"
	}
	status, err := server.Announce(h.address(controlPort), state, seq)
	ok := err == nil && status == 200
	if ok && draining {
		h.site.addAck(Ack{Server: server.Key(), Host: h.number, At: time.Now()})
	}
	return ok
}

// replaceServer drains the backend server, lets it serve for a time, and starts another one.
func (h *host) replaceServer(drainTime time.Duration) {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	for range 8 { // Without an acknowledgement the server is closed nevertheless.
		if h.announce() {
			break
		}
		time.Sleep(announceInterval)
	}
	time.Sleep(drainTime)
	h.endServer(h.currentServer())
}

// endServer ends a backend server that is leaving, and starts the next one.
func (h *host) endServer(server *emulator.Server) {
	_, _ = server.Leave(h.address(controlPort)) // The server is closed whether the node answers or not.
	server.Close()
	if err := h.newServer(); err != nil {
		h.site.note("host %d: %v", h.number, err)
		return
	}
	h.announce()
}
