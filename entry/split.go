// SPDX-License-Identifier: MIT

package entry

import (
	"math"
	"math/rand/v2"
)

// split draws the parts of a route that is shared out among services. Successive
// draws are spread evenly (the golden ratio's multiples, an additive recurrence), so
// that each entry keeps the weights within a few requests of its own, where random
// draws miss them by 0.03 over 300 requests and now and then by 0.1. The zero value
// is ready.
type split struct {
	at      float64
	started bool
}

// draw returns a number of at least 0 and below total.
func (s *split) draw(total int) int {
	if !s.started {
		s.started = true
		s.at = rand.Float64() // Entries must not begin with the same part.
	}
	_, s.at = math.Modf(s.at + 1/math.Phi)
	return min(int(s.at*float64(total)), total-1)
}
