// SPDX-License-Identifier: MIT

package node

import "time"

// retirementKeptFor is how long the retirement of a gate is remembered. The requests to a
// cold server are limited in any period of one second, so one second would suffice; the
// rest is a margin.
const retirementKeptFor = 2 * time.Second

// retirementTimes are the times at which gates were retired recently. A new gate to the
// same server shares the limit on requests to a cold server with the retired one. The zero
// value is empty.
type retirementTimes struct {
	at map[gateKey]time.Time
}

// add records that a gate was retired, and removes old retirements.
func (r *retirementTimes) add(key gateKey, now time.Time) {
	if r.at == nil {
		r.at = map[gateKey]time.Time{}
	}
	for other, at := range r.at {
		if now.Sub(at) > retirementKeptFor {
			delete(r.at, other)
		}
	}
	r.at[key] = now
}

// lastOrStart returns the latest time at which an earlier gate may have sent a request to a
// server: when that gate was retired, or else when this process started, since the
// previous process on the host ended before that.
func (r *retirementTimes) lastOrStart(key gateKey, started time.Time) time.Time {
	if at, ok := r.at[key]; ok {
		return at
	}
	return started
}
