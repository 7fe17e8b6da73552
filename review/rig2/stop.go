// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/ryehaven/ryehaven/platform/emulator"
)

// Times of the case with a planned stop, counted from the SIGTERM.
const (
	uploadAfter = 800 * time.Millisecond
	// uploadTakes is how long a client takes to send its order of uploadBytes.
	uploadTakes = 2600 * time.Millisecond
	uploadBytes = 4000
	leaveAt     = 3750 * time.Millisecond
)

// leaveDuringPlannedStop stops the node beside a target as planned, and starts it again. A target
// leaves with a DELETE that the node acknowledges before it has ended. Later than drainMs after
// that, no request may reach the target.
func leaveDuringPlannedStop(e *environment) (verdict, error) {
	targets, err := e.startOrders()
	defer func() {
		for _, t := range targets {
			t.end()
		}
	}()
	if err != nil {
		return verdict{}, err
	}
	leaver := targets[2]
	m := leaver.machine
	began := time.Now()
	if e.trouble {
		e.record.event("SIGTERM to %s", m.name)
		m.signal(syscall.SIGTERM)
	}
	uploaded := make(chan string, 1)
	time.Sleep(time.Until(began.Add(uploadAfter)))
	go func() { uploaded <- slowOrder(e.record, m) }()
	time.Sleep(time.Until(began.Add(leaveAt)))
	status := leaver.leave()
	acknowledged := time.Now()
	e.record.event("DELETE of %s: %d", leaver.id, status)
	if status < 200 || status > 299 {
		return verdict{}, fmt.Errorf("the DELETE was not acknowledged: %d", status)
	}
	e.record.event("slow order: %s", <-uploaded)
	if e.trouble {
		m.mu.Lock()
		exited := m.exited
		m.mu.Unlock()
		select {
		case <-exited:
		case <-time.After(time.Until(began.Add(6 * time.Second))):
			return verdict{}, fmt.Errorf("%s has not ended within graceS", m.name)
		}
		e.record.event("%s has ended", m.name)
		time.Sleep(restartDelay)
		if err := m.start(); err != nil {
			return verdict{}, err
		}
		e.record.event("%s is started again", m.name)
	}
	return e.ordersLater(targets, leaver, acknowledged, time.Now())
}

// slowOrder sends an order whose body takes uploadTakes to arrive, and returns the status line.
func slowOrder(r *record, m *machine) string {
	c, err := net.Dial("tcp", m.outbound)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	r.event("sent: slow order at %s", m.name)
	fmt.Fprintf(c, "POST /order/slow HTTP/1.1\r\nHost: %s\r\nX-Ryehaven-Request-Id: slow1\r\nX-Ryehaven-Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n", emulator.Authority, uploadBytes)
	const parts = 20
	for range parts {
		time.Sleep(uploadTakes / parts)
		if _, err := io.WriteString(c, strings.Repeat("x", uploadBytes/parts)); err != nil {
			return err.Error()
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	response.Body.Close()
	return response.Status
}
