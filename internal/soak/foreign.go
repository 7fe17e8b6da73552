// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"
)

// foreignEvery is the time between two announcements of another writer.
const foreignEvery = 200 * time.Millisecond

// foreignHosts are entries that another writer left in the list of hosts, and
// foreignAnnouncements what it says of servers. None names anything to use.
var (
	foreignHosts = []any{nil, 7, "text", []int{1}, map[string]any{}, map[string]any{"host": "x", "state": "resting"},
		map[string]any{"host": 7, "address": "10.0.0.2:1"}, map[string]any{"host": "x", "address": "nowhere"}}
	foreignAnnouncements = []string{``, `null`, `7`, `{}`, "\x00\xff", `{"info":{"service":"none","slots":3},"status":{"state":"ready","callSeq":9}}`,
		`{"info":{"service":"alpha","slots":-1},"status":{"state":"ready"}}`, `{"info":{"service":"alpha","slots":3},"status":{"state":"resting"}}`,
		`{"born":1.5,"info":{"service":"alpha","slots":3},"status":{"state":"ready"}}`}
)

// leaveForeign puts entries of another writer among those of the nodes.
func (s *site) leaveForeign() {
	for i, spec := range foreignHosts {
		s.store.Put("ryehaven-nodes", fmt.Sprintf("a-foreign-%d", i), spec)
	}
}

// runForeign has another writer announce servers that are none.
func (s *site) runForeign(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.options.Seed, 3))
	for ctx.Err() == nil {
		h := s.hosts[rng.IntN(len(s.hosts))]
		announce(h.address(controlPort), h.current().ID, foreignAnnouncements[rng.IntN(len(foreignAnnouncements))])
		pause(ctx, foreignEvery)
	}
}

// announce sends a body as the announcement of a server, however it is answered.
func announce(control, id, body string) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPut)
	request.SetRequestURI("http://" + control + "/v1/instances/" + id)
	request.SetBodyString(body)
	request.SetConnectionClose()
	_ = fasthttp.DoTimeout(request, nil, time.Second) // The node may be down.
}
