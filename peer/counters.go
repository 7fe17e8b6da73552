// SPDX-License-Identifier: MIT

package peer

import (
	"sync/atomic"

	"github.com/ryehaven/ryehaven/wire"
)

// Counters counts the traffic and events of one node's connections. The zero value is
// ready to use; a node's Dialer and Server share one value.
type Counters struct {
	// ControlSent and ControlReceived are the bytes of queries, replies, pings, pongs,
	// fences and notices to entries. RequestSent and RequestReceived are the bytes of all
	// other frames.
	ControlSent, ControlReceived atomic.Int64
	RequestSent, RequestReceived atomic.Int64
	// LateFrames counts frames for requests that had ended; these frames are dropped.
	LateFrames atomic.Int64
	// Undecodable counts requests and answers that could not be decoded and were refused or
	// given up, while their connection continued.
	Undecodable atomic.Int64
	// WrongKeys counts connections whose peer did not prove the key.
	WrongKeys atomic.Int64
	// Dials counts the connections that this node tried to open, and DialFailures those
	// that failed.
	Dials, DialFailures atomic.Int64
	// Suspicions counts how often a peer became suspected.
	Suspicions atomic.Int64
	// Replaced counts connections that stalled while their node responded on another one.
	Replaced atomic.Int64
	// UnresponsiveNodes counts second connections on which the node did not respond
	// either, so that the node itself is unresponsive.
	UnresponsiveNodes atomic.Int64
	// StalledRequests counts requests that were in flight on a connection when it was
	// replaced.
	StalledRequests atomic.Int64
	// Moved counts requests that were moved to another connection, NotArrived those that
	// had not arrived and so were not run, and MovedLost those that cannot be answered any
	// more.
	Moved, NotArrived, MovedLost atomic.Int64
	// Accepted is the number of open connections that peers opened, and Dialed the number
	// of open connections that this node opened.
	Accepted, Dialed atomic.Int64
}

func isControl(kind wire.Kind) bool {
	switch kind {
	case wire.KindPing, wire.KindPong, wire.KindAsk, wire.KindReply, wire.KindNotice, wire.KindSlowness, wire.KindHeadroom,
		wire.KindFence, wire.KindFenced, wire.KindSupports:
		return true
	}
	return false
}

func (c *Counters) countSent(kind wire.Kind, bytes int) {
	if isControl(kind) {
		c.ControlSent.Add(int64(bytes))
		return
	}
	c.RequestSent.Add(int64(bytes))
}

func (c *Counters) countReceived(kind wire.Kind, bytes int) {
	if isControl(kind) {
		c.ControlReceived.Add(int64(bytes))
		return
	}
	c.RequestReceived.Add(int64(bytes))
}
