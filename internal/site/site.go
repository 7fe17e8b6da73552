// SPDX-License-Identifier: MIT

// Package site runs a small site within one process: a stand-in for the
// platform, stand-in backend servers, and real nodes that communicate over
// loopback. It is used by demonstrations, measurements and tests.
package site

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/ryehaven/ryehaven/command"
	"github.com/ryehaven/ryehaven/node"
	"github.com/ryehaven/ryehaven/settings"
	"github.com/ryehaven/ryehaven/standin"
	"github.com/ryehaven/ryehaven/store"
	"github.com/ryehaven/ryehaven/store/storetest"
)

// Key is the key that the nodes of every site share.
const Key = "a shared key for sites on loopback only"

// Service is one service of a site.
type Service struct {
	Name    string
	Servers int
	// Columns holds the cells of the service's row by column, such as "slots": "12".
	Columns map[string]string
	// Behaviour returns the behaviour of the server with this number, counted from 0.
	Behaviour func(number int) standin.Behaviour
}

// Config describes a site.
type Config struct {
	Region   string
	Zones    []string
	Services []Service
	// Adjust changes a node's settings before the node starts; it may be nil.
	Adjust func(s *settings.Settings)
	Log    *zap.Logger
}

// Server is a stand-in backend server and the node on its host.
type Server struct {
	Service string
	Standin *standin.Server
	Address string
	Host    string
	Zone    string
	Node    *node.Node

	http    *fasthttp.Server
	stop    context.CancelFunc
	stopped chan struct{}
}

// Site is a running site.
type Site struct {
	Store           *storetest.Store
	PlatformAddress string
	Servers         []*Server

	config   Config
	platform *fasthttp.Server
	running  sync.WaitGroup
}

// readyLimit limits how long the start of a site may take.
const readyLimit = 20 * time.Second

// Start starts a site and returns once every node has the table and knows all others.
func Start(c Config) (*Site, error) {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	s := &Site{Store: &storetest.Store{}, config: c}
	if err := s.start(); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *Site) start() error {
	s.platform = &fasthttp.Server{Handler: s.Store.Handle, MaxRequestBodySize: 4 << 20}
	address, err := s.serve(s.platform)
	if err != nil {
		return err
	}
	s.PlatformAddress = address
	number := 0
	for _, service := range s.config.Services {
		for i := range service.Servers {
			if err := s.startServer(service, i, number); err != nil {
				return err
			}
			number++
		}
	}
	if err := s.publishHosts(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyLimit)
	defer cancel()
	_, err = command.Apply(ctx, s.Store, command.Change{File: "site", Text: []byte(s.Table())})
	if err != nil {
		return err
	}
	return s.waitReady(ctx, 1)
}

// serve starts the server on a free loopback port and returns its address.
func (s *Site) serve(server *fasthttp.Server) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.running.Go(func() { _ = server.Serve(listener) }) // It returns on Shutdown.
	return listener.Addr().String(), nil
}

func (s *Site) startServer(service Service, i, number int) error {
	server := &Server{
		Service: service.Name,
		Standin: standin.New(fmt.Sprintf("%s-%d", service.Name, i+1), service.Behaviour(i)),
		Host:    fmt.Sprintf("host-%d", number+1),
		Zone:    s.config.Zones[number%len(s.config.Zones)],
	}
	server.http = server.Standin.HTTP()
	address, err := s.serve(server.http)
	if err != nil {
		return err
	}
	server.Address = address
	s.Servers = append(s.Servers, server)
	return s.StartNode(server)
}

// StartNode starts a server's node; its previous node must have stopped.
func (s *Site) StartNode(server *Server) error {
	c := settings.Default()
	c.Host, c.Zone, c.Region = server.Host, server.Zone, s.config.Region
	c.Listen = settings.Listen{Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	c.Peers.Key = Key
	for _, other := range s.Servers {
		if other.Node != nil && other != server {
			c.Peers.Seeds = append(c.Peers.Seeds, other.Node.PeerAddress())
		}
	}
	c.Platform.Address = s.PlatformAddress
	if s.config.Adjust != nil {
		s.config.Adjust(&c)
	}
	n, err := node.New(c, s.config.Log, node.Options{Store: store.NewHTTP(c.Platform.Address, c.Platform.CallTimeout)})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	server.Node, server.stop, server.stopped = n, cancel, stopped
	s.running.Go(func() {
		defer close(stopped)
		if err := n.Run(ctx); err != nil {
			s.config.Log.Warn("node failed", zap.Error(err))
		}
	})
	return nil
}

// StopNode shuts down a server's node gracefully and waits until it has stopped.
func (s *Site) StopNode(server *Server) {
	server.stop()
	<-server.stopped
}

func (s *Site) publishHosts() error {
	hosts := make([]store.Host, len(s.Servers))
	for i, server := range s.Servers {
		hosts[i] = store.Host{
			Host:    server.Host,
			Address: server.Node.PeerAddress(),
			Zone:    server.Zone,
			Region:  s.config.Region,
			State:   store.HostLive,
		}
	}
	body, err := json.Marshal(hosts)
	s.Store.Set(store.HostsKey, body)
	return err
}

// Table returns the site's table as CSV text.
func (s *Site) Table() string {
	columns := []string{}
	for _, service := range s.config.Services {
		for name := range service.Columns {
			if !strings.Contains(strings.Join(columns, ","), name) {
				columns = append(columns, name)
			}
		}
	}
	var b strings.Builder
	b.WriteString("service,server,host,zone,address,state")
	for _, name := range columns {
		b.WriteString("," + name)
	}
	b.WriteByte('\n')
	for _, service := range s.config.Services {
		b.WriteString(service.Name + ",*,,,,")
		for _, name := range columns {
			b.WriteString("," + service.Columns[name])
		}
		b.WriteByte('\n')
		for _, server := range s.Servers {
			if server.Service == service.Name {
				fmt.Fprintf(&b, "%s,%s,%s,%s,%s,%s\n", service.Name, server.Standin.Name, server.Host,
					server.Zone, server.Address, strings.Repeat(",", len(columns)))
			}
		}
	}
	return b.String()
}

// waitReady waits until every node has at least the given generation of the table
// and knows all other nodes.
func (s *Site) waitReady(ctx context.Context, generation uint64) error {
	for {
		ready := 0
		for _, server := range s.Servers {
			status := server.Node.Status()
			if uint64(status.Generation) >= generation && status.Nodes >= len(s.Servers) {
				ready++
			}
		}
		if ready == len(s.Servers) {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("%d of %d nodes were ready in time", ready, len(s.Servers))
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// ServersOf returns the servers of one service.
func (s *Site) ServersOf(service string) []*Server {
	var found []*Server
	for _, server := range s.Servers {
		if server.Service == service {
			found = append(found, server)
		}
	}
	return found
}

// Stop stops the nodes, the servers and the platform, and waits until they have stopped.
func (s *Site) Stop() {
	for _, server := range s.Servers {
		if server.stop != nil {
			server.stop()
		}
	}
	for _, server := range s.Servers {
		if server.stopped != nil {
			<-server.stopped
		}
		_ = server.http.Shutdown()
	}
	s.Store.SetFaults(storetest.Faults{Down: true}) // Open watch requests return.
	if s.platform != nil {
		_ = s.platform.Shutdown()
	}
	s.running.Wait()
}
