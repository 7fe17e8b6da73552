// SPDX-License-Identifier: MIT

//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ryehaven/ryehaven/platform/emulator"
)

// reply is what a client got; status is 0 if the connection ended without an answer.
type reply struct {
	id      string
	sent    time.Time
	machine *machine
	status  int
	seal    string
	leaving bool
	body    string
	err     error
}

var requests atomic.Int64

// send sends one request to a machine's outbound address on a new connection.
func send(r *record, m *machine, method, path, body string, deadline time.Duration) reply {
	id := fmt.Sprintf("r%05d", requests.Add(1))
	out := reply{id: id, sent: time.Now(), machine: m}
	request, err := http.NewRequest(method, "http://"+m.outbound+path, bytes.NewReader([]byte(body)))
	if err != nil {
		out.err = err
		return out
	}
	request.Host = emulator.Authority
	request.Header.Set("X-Ryehaven-Request-Id", id)
	request.Header.Set("X-Ryehaven-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	r.event("sent: %s %s %s at %s", id, method, path, m.name)
	response, err := client.Do(request)
	if err != nil {
		out.err = err
		r.event("no answer: %s, %v", id, err)
		return out
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	out.status, out.body, out.err = response.StatusCode, string(text), err
	out.seal = response.Header.Get("X-Ryehaven-Server-Seal")
	out.leaving = response.Header.Get("Server-Leaving") == "1"
	r.event("answered: %s %d, seal %q, leaving %v, outcome %q, %q", id, out.status, out.seal, out.leaving, response.Header.Get("Ryehaven-Outcome"), out.body)
	return out
}
