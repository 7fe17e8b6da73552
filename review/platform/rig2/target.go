// SPDX-License-Identifier: MIT

//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// target is an application target as PROTOCOL.md and the letters describe it.
type target struct {
	id      string
	service string
	born    int64
	slots   int
	// work is how long a request runs.
	work time.Duration

	machine *machine
	record  *record
	server  *http.Server

	running atomic.Int64
	leaving atomic.Bool
	// pauseBeats stops the heartbeats.
	pauseBeats atomic.Bool
	// crashPath is the path of requests that crash the target when it begins to run them; no
	// request does if it is empty.
	crashPath string
	onCrash   func()
	seq       atomic.Int64
	ended     chan struct{}
	endOnce   sync.Once
}

func newTarget(id string, m *machine, slots int, work time.Duration, r *record) (*target, error) {
	t := &target{id: id, service: m.service, born: time.Now().UnixMilli(), slots: slots, work: work, machine: m, record: r, ended: make(chan struct{})}
	listener, err := net.Listen("tcp", m.app)
	if err != nil {
		return nil, err
	}
	t.server = &http.Server{Handler: http.HandlerFunc(t.handle)}
	go func() { _ = t.server.Serve(listener) }()
	return t, nil
}

func (t *target) handle(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Ryehaven-Server-Load", fmt.Sprintf("%d,0,%d,100", t.running.Load(), t.slots))
	if t.leaving.Load() {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
	id := r.Header.Get("X-Ryehaven-Request-Id")
	if r.URL.Path == "/health" {
		h.Set("X-Ryehaven-Instance-Id", t.id)
		if t.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h.Set("X-Ryehaven-Request-Id", id)
	if expected := r.Header.Get("X-Ryehaven-Expect-Instance"); expected != "" && expected != t.id {
		h.Set("X-Ryehaven-Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if t.running.Add(1) > int64(t.slots) {
		t.running.Add(-1)
		h.Set("X-Ryehaven-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.running.Add(-1)
	t.record.arrival(arrival{at: time.Now(), target: t.id, request: id, path: r.URL.Path, caller: r.Header.Get("X-Ryehaven-Caller-Service"), body: len(body)})
	if t.crashPath != "" && r.URL.Path == t.crashPath {
		t.end()
		if t.onCrash != nil {
			go t.onCrash()
		}
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(t.work):
	case <-t.ended:
		panic(http.ErrAbortHandler)
	}
	t.record.event("run ends: %s at %s", id, t.id)
	answer := "answer to " + id
	h.Set("X-Ryehaven-Server-Seal", "seal."+t.id)
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// end ends the target's process.
func (t *target) end() {
	t.endOnce.Do(func() {
		close(t.ended)
		_ = t.server.Close()
		t.record.event("target %s has ended", t.id)
	})
}

// call sends a message to the node beside the target and returns the status; 0 if there is no
// answer within a second.
func (t *target) call(method, body string) int {
	request, err := http.NewRequest(method, "http://"+t.machine.control+"/v1/instances/"+t.id, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// heartbeat returns the body of the next heartbeat.
func (t *target) heartbeat(state string) string {
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"serial":"v1","zone":%q,"slots":%d},"status":{"state":%q,"callSeq":%d,"coldRemainingMs":0}}`,
		t.machine.app, t.born, t.service, t.machine.zone, t.slots, state, t.seq.Add(1))
}

// beat sends one heartbeat.
func (t *target) beat(state string) int { return t.call(http.MethodPut, t.heartbeat(state)) }

// leave says with a DELETE that the target leaves, and returns the status. From then on all its
// answers say so too.
func (t *target) leave() int {
	t.leaving.Store(true)
	return t.call(http.MethodDelete, fmt.Sprintf(`{"born":%d}`, t.born))
}

// beats sends heartbeats until the target leaves or ends, each heartbeatTime after the one before.
func (t *target) beats() {
	ticker := time.NewTicker(heartbeatTime)
	defer ticker.Stop()
	for {
		select {
		case <-t.ended:
			return
		case <-ticker.C:
		}
		if t.leaving.Load() {
			return
		}
		if t.pauseBeats.Load() {
			continue
		}
		status := t.beat("ready")
		t.record.event("heartbeat of %s: %d", t.id, status)
	}
}
