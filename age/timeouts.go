// SPDX-License-Identifier: MIT

package age

import (
	"math"
	"time"
)

const (
	// firstBinEnd is the upper end of the first bin of stated timeouts. There are
	// binsPerDoubling bins for each doubling of the timeout, and binCount in all, which
	// covers up to about two hours.
	firstBinEnd     = time.Millisecond
	binsPerDoubling = 16
	binCount        = 23 * binsPerDoubling
	// A timeout counts as usual if at least one in usualOneIn first attempts stated a
	// timeout in its bin or in one of the next ones, usualBins bins in all.
	usualOneIn = 64
	usualBins  = 4
	// minObservations is the least number of first attempts from which an age is derived.
	minObservations = 16
	// halvingInterval is after how many first attempts all counts are halved, so that
	// timeouts that are no longer stated are forgotten.
	halvingInterval = 1024
)

// TimeoutHistogram learns which timeouts the first attempts on a route state. Its zero value
// has learned nothing. It is not safe for concurrent use.
type TimeoutHistogram struct {
	counts [binCount]uint16
	total  int
	// retriesUntil is the latest deadline of a request that was not served: until then,
	// requests may be retries.
	retriesUntil time.Time
}

// RecordUnserved records a request that was not served, with the deadline of its caller.
func (u *TimeoutHistogram) RecordUnserved(now, deadline time.Time) {
	if deadline.After(u.retriesUntil) && deadline.Sub(now) <= maxTimeout {
		u.retriesUntil = deadline
	}
}

// Observe adds the timeout that a request states. It is ignored while requests may be
// retries.
func (u *TimeoutHistogram) Observe(now time.Time, timeout time.Duration) {
	if timeout <= 0 || timeout > maxTimeout || now.Before(u.retriesUntil) {
		return
	}
	u.counts[binOf(timeout)]++
	u.total++
	if u.total < halvingInterval {
		return
	}
	u.total = 0
	for i := range u.counts {
		u.counts[i] /= 2
		u.total += int(u.counts[i])
	}
}

// MinAge returns the least age of a request that states a timeout: the difference to the
// nearest longer timeout that first attempts usually state. It returns 0 if the request may
// be a first attempt.
func (u *TimeoutHistogram) MinAge(timeout time.Duration) time.Duration {
	if timeout <= 0 || u.total < minObservations {
		return 0
	}
	for i := binOf(timeout); i < binCount; i++ {
		if u.counts[i] > 0 && u.countFrom(i)*usualOneIn >= u.total {
			return max(binStart(i)-timeout, 0)
		}
	}
	return 0
}

// countFrom returns the number of first attempts whose timeouts are in a bin or in one of
// the next ones, usualBins bins in all.
func (u *TimeoutHistogram) countFrom(bin int) (n int) {
	for i := bin; i < min(bin+usualBins, binCount); i++ {
		n += int(u.counts[i])
	}
	return n
}

// binOf returns the bin of a timeout.
func binOf(d time.Duration) int {
	if d <= firstBinEnd {
		return 0
	}
	return min(int(math.Log2(float64(d)/float64(firstBinEnd))*binsPerDoubling), binCount-1)
}

// binStart returns the lower end of a bin.
func binStart(bin int) time.Duration {
	return time.Duration(math.Exp2(float64(bin)/binsPerDoubling) * float64(firstBinEnd))
}
