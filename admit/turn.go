// SPDX-License-Identifier: MIT

package admit

import "math"

// turns divides what a cold server may get between calls and callers' requests. Calls go
// first, since work has been done for them already; but where they alone would take all
// that it may get, requests that need the same server would get nothing, although those
// above the calls take as much of their own server and may be late in the end. So both get
// what the server may get in proportion to what comes of each. Requests of the least
// priority have no part: they get what is left.
//
// The zero value has seen nothing and begins with equal parts.
type turns struct {
	// others is the share of callers' requests in what came of late, less one half.
	others float64
	// claim is how many requests the callers' are behind their part; below 0 they are
	// ahead of it.
	claim float64
}

const (
	// turnsMemory is about how many requests the parts go by.
	turnsMemory = 32
	// claimMost bounds what is made up for later, in requests.
	claimMost = 2.0
	// leastPart keeps both sides from having no part at all.
	leastPart = 0.05
)

// part is the part of callers' requests, from 0 to 1.
func (u *turns) part() float64 {
	return min(max(u.others+0.5, leastPart), 1-leastPart)
}

// came counts a request that came.
func (u *turns) came(call bool) {
	now := 0.5
	if call {
		now = -0.5
	}
	u.others += (now - u.others) / turnsMemory
}

// went counts a request that went to the server.
func (u *turns) went(call bool) {
	if call {
		u.claim += u.part()
	} else {
		u.claim -= 1 - u.part()
	}
	u.claim = min(max(u.claim, -claimMost), claimMost)
}

// othersFirst reports whether a caller's request goes before a call.
func (u *turns) othersFirst() bool { return u.claim >= 1 }

// callsBefore is how many calls go before the n-th caller's request from now on, if there
// are enough.
func (u *turns) callsBefore(n int) int {
	part := u.part()
	return whole(math.Ceil((1 + float64(n-1)*(1-part) - u.claim) / part))
}

// othersBefore is how many callers' requests go before the n-th call, if there are enough.
func (u *turns) othersBefore(n int) int {
	part := u.part()
	return whole(math.Floor((u.claim+float64(n-1)*part-1)/(1-part)) + 1)
}

func whole(n float64) int { return int(max(n, 0)) }
