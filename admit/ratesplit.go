// SPDX-License-Identifier: MIT

package admit

import "math"

// rateSplit divides the requests that a server with a bounded rate may get between calls and client
// requests. Calls go first, since work has already been done for them. But where calls alone would
// use the whole rate, client requests at the same server would get nothing, although the requests that
// made the calls use as much of their own servers and may be late in the end. So each side gets a
// share of the rate in proportion to its arrivals. Requests of the lowest priority have no
// share: they get what is left.
//
// The zero value has seen no requests and begins with equal shares.
type rateSplit struct {
	// clientBias is the share of client requests among recent arrivals, less one half.
	clientBias float64
	// clientDeficit is how many requests the client requests have got less than their share; it
	// is negative if they have got more.
	clientDeficit float64
}

const (
	// splitMemory is about how many recent arrivals determine the shares.
	splitMemory = 32
	// maxDeficit bounds what is made up for later, in requests.
	maxDeficit = 2.0
	// minSplitShare is the least share of each side.
	minSplitShare = 0.05
)

// clientShare is the share of client requests, from 0 to 1.
func (s *rateSplit) clientShare() float64 {
	return min(max(s.clientBias+0.5, minSplitShare), 1-minSplitShare)
}

// arrived counts a request that arrived.
func (s *rateSplit) arrived(call bool) {
	sample := 0.5
	if call {
		sample = -0.5
	}
	s.clientBias += (sample - s.clientBias) / splitMemory
}

// dispatched counts a request that was sent to the server.
func (s *rateSplit) dispatched(call bool) {
	if call {
		s.clientDeficit += s.clientShare()
	} else {
		s.clientDeficit -= 1 - s.clientShare()
	}
	s.clientDeficit = min(max(s.clientDeficit, -maxDeficit), maxDeficit)
}

// clientsFirst reports whether a client request goes before a call.
func (s *rateSplit) clientsFirst() bool { return s.clientDeficit >= 1 }

// callsBefore is how many calls go before the n-th client request from now on, if that many
// wait.
func (s *rateSplit) callsBefore(n int) int {
	clientShare := s.clientShare()
	return nonNegative(math.Ceil((1 + float64(n-1)*(1-clientShare) - s.clientDeficit) / clientShare))
}

// clientsBefore is how many client requests go before the n-th call, if that many wait.
func (s *rateSplit) clientsBefore(n int) int {
	clientShare := s.clientShare()
	return nonNegative(math.Floor((s.clientDeficit+float64(n-1)*clientShare-1)/(1-clientShare)) + 1)
}

func nonNegative(n float64) int { return int(max(n, 0)) }
