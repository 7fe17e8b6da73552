// SPDX-License-Identifier: MIT

//go:build review

package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/ryehaven/ryehaven/platform/emulator"
)

// requestsPerCase is how many requests a case sends, one after the other, spread over all
// hosts.
const requestsPerCase = 30

// The routes of the cases below, with figures of the site that their claims name.
const (
	service     = "billing"
	chargeRoute = "/charge/"
	fetchRoute  = "/fetch/"
)

// startSmallSite starts three hosts, in three zones, with a server each.
func startSmallSite() (*site, error) {
	s, err := newSite(emulator.Configuration(1, []string{service}, []emulator.Route{
		{Prefix: chargeRoute, Service: service, TimeoutMs: 1000, AimMs: 250, Attempts: 2, Priority: 1},
		{Prefix: fetchRoute, Repeatable: true, Service: service, TimeoutMs: 800, AimMs: 200, Attempts: 2, Priority: 2},
	}))
	if err != nil {
		return nil, err
	}
	for _, zone := range []string{"tacoma-hall", "olympia-hall", "bellingham-hall"} {
		if _, err := s.addHost(service, zone, 20*time.Millisecond); err != nil {
			s.close(true)
			return nil, err
		}
	}
	if err := s.waitServing("GET", fetchRoute+"warm", 15*time.Second); err != nil {
		s.close(true)
		return nil, err
	}
	return s, nil
}

// arrivalsOf returns the arrivals of a request at all servers.
func (s *site) arrivalsOf(id string) []arrival {
	var found []arrival
	for _, h := range s.hosts {
		found = append(found, h.server.arrivalsOf(id)...)
	}
	return found
}

// sendAndCompare sends a request and compares what servers ran with what was sent.
func (s *site) sendAndCompare(r *record, o *outcome, number int, c emulator.Call) (ran bool) {
	r.add("request %s: client sends %s %s, body of %d bytes", c.ID, c.Method, c.Path, len(c.Body))
	reply := c.Send(s.hosts[number%len(s.hosts)].ports["outbound"])
	r.add("request %s: client gets status %d, seal %q, error %v", c.ID, reply.Status, reply.Seal, reply.Err)
	for _, a := range s.arrivalsOf(c.ID) {
		r.add("request %s: server gets %s %s, body of %d bytes, ran %v", c.ID, a.method, a.uri, len(a.body), a.ran)
		ran = ran || a.ran
		if a.ran && (a.method != c.Method || a.uri != c.Path || a.body != c.Body) {
			o.breaks("UNASKED: request %s was sent as %s %s with a body of %d bytes; a server ran %s %s with a body of %d bytes; the client got status %d",
				c.ID, c.Method, c.Path, len(c.Body), a.method, a.uri, len(a.body), reply.Status)
		}
	}
	return ran
}

// compareAll sends the requests of a case. It fails if hardly any of them ran.
func compareAll(r *record, prefix string, request func(number int) emulator.Call) (o outcome, err error) {
	s, err := startSmallSite()
	if err != nil {
		return o, err
	}
	defer s.close(false)
	ran := 0
	for i := range requestsPerCase {
		c := request(i)
		c.ID = fmt.Sprintf("%s%02d", prefix, i)
		if s.sendAndCompare(r, &o, i, c) {
			ran++
		}
	}
	if ran < requestsPerCase/2 {
		return o, fmt.Errorf("only %d of %d requests ran", ran, requestsPerCase)
	}
	return o, nil
}

// formOf returns a form with one file, as browsers and HTTP libraries send it.
func formOf(boundary, content string) string {
	return "--" + boundary + "\r\nContent-Disposition: form-data; name=\"minutes\"; filename=\"minutes.csv\"\r\n" +
		"Content-Type: text/csv\r\n\r\n" + content + "\r\n--" + boundary + "--\r\n"
}

// runMultipart sends orders whose body is a form of some 4,000 bytes. Without the trouble the
// same bytes are sent under another Content-Type.
func runMultipart(r *record, trouble bool) (outcome, error) {
	contentType := "application/octet-stream"
	if trouble {
		contentType = "multipart/form-data; boundary=vb7f2"
	}
	return compareAll(r, "form-", func(i int) emulator.Call {
		return emulator.Call{
			Method: "POST", Path: fmt.Sprintf("%s%d", chargeRoute, i), DeadlineMs: 1000,
			Body:   formOf("vb7f2", strings.Repeat(fmt.Sprintf("customer-%d,17\r\n", i), 250)),
			Fields: []string{"Content-Type: " + contentType},
		}
	})
}

// runPath sends requests whose path has a slash that is encoded, since it is part of a name.
// Without the trouble the name has a hyphen there.
func runPath(r *record, trouble bool) (outcome, error) {
	name := "call-17"
	if trouble {
		name = "call%2F17"
	}
	return compareAll(r, "path-", func(i int) emulator.Call {
		if i%2 == 0 {
			return emulator.Call{Method: "GET", Path: fmt.Sprintf("%s%s/text?part=%d", fetchRoute, name, i), DeadlineMs: 800}
		}
		return emulator.Call{Method: "POST", Path: fmt.Sprintf("%s%s/minutes?part=%d", chargeRoute, name, i), DeadlineMs: 1000, Body: "17"}
	})
}
