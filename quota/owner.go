// SPDX-License-Identifier: MIT

package quota

import (
	"time"

	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/tenant"
)

// lockedBucket returns the bucket that this node owns for a tenant, with its lock held.
func (l *Limiter) lockedBucket(m *query) *ownedBucket {
	now := time.Now()
	quota, ok := l.settings.QuotaOf(m.Tenant)
	if !ok {
		quota = tenant.Quota{Rate: float64(m.Rate), Burst: float64(m.Burst)}
	}
	share := l.zoneShare()
	since := l.ownersSince(now)
	l.mu.Lock()
	b := l.buckets[m.Tenant]
	if b == nil {
		b = &ownedBucket{backoffs: backoffs{}, inactive: true}
		l.buckets[m.Tenant] = b
	}
	b.used = now
	activate := b.inactive
	b.inactive = false
	l.mu.Unlock()
	b.mu.Lock()
	if activate {
		b.activate(now, since, quota, l.settings.Tolerance, share)
	}
	b.Configure(now, quota, l.settings.Tolerance, share)
	return b
}

// activate starts a new bucket when this node takes it over from another node or after its
// own restart. The bucket fills from since, the time from which this node has been the
// owner. It gets initial tokens on top of that only once per window, however often the
// ownership changes. It is called with the bucket's lock held.
func (b *ownedBucket) activate(now, since time.Time, quota tenant.Quota, tolerance tenant.Tolerance, share float64) {
	b.Bucket = tenant.NewBucket(since, quota, tolerance, share)
	if now.Sub(b.activated) <= tolerance.Window {
		b.Clear(since)
		return
	}
	b.activated = now
}

// ownersSince returns the time since which the set of possible owners in this node's zone
// has not changed and the node's current process has been one of them.
func (l *Limiter) ownersSince(now time.Time) time.Time {
	var sum uint64
	l.settings.WithView(func(v *member.View) { sum = v.OwnersHash(now, v.Self().Zone, l.settings.Tolerance.Window) })
	l.mu.Lock()
	defer l.mu.Unlock()
	if sum != l.ownersHash {
		l.ownersHash, l.ownersChanged = sum, now
	}
	if l.ownersChanged.Before(l.settings.Started) {
		return l.settings.Started
	}
	return l.ownersChanged
}

// zoneShare returns the share of each quota, from 0 to 1, that this node's zone has.
func (l *Limiter) zoneShare() (share float64) {
	l.settings.WithView(func(v *member.View) {
		zones, all := v.Zones(), 0
		for _, hosts := range zones {
			all += hosts
		}
		share = float64(zones[v.Self().Zone]) / float64(max(all, 1))
	})
	return share
}

// admit takes tokens from the bucket that this node owns and, if it has too few, borrows
// from the owners in other zones.
func (l *Limiter) admit(m *query) reply {
	b := l.lockedBucket(m)
	granted := b.TakeWithReserve(time.Now(), m.Want, m.Yielding)
	if granted == m.Want || b.borrowing {
		defer b.mu.Unlock()
		return replyFrom(time.Now(), b.Bucket, m, granted)
	}
	b.borrowing = true
	b.mu.Unlock()
	granted += l.borrow(b.backoffs, m, granted)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.borrowing = false
	return replyFrom(time.Now(), b.Bucket, m, granted)
}

// backoffs maps the owners in other zones, and the owner in the own zone, to the time until
// which each is not queried again.
type backoffs map[backoffKey]time.Time

// backoffKey identifies the owner in a zone. A backoff with yieldingOnly applies only to
// queries in which all requests are yielding: the owner may refuse these and still have
// tokens for others.
type backoffKey struct {
	zone         string
	yieldingOnly bool
}

func (b backoffs) active(now time.Time, zone string, yieldingOnly bool) bool {
	return now.Before(b[backoffKey{zone, false}]) || (yieldingOnly && now.Before(b[backoffKey{zone, true}]))
}

func (b backoffs) start(zone string, yieldingOnly bool) {
	b[backoffKey{zone, yieldingOnly}] = time.Now().Add(ownerBackoff)
}

// borrow requests from the owners in other zones the tokens that a query needs beyond those
// granted before, and returns how many it got.
func (l *Limiter) borrow(b backoffs, m *query, before int) (granted int) {
	now := time.Now()
	left := m.remaining(before)
	var owners []member.Record
	l.settings.WithView(func(v *member.View) {
		own := v.Self().Zone
		for zone := range v.Zones() {
			if zone == own || b.active(now, zone, left.onTime() == 0) {
				continue
			}
			if owner, ok := v.Owner(now, zone, m.Tenant, l.settings.Tolerance.Window); ok {
				owners = append(owners, owner)
			}
		}
	})
	for _, owner := range owners {
		next := m.remaining(before + granted)
		if next.Want == 0 {
			break
		}
		next.Purpose = lend
		r, err := l.queryOwner(owner, &next, lendTimeout)
		if err != nil || r.Granted < next.Want {
			b.start(owner.Zone, err == nil && r.Granted >= next.onTime())
		}
		granted += r.Granted
	}
	l.Counters.Lent.Add(int64(granted))
	return granted
}

// lend takes tokens from the bucket that this node owns for a query of another zone.
func (l *Limiter) lend(m *query) reply {
	b := l.lockedBucket(m)
	defer b.mu.Unlock()
	return reply{Granted: b.TakeWithReserve(time.Now(), m.Want, m.Yielding)}
}

// Tick deactivates the buckets that another node owns now, since the tokens that they would
// collect are spent there, and deletes idle buckets and queues. It may be called often.
func (l *Limiter) Tick(now time.Time) {
	l.mu.Lock()
	if now.Sub(l.lastTick) < tickInterval {
		l.mu.Unlock()
		return
	}
	l.lastTick = now
	names := make([]string, 0, len(l.buckets))
	for name := range l.buckets {
		names = append(names, name)
	}
	l.mu.Unlock()
	l.ownersSince(now)
	var others []string
	l.settings.WithView(func(v *member.View) {
		self := v.Self()
		for _, name := range names {
			if owner, ok := v.Owner(now, self.Zone, name, l.settings.Tolerance.Window); ok && owner.Host != self.Host {
				others = append(others, name)
			}
		}
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range others {
		l.buckets[name].inactive = true
	}
	for name, b := range l.buckets {
		if now.Sub(b.used) > idleRetention {
			delete(l.buckets, name)
		}
	}
	for name, queue := range l.queues {
		if !queue.querying && now.Sub(queue.used) > idleRetention {
			delete(l.queues, name)
		}
	}
}
