// SPDX-License-Identifier: MIT

package node

import "github.com/valyala/fasthttp"

// handleInOrder answers the next request of a connection. If startPipelined has started the
// request already, it waits for that answer.
func (n *Node) handleInOrder(ctx *fasthttp.RequestCtx) {
	answer, started := ctx.Conn().(*callerConn).pipeline.Take(&ctx.Request)
	if !started {
		n.entry.Handle(ctx)
		return
	}
	answer.Header.CopyTo(&ctx.Response.Header)
	ctx.Response.SkipBody = answer.SkipBody
	if answer.IsBodyStream() {
		ctx.Response.SetBodyStream(answer.BodyStream(), answer.Header.ContentLength())
		return
	}
	ctx.Response.SetBodyRaw(answer.Body())
}

// startPipelined starts a request that arrived before the previous request on its
// connection was answered. It returns nil for a request that may run only once, which is
// started after the previous ones: if the connection closes first, the request was not run
// and its caller can send it again.
func (n *Node) startPipelined(ctx *fasthttp.RequestCtx) <-chan struct{} {
	if n.stopping.Load() || !n.entry.MayRepeat(ctx) {
		return nil
	}
	ctx.Conn().(*callerConn).answerDefaults.CopyTo(&ctx.Response.Header)
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.requestArrived()
		n.entry.Handle(ctx)
	}()
	return done
}
