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
	// maxPipelined is the maximum number of requests that a pipelining caller sends before it
	// reads answers.
	maxPipelined = 6
	// maxPipelineGap is the maximum time between two of them, so that some arrive while the
	// first one is being served.
	maxPipelineGap = 3 * time.Millisecond
)

// errAfterClose is the result of a request that was sent after one whose answer closes the
// connection.
var errAfterClose = eris.New("pipelined after a request whose answer closes the connection")

// runPipelining sends requests to a host without waiting for answers, on a connection that
// is kept until an answer closes it.
func (s *site) runPipelining(ctx context.Context, h *host) {
	c := &caller{site: s, host: h, rng: rand.New(rand.NewPCG(s.options.Seed, uint64(h.number)+7000)), shapes: shapesOf(s.options.Seed, h.number, 999)}
	defer c.closeConn()
	for ctx.Err() == nil {
		pause(ctx, time.Duration(c.rng.Int64N(int64(maxThinkTime))))
		if !h.ready.Load() || !c.connect() {
			c.closeConn()
			pause(ctx, unavailableDelay)
			continue
		}
		c.exchangePipelined(1 + c.rng.IntN(maxPipelined))
	}
}

// exchangePipelined sends some requests and then reads their answers in order.
func (c *caller) exchangePipelined(n int) {
	calls := make([]Call, n)
	for i := range calls {
		calls[i] = c.site.newCall(c.host, c.next())
		calls[i].Pipelined = i > 0
		calls[i].Began = time.Now()
		if _, err := fmt.Fprint(c.conn, c.site.emulatorCall(&calls[i]).Text()); err == nil {
			calls[i].Sent = time.Now()
		}
		time.Sleep(time.Duration(c.rng.Int64N(int64(maxPipelineGap))))
	}
	closing := false
	for i := range calls {
		call := &calls[i]
		if closing {
			call.Reply = emulator.Reply{Err: errAfterClose}
		} else {
			call.Reply = emulator.ReadReply(c.conn, c.reader)
		}
		call.Done = time.Now()
		closing = closing || call.Reply.Closing || call.Reply.Err != nil
		c.site.addCall(*call)
	}
	if closing {
		c.closeConn()
	}
}
