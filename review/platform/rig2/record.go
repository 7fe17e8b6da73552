// SPDX-License-Identifier: MIT

//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// arrival is a request that a target began to run.
type arrival struct {
	at                            time.Time
	target, request, path, caller string
	body                          int
}

// record is what was sent, answered and run. It is written as it happens.
type record struct {
	mu       sync.Mutex
	began    time.Time
	file     *os.File
	arrivals []arrival
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f}, nil
}

func (r *record) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) arrival(a arrival) {
	r.event("run begins: %s at %s, %s, caller %s, body of %d bytes", a.request, a.target, a.path, a.caller, a.body)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

func (r *record) all() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}
