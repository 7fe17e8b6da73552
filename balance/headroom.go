// SPDX-License-Identifier: MIT

package balance

import (
	"time"

	"github.com/ryehaven/ryehaven/wire"
)

// UpdateHeadroom records the headroom at its server that the gate at a node's address reports.
func (p *Pool) UpdateHeadroom(now time.Time, node string, headroom wire.Headroom) {
	for s := range p.all() {
		if s.Node == node {
			s.updateHeadroom(now, headroom)
		}
	}
}
