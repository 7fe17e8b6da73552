// SPDX-License-Identifier: MIT

//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ryehaven/ryehaven/platform/emulator"
)

// Figures of the case with many header fields.
const (
	// manyFields is how many header fields one request has. They are within maxHeaderBytes, which
	// is 16384 here.
	manyFields = 1100
	// fieldsAfter is when the request with many fields is sent, counted from the SIGTERM, and
	// ordersBefore how long before that the orders are sent.
	fieldsAfter  = 300 * time.Millisecond
	ordersBefore = 150 * time.Millisecond
)

// manyFieldsDuringPlannedStop stops a machine as planned while it serves orders. One client there
// sends a read with many header fields. No order whose target is at work may be broken off.
func manyFieldsDuringPlannedStop(e *environment) (verdict, error) {
	targets, err := e.startOrders()
	defer func() {
		for _, t := range targets {
			t.end()
		}
	}()
	if err != nil {
		return verdict{}, err
	}
	m := e.site.machines[3]
	began := time.Now()
	if e.trouble {
		e.record.event("SIGTERM to %s", m.name)
		m.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(began.Add(fieldsAfter - ordersBefore)))
	var wait sync.WaitGroup
	var mu sync.Mutex
	var replies []reply
	for i := range 9 {
		wait.Go(func() {
			got := send(e.record, m, "POST", fmt.Sprintf("/order/%d", i), "restart", 1200*time.Millisecond)
			mu.Lock()
			replies = append(replies, got)
			mu.Unlock()
		})
	}
	time.Sleep(time.Until(began.Add(fieldsAfter)))
	e.record.event("request with %d fields: %s", manyFields, sendFields(e.record, m, manyFields))
	wait.Wait()
	broken := 0
	for _, got := range replies {
		for _, a := range e.record.all() {
			if a.request == got.id && got.status != http.StatusOK {
				broken++
			}
		}
	}
	why := fmt.Sprintf("%d of %d orders that were at work at their targets were answered by the node itself or not at all", broken, len(replies))
	if !e.trouble {
		return verdict{false, why + "; without planned work the rule doesn't count them"}, nil
	}
	return verdict{broken > 0, why}, nil
}

// sendFields sends a read with a number of header fields and returns the status line.
func sendFields(r *record, m *machine, number int) string {
	c, err := net.Dial("tcp", m.outbound)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	var b strings.Builder
	fmt.Fprintf(&b, "GET /lock/fields HTTP/1.1\r\nHost: %s\r\nX-Ryehaven-Request-Id: fields1\r\nX-Ryehaven-Deadline-Ms: 1000\r\n", emulator.Authority)
	for i := range number {
		fmt.Fprintf(&b, "x%d: 1\r\n", i)
	}
	b.WriteString("\r\n")
	r.event("sent: a request of %d bytes with %d fields at %s", b.Len(), number, m.name)
	if _, err := c.Write([]byte(b.String())); err != nil {
		return err.Error()
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	response.Body.Close()
	return response.Status
}
