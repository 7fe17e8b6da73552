// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/platform/emulator"
)

const (
	// pipelineMost is how many requests a pipelining caller sends before it reads.
	pipelineMost = 6
	// pipelineGap parts them, so that some come while the first is served.
	pipelineGap = 3 * time.Millisecond
)

// errBehind is how a request ends that was sent behind an answer that closes.
var errBehind = eris.New("sent behind an answer that closes the connection")

// runPipelining sends requests at a host without waiting for answers, on a connection that
// is kept until one closes it.
func (s *site) runPipelining(ctx context.Context, h *host) {
	c := &client{site: s, host: h, rng: rand.New(rand.NewPCG(s.options.Seed, uint64(h.number)+7000))}
	defer c.hangUp()
	for ctx.Err() == nil {
		pause(ctx, time.Duration(c.rng.Int64N(int64(thinkMost))))
		if !h.ready.Load() || !c.connect() {
			c.hangUp()
			pause(ctx, awayFor)
			continue
		}
		c.exchangeMany(1 + c.rng.IntN(pipelineMost))
	}
}

// exchangeMany sends some requests and then reads their answers in turn.
func (c *client) exchangeMany(n int) {
	calls := make([]Call, n)
	for i := range calls {
		calls[i] = c.site.newCall(c.host, c.next())
		calls[i].Behind = i > 0
		calls[i].Began = time.Now()
		if _, err := fmt.Fprint(c.conn, c.site.emulated(&calls[i]).Text()); err == nil {
			calls[i].Sent = time.Now()
		}
		time.Sleep(time.Duration(c.rng.Int64N(int64(pipelineGap))))
	}
	closing := false
	for i := range calls {
		call := &calls[i]
		if closing {
			call.Reply = emulator.Reply{Err: errBehind}
		} else {
			call.Reply = emulator.ReadReply(c.conn, c.reader)
		}
		call.Done = time.Now()
		closing = closing || call.Reply.Closing || call.Reply.Err != nil
		c.site.addCall(*call)
	}
	if closing {
		c.hangUp()
	}
}
