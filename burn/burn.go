// SPDX-License-Identifier: MIT

// Package burn keeps the service level of one service at one node: how many
// calls there were and how many were bad, in windows up to six hours.
//
// A call is bad when it failed, was refused, has an unknown outcome, or took
// longer than the row's objective. A burn rate of 1 uses up the error budget
// exactly; see the chapter on alerting in the Site Reliability Workbook for
// why several windows are read together.
//
// The package reads no clock.
package burn

import "time"

const (
	bucketLength = 30 * time.Second
	bucketCount  = int(6 * time.Hour / bucketLength)
)

// Windows are the lengths of time that a report covers.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}
}

// Count is a number of calls and the bad ones among them.
type Count struct {
	Calls uint64 `json:"calls" msgpack:"c"`
	Bad   uint64 `json:"bad" msgpack:"b"`
}

// Add returns the sum of two counts.
func (c Count) Add(other Count) Count {
	return Count{Calls: c.Calls + other.Calls, Bad: c.Bad + other.Bad}
}

// BadShare returns the bad share, 0 without calls.
func (c Count) BadShare() float64 {
	if c.Calls == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Calls)
}

// Rate returns how fast an objective's error budget is used: 1 is exactly as
// fast as allowed.
func (c Count) Rate(objective float64) float64 {
	if objective >= 1 {
		return 0
	}
	return c.BadShare() / (1 - objective)
}

// Meter counts the calls of one service. The zero value is empty. It is not
// safe for concurrent use.
type Meter struct {
	buckets []Count
	// current is the number of the newest bucket since the zero time.
	current int64
}

// Record counts one call.
func (m *Meter) Record(now time.Time, bad bool) {
	m.advance(now)
	b := &m.buckets[m.current%int64(bucketCount)]
	b.Calls++
	if bad {
		b.Bad++
	}
}

// Window sums the calls of the last length of time.
func (m *Meter) Window(now time.Time, length time.Duration) Count {
	if m.buckets == nil {
		return Count{}
	}
	m.advance(now)
	var sum Count
	n := min(int64(length/bucketLength), int64(bucketCount))
	for i := range n {
		sum = sum.Add(m.buckets[(m.current-i)%int64(bucketCount)])
	}
	return sum
}

func (m *Meter) advance(now time.Time) {
	number := now.UnixNano() / int64(bucketLength)
	if m.buckets == nil {
		m.buckets = make([]Count, bucketCount)
		m.current = number
		return
	}
	if number-m.current >= int64(bucketCount) {
		clear(m.buckets)
		m.current = number
		return
	}
	for m.current < number {
		m.current++
		m.buckets[m.current%int64(bucketCount)] = Count{}
	}
}
