// SPDX-License-Identifier: MIT

package quota

import (
	"slices"

	"github.com/ryehaven/ryehaven/tenant"
)

// sortByTiming sorts waiters by their timing and returns a query with the numbers of all, of
// the yielding and of the scheduled ones.
func sortByTiming(waiters []*waiter) query {
	slices.SortStableFunc(waiters, func(a, b *waiter) int { return int(a.timing) - int(b.timing) })
	m := query{Want: len(waiters)}
	for _, w := range waiters {
		if w.timing != tenant.OnTime {
			m.Yielding++
		}
		if w.timing == tenant.TooEarly {
			m.Scheduled++
		}
	}
	return m
}
