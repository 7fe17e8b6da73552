// SPDX-License-Identifier: MIT

// Package process runs a small site as separate processes: a stand-in for the
// platform, stand-in backend servers and nodes. Each process can be killed,
// stopped and disconnected. Fault tests and measurements of recovery times use it.
//
// All connections to a node's peer port, and those from a node to the platform,
// go through a proxy that injects faults.
package process

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/command"
	"github.com/ryehaven/ryehaven/internal/faultproxy"
	"github.com/ryehaven/ryehaven/query"
	"github.com/ryehaven/ryehaven/standin"
	"github.com/ryehaven/ryehaven/store"
)

// Config describes a site.
type Config struct {
	// Programs is the directory of the built commands. Dir is a directory for the
	// nodes' settings and for the files in which servers record executed requests.
	Programs string
	Dir      string
	Service  string
	// Nodes is the number of hosts. The first Servers of them have a backend
	// server each.
	Nodes   int
	Servers int
	Zones   []string
	// Columns holds the cells of the service's row in the table, by column name.
	Columns   map[string]string
	Behaviour standin.Behaviour
	// FillerServices is the number of additional services in the table, with
	// FillerServers servers each on hosts that do not exist. They only make the
	// table larger.
	FillerServices, FillerServers int
	// Settings is text to append to every node's settings file.
	Settings string
}

// Build compiles the commands of this module into a directory.
func Build(dir string) error {
	build := exec.Command("go", "build", "-o", dir+"/", "github.com/ryehaven/ryehaven/cmd/...")
	output, err := build.CombinedOutput()
	return eris.Wrapf(err, "build the commands: %s", output)
}

// Server is the process of a backend server.
type Server struct {
	Name    string
	Address string
	process *process
}

// Node is the process of a node.
type Node struct {
	Host string
	Zone string
	// Caller and Admin are the addresses on which the current process serves
	// callers and administrators.
	Caller, Admin string
	// Peer and Platform are the proxies in front of the node's peer port and
	// between the node and the platform.
	Peer, Platform *faultproxy.Proxy

	settings string
	process  *process
}

// Site is a running site.
type Site struct {
	Config   Config
	Servers  []*Server
	Nodes    []*Node
	Client   *store.HTTP
	platform *process
	// PlatformAddress is the platform's address, without a proxy.
	PlatformAddress string
}

const (
	startTimeout = 20 * time.Second
	callTimeout  = 2 * time.Second
	pollInterval = 10 * time.Millisecond
)

// Start starts a site and returns once every node has received the table and
// knows all other nodes.
func Start(c Config) (*Site, error) {
	s := &Site{Config: c}
	if err := s.start(); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *Site) start() error {
	if err := s.StartPlatform(); err != nil {
		return err
	}
	for i := range s.Config.Servers {
		server := &Server{Name: fmt.Sprintf("%s-%d", s.Config.Service, i+1), Address: "127.0.0.1:0"}
		if err := s.StartServer(server); err != nil {
			return err
		}
		s.Servers = append(s.Servers, server)
	}
	for i := range s.Config.Nodes {
		if err := s.addNode(i); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	_, err := command.Apply(ctx, s.Client, command.Change{File: "site", Text: []byte(s.Table())})
	if err != nil {
		return err
	}
	return s.WaitGeneration(ctx, 1, s.Nodes)
}

// StartPlatform starts an empty stand-in platform, at the same address as before
// if it ran already.
func (s *Site) StartPlatform() error {
	address := s.PlatformAddress
	if address == "" {
		address = "127.0.0.1:0"
	}
	p, address, err := s.startListening("platform", "ryehaven-standin", "platform", "--address", address)
	if err != nil {
		return err
	}
	s.platform, s.PlatformAddress = p, address
	s.Client = store.NewHTTP(address, callTimeout)
	return nil
}

// StartServer starts the server's process at the address in Server, and sets
// Address to the address that the process listens on.
func (s *Site) StartServer(server *Server) error {
	behaviour, err := json.Marshal(s.Config.Behaviour)
	if err != nil {
		return err
	}
	server.process, server.Address, err = s.startListening(server.Name, "ryehaven-standin", "server",
		"--name", server.Name, "--address", server.Address, "--behaviour", string(behaviour),
		"--runs", filepath.Join(s.Config.Dir, server.Name+".runs"))
	return err
}

func (s *Site) addNode(i int) error {
	n := &Node{Host: fmt.Sprintf("host-%d", i+1), Zone: s.Config.Zones[i%len(s.Config.Zones)]}
	var err error
	if n.Peer, err = faultproxy.New(); err != nil {
		return err
	}
	if n.Platform, err = faultproxy.New(); err != nil {
		return err
	}
	n.Platform.SetTarget(s.PlatformAddress)
	s.Nodes = append(s.Nodes, n)
	n.settings = filepath.Join(s.Config.Dir, n.Host+".toml")
	text := fmt.Sprintf("host = %q\nzone = %q\nregion = \"region\"\n"+
		"listen = { caller = \"127.0.0.1:0\", peer = \"127.0.0.1:0\", admin = \"127.0.0.1:0\", advertise = %q }\n"+
		"peers = { key = \"a shared key for tests of a whole site\", seeds = [%q] }\n"+
		"platform = { address = %q, limit_ms = 1000 }\n%s\n",
		n.Host, n.Zone, n.Peer.Address(), s.Nodes[0].Peer.Address(), n.Platform.Address(), s.Config.Settings)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return err
	}
	return s.StartNode(n)
}

// startedLine is the log line in which a node reports its addresses.
type startedLine struct {
	Message string `json:"msg"`
	Caller  string `json:"caller"`
	Peer    string `json:"peer"`
	Admin   string `json:"admin"`
}

// StartNode starts a node's process, waits until it listens, and updates its
// addresses.
func (s *Site) StartNode(n *Node) error {
	p, err := s.startProcess(n.Host, "ryehavend", n.settings)
	if err != nil {
		return err
	}
	n.process = p
	line, err := p.waitLine(func(line string) bool { return strings.Contains(line, `"node started"`) })
	if err != nil {
		return err
	}
	var addresses startedLine
	if err := json.Unmarshal([]byte(line), &addresses); err != nil {
		return err
	}
	n.Caller, n.Admin = addresses.Caller, addresses.Admin
	n.Peer.SetTarget(addresses.Peer)
	return nil
}

// Table returns the site's table as CSV.
func (s *Site) Table() string {
	names, values := "", ""
	for name, value := range s.Config.Columns {
		names += "," + name
		values += "," + value
	}
	emptyCells := strings.Repeat(",", len(s.Config.Columns))
	table := "service,server,host,zone,address,state" + names + "\n" + s.Config.Service + ",*,,,," + values + "\n"
	for i, server := range s.Servers {
		n := s.Nodes[i]
		table += fmt.Sprintf("%s,%s,%s,%s,%s,%s\n", s.Config.Service, server.Name, n.Host, n.Zone, server.Address, emptyCells)
	}
	return table + s.fillerRows(emptyCells)
}

// fillerRows returns the table's rows of the filler services.
func (s *Site) fillerRows(emptyCells string) string {
	var b strings.Builder
	for i := range s.Config.FillerServices {
		fmt.Fprintf(&b, "fill-%d,*,,,,%s\n", i, emptyCells)
		for j := range s.Config.FillerServers {
			zone := s.Config.Zones[j%len(s.Config.Zones)]
			fmt.Fprintf(&b, "fill-%d,fill-%d-%d,host-of-%d-%d,%s,127.0.%d.%d:9000,%s\n", i, i, j, i, j, zone, i%256, j%256, emptyCells)
		}
	}
	return b.String()
}

// WaitGeneration waits until each of the nodes has a table of at least the given
// generation and knows at least as many nodes as are given.
func (s *Site) WaitGeneration(ctx context.Context, generation uint64, nodes []*Node) error {
	for _, n := range nodes {
		for {
			status, err := query.GetStatus(n.Admin)
			if err == nil && uint64(status.Generation) >= generation && status.Nodes >= len(nodes) {
				break
			}
			select {
			case <-ctx.Done():
				return eris.Errorf("%s: has generation %d and knows %d nodes, error %v; want generation %d",
					n.Host, status.Generation, status.Nodes, err, generation)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// Runs returns how often the execution of each numbered request began, summed over
// all servers and their restarts.
func (s *Site) Runs() (map[string]int, error) {
	runs := map[string]int{}
	for _, server := range s.Servers {
		text, err := os.ReadFile(filepath.Join(s.Config.Dir, server.Name+".runs"))
		if err != nil {
			return nil, err
		}
		for number := range strings.Lines(string(text)) {
			runs[strings.TrimSpace(number)]++
		}
	}
	return runs, nil
}

// RunsOf returns the number of request executions that began at one server, across
// its restarts.
func (s *Site) RunsOf(server *Server) (int, error) {
	text, err := os.ReadFile(filepath.Join(s.Config.Dir, server.Name+".runs"))
	return strings.Count(string(text), "\n"), err
}

// PID returns the process ID of the node.
func (n *Node) PID() int { return n.process.cmd.Process.Pid }

// Log returns the lines that the node's process has written.
func (n *Node) Log() []string { return n.process.lines() }

// Signal sends a signal to the node's process. After SIGSTOP it returns once the
// process has stopped.
func (n *Node) Signal(signal syscall.Signal) error { return n.process.signal(signal) }

// Wait waits for the node's process to exit and returns its exit code.
func (n *Node) Wait() int { return n.process.wait() }

// Signal sends a signal to the server's process. After SIGSTOP it returns once the
// process has stopped.
func (s *Server) Signal(signal syscall.Signal) error { return s.process.signal(signal) }

// Wait waits for the server's process to exit.
func (s *Server) Wait() { s.process.wait() }

// StopPlatform kills the platform's process. Its data is lost.
func (s *Site) StopPlatform() {
	s.platform.kill()
}

// Stop kills all processes, waits until they have exited and closes the proxies.
func (s *Site) Stop() {
	for _, n := range s.Nodes {
		n.process.kill()
		n.Peer.Close()
		n.Platform.Close()
	}
	for _, server := range s.Servers {
		server.process.kill()
	}
	s.platform.kill()
}

// process is a child process with its output.
type process struct {
	cmd *exec.Cmd
	// done is closed when the process has exited.
	done chan struct{}

	mu     sync.Mutex
	output []string
	// changed is closed and replaced at every new line of output.
	changed chan struct{}
}

func (s *Site) startProcess(name, program string, args ...string) (*process, error) {
	p := &process{
		cmd:     exec.Command(filepath.Join(s.Config.Programs, program), args...),
		done:    make(chan struct{}),
		changed: make(chan struct{}),
	}
	reader, writer := io.Pipe()
	p.cmd.Stdout, p.cmd.Stderr = writer, writer
	if err := p.cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	go p.collect(reader)
	go func() {
		_ = p.cmd.Wait() // wait reads the exit code from ProcessState.
		writer.Close()
		close(p.done)
	}()
	return p, nil
}

// collect stores the process's output line by line.
func (p *process) collect(r io.Reader) {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		p.mu.Lock()
		p.output = append(p.output, scanner.Text())
		close(p.changed)
		p.changed = make(chan struct{})
		p.mu.Unlock()
	}
}

// lines returns a copy of the output so far.
func (p *process) lines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.output...)
}

// waitLine waits until the process writes a wanted line, and returns it.
func (p *process) waitLine(wanted func(string) bool) (string, error) {
	timeout := time.After(startTimeout)
	seen := 0
	for {
		p.mu.Lock()
		lines, changed := p.output[seen:], p.changed
		p.mu.Unlock()
		for _, line := range lines {
			seen++
			if wanted(line) {
				return line, nil
			}
		}
		select {
		case <-changed:
		case <-p.done:
			return "", eris.Errorf("process exited: %s", strings.Join(p.lines(), "\n"))
		case <-timeout:
			return "", eris.New("process did not start within the time limit")
		}
	}
}

// listeningPrefix begins the line in which a stand-in prints its address.
const listeningPrefix = "listening on "

// startListening starts a process that prints its address, and returns both.
func (s *Site) startListening(name, program string, args ...string) (*process, string, error) {
	p, err := s.startProcess(name, program, args...)
	if err != nil {
		return nil, "", err
	}
	line, err := p.waitLine(func(line string) bool { return strings.HasPrefix(line, listeningPrefix) })
	return p, strings.TrimPrefix(line, listeningPrefix), err
}

// signal sends a signal. After SIGSTOP it returns once the process has stopped.
func (p *process) signal(signal syscall.Signal) error {
	if err := p.cmd.Process.Signal(signal); err != nil {
		return err
	}
	if signal == syscall.SIGSTOP {
		return waitStopped(p.cmd.Process.Pid)
	}
	return nil
}

func (p *process) wait() int {
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}

func (p *process) kill() {
	if p == nil {
		return
	}
	_ = p.cmd.Process.Kill() // The process may have exited already.
	<-p.done
}
