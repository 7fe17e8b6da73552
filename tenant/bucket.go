// SPDX-License-Identifier: MIT

package tenant

import "time"

// Quota limits a tenant's requests at all nodes together.
type Quota struct {
	// Rate is in requests per second. Burst is the number of requests that may come at once
	// in addition.
	Rate, Burst float64
}

// Tolerance says by how much a quota may be exceeded within any period of length Window:
// by the fraction Overshoot of what the quota allows, plus Slack requests.
type Tolerance struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// margin returns how many requests may be admitted in a window beyond what a quota allows.
func (t Tolerance) margin(q Quota) float64 {
	return t.Overshoot*(q.Rate*t.Window.Seconds()+q.Burst) + t.Slack
}

// Shares of the margin, by use.
const (
	// initialShare is for the initial tokens of a new bucket, so that no request is refused
	// because the bucket's owner changes. The margin must cover them, since the previous
	// bucket, lost with its node, may have spent all of its tokens.
	initialShare = 0.2
	// extraCapacityShare bounds a bucket's capacity beyond its share of the burst. The extra
	// capacity lets small shares add up to whole tokens before the bucket overflows. It is
	// at most one token plus what the bucket is refilled with in extraCapacityTime.
	extraCapacityShare = 0.2
	extraCapacityTime  = 200 * time.Millisecond
	// fallbackShare is for the fallback buckets of all hosts together, which they use while
	// they can reach no owner.
	fallbackShare = 0.2
	// hostChangeShare is left for hosts that join and leave: nodes then disagree briefly on
	// the zones' shares.
	hostChangeShare = 0.05
)

// Bucket is a token bucket for a share of one tenant's quota. One token admits one request.
// A Bucket is not safe for concurrent use.
type Bucket struct {
	quota Quota
	rate  float64
	// capacity is the maximum number of tokens.
	capacity float64
	tokens   float64
	updated  time.Time
	// nextRetry is when the next refused request should be retried.
	nextRetry time.Time
}

// NewBucket returns a bucket for a share, from 0 to 1, of a quota.
func NewBucket(now time.Time, q Quota, tolerance Tolerance, share float64) *Bucket {
	b := &Bucket{updated: now}
	b.setQuota(q, tolerance, share)
	b.tokens = min(initialShare*share*tolerance.margin(q), b.capacity)
	return b
}

// NewFallbackBucket returns a bucket for a host that can reach no owner. It starts empty and
// fills with a small part of the margin, so that all hosts together stay below the bound.
func NewFallbackBucket(now time.Time, q Quota, tolerance Tolerance, hosts int) *Bucket {
	b := &Bucket{updated: now, quota: q, capacity: 1}
	if tolerance.Window > 0 {
		b.rate = fallbackShare * tolerance.margin(q) / tolerance.Window.Seconds() / float64(max(hosts, 1))
	}
	return b
}

// Clear discards all tokens.
func (b *Bucket) Clear(now time.Time) {
	b.tokens, b.updated = 0, now
}

// Configure changes the quota or the share. Tokens beyond the new capacity are discarded.
func (b *Bucket) Configure(now time.Time, q Quota, tolerance Tolerance, share float64) {
	b.refill(now)
	b.setQuota(q, tolerance, share)
	b.tokens = min(b.tokens, b.capacity)
}

// setQuota sets the rate and the capacity for a quota. The quota allows the rate plus the
// burst in every window. A bucket with just these values would grant the burst once and only
// the rate afterwards, and so refuse a tenant that keeps sending what each window allows.
// The bucket is therefore refilled faster, as far as its refill and its capacity together
// stay below the bound.
func (b *Bucket) setQuota(q Quota, tolerance Tolerance, share float64) {
	b.quota = q
	margin := share * tolerance.margin(q)
	burst := share * q.Burst
	b.rate = share * q.Rate
	b.capacity = max(burst, min(extraCapacityShare*margin, 1+b.rate*extraCapacityTime.Seconds()))
	if tolerance.Window > 0 {
		available := (1-initialShare-fallbackShare-hostChangeShare)*margin - (b.capacity - burst)
		b.rate += max(min(burst, available), 0) / tolerance.Window.Seconds()
	}
}

func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = min(b.tokens+b.rate*elapsed.Seconds(), b.capacity)
		b.updated = now
	}
}

// Take takes up to want tokens and returns how many it took.
func (b *Bucket) Take(now time.Time, want int) int {
	b.refill(now)
	taken := min(want, int(b.tokens))
	b.tokens -= float64(taken)
	return taken
}

// ScheduleRetries assigns retry times to refused requests. It returns the delay of the first
// one and the step by which each further one comes later. Retries are scheduled in the
// order of the refusals, and no faster than the tenant's whole rate.
func (b *Bucket) ScheduleRetries(now time.Time, refused int) (first, step time.Duration) {
	step = time.Duration(float64(time.Second) / max(b.quota.Rate, minRetryRate))
	if earliest := now.Add(time.Duration((1 - min(b.tokens, 1)) * float64(step))); b.nextRetry.Before(earliest) {
		b.nextRetry = earliest
	}
	first = b.nextRetry.Sub(now)
	b.nextRetry = b.nextRetry.Add(time.Duration(refused) * step)
	return first, step
}

// minRetryRate is the lowest rate of retries, in requests per second. It keeps retry times
// finite for a quota that allows no requests.
const minRetryRate = 0.1

// Decision says whether a request is admitted by its tenant's quota.
type Decision struct {
	Admitted bool
	// RetryAfter is the delay after which a refused request should be retried.
	RetryAfter time.Duration
}
