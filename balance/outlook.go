// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"time"
)

// Outlook is what awaits a request of a service now, wherever it goes.
type Outlook struct {
	// Took is what it is expected to take from sending to answer, waiting included.
	Took time.Duration
	// Refused is the chance that no server has room for it, from 0 to 1.
	Refused float64
}

// Outlook returns what awaits a request with a demand; call says that a request which is
// running elsewhere would wait for it.
func (p *Pool) Outlook(now time.Time, demand Demand, call bool) Outlook {
	usual := p.usualSlowness()
	best := Outlook{Took: math.MaxInt64, Refused: 1}
	for _, s := range p.servers {
		if p.troubleOf(now, s) != noTrouble {
			continue
		}
		if took := p.expectedTime(now, s, usual, demand); took < best.Took {
			best = Outlook{Took: took}
		}
	}
	return best
}
