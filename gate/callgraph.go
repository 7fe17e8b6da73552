// SPDX-License-Identifier: MIT

package gate

import (
	"time"

	"github.com/ryehaven/ryehaven/calls"
)

// requestStarted notifies the call graph that the server has got the job. It is called with the
// lock held.
func (j *job) requestStarted() {
	if learned := j.gate.settings.Calls; learned != nil && j.stream.Route != "" {
		j.route = calls.RouteOf(j.stream.Route)
		learned.RequestStarted(time.Now(), j.route, uint8(j.ticket.Priority))
	}
}

// requestEnded notifies the call graph that the server has finished the job, or that nobody waits
// for it any more. It is called with the lock held.
func (j *job) requestEnded(now time.Time) {
	if j.route != 0 {
		j.gate.settings.Calls.RequestEnded(now, j.route)
		j.route = 0
	}
}
