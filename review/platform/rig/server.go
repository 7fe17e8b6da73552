// SPDX-License-Identifier: MIT

//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that a server received.
type arrival struct {
	id, method, uri, body string
	at                    time.Time
	ran                   bool
}

// server is a sound backend server, as the pages describe one: it runs up to slots requests at
// once, rejects others as not run, and answers with its seal. It is built on net/http, whose
// RequestURI is the request target as it was sent and whose body is not interpreted.
type server struct {
	id, service string
	born        int64
	work        time.Duration
	listener    net.Listener
	http        *http.Server
	slots       chan struct{}

	mu       sync.Mutex
	arrivals []*arrival
	calls    uint64
}

func newServer(id, service, ip string, work time.Duration) (*server, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, born: time.Now().UnixMilli(), work: work, listener: listener, slots: make(chan struct{}, slots)}
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle)}
	go s.http.Serve(listener) // Ends when close closes the listener.
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) close() { s.http.Close() }

const healthPath = "/health"

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Ryehaven-Request-Id")
	w.Header().Set("X-Ryehaven-Server-Load", fmt.Sprintf("%d,0,%d,100", len(s.slots), slots))
	if id == "" {
		if r.URL.Path == healthPath {
			w.Header().Set("X-Ryehaven-Instance-Id", s.id)
			return
		}
		w.Header().Set("X-Ryehaven-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Ryehaven-Request-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // The request broke off; it is not run.
	}
	a := &arrival{id: id, method: r.Method, uri: r.RequestURI, body: string(body), at: time.Now()}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	if expected := r.Header.Get("X-Ryehaven-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		w.Header().Set("X-Ryehaven-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	a.ran = true
	s.mu.Unlock()
	time.Sleep(s.work)
	w.Header().Set("X-Ryehaven-Server-Seal", "seal-"+s.id)
	fmt.Fprintf(w, "answer to %s", id)
}

// arrivalsOf returns the arrivals of a request.
func (s *server) arrivalsOf(id string) (found []arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.id == id {
			found = append(found, *a)
		}
	}
	return found
}

// announce sends a heartbeat to a control address.
func (s *server) announce(control, state string) {
	s.mu.Lock()
	s.calls++
	seq := s.calls
	s.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"address": s.address(), "born": s.born,
		"info":   map[string]any{"service": s.service, "serial": "v1", "zone": "z", "slots": slots},
		"status": map[string]any{"state": state, "callSeq": seq, "coldRemainingMs": 0},
	})
	if err != nil {
		panic(err) // These types can be encoded.
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+control+"/v1/instances/"+s.id, bytes.NewReader(body))
	if err != nil {
		panic(err) // The address is valid.
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Content-Length", strconv.Itoa(len(body)))
	client := http.Client{Timeout: time.Second}
	if response, err := client.Do(request); err == nil {
		response.Body.Close()
	}
}
