// SPDX-License-Identifier: MIT

// Package burn computes the rate at which a service uses up the error budget of its
// service level objective. For one service at one node, it counts the calls and how
// many of them were bad, in windows of up to six hours.
//
// A call is bad when it failed, was refused, has an unknown outcome, or took
// longer than the latency objective of the service's table row. At a burn rate of 1,
// the error budget is used up exactly; see the chapter on alerting in the Site
// Reliability Workbook for why several windows are evaluated together.
//
// The package reads no clock: callers pass the current time.
package burn

import "time"

const (
	bucketLength = 30 * time.Second
	bucketCount  = int(6 * time.Hour / bucketLength)
)

// Windows returns the lengths of the time windows that a report covers.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}
}

// Count is the number of calls and of the bad ones among them.
type Count struct {
	Calls uint64 `json:"calls" msgpack:"c"`
	Bad   uint64 `json:"bad" msgpack:"b"`
}

// Add returns the sum of two counts.
func (c Count) Add(other Count) Count {
	return Count{Calls: c.Calls + other.Calls, Bad: c.Bad + other.Bad}
}

// BadShare returns the share of bad calls, 0 if there were no calls.
func (c Count) BadShare() float64 {
	if c.Calls == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Calls)
}

// Rate returns the burn rate: how fast the error budget of an objective (the share of
// calls that should be good) is used up, where 1 is exactly as fast as allowed.
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
	// current is the number of the newest bucket, counted from the Unix epoch. Bucket
	// n is stored at index n modulo bucketCount.
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

// Window returns the sum of the calls in the window of a length that ends now.
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

// advance makes the bucket of a time the current one and clears those that it reuses.
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
