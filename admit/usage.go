// SPDX-License-Identifier: MIT

package admit

import (
	"math"
	"time"
)

// A tenant that suddenly sends many times its usual requests would fill the queue of a busy server
// and leave no room for other tenants. Requests are therefore dispatched by what each tenant has
// recently used of the server relative to its weight, lowest first. This is weighted fair queueing
// (Demers, Keshav and Shenker 1989) with an exponentially decaying count in place of virtual time.
// If the queue is full, or the wait would be too long, requests of the tenant with the highest
// usage are refused.

const (
	// usageDecayTime is the time in which a tenant's usage decays to 1/e.
	usageDecayTime = time.Second
	// minUsage is the usage below which a tenant is forgotten.
	minUsage = 0.01
	// evictionMargin is by how much a tenant's weighted usage must exceed that of another tenant
	// for its request to be evicted in favor of the other's. It is counted in requests of a
	// tenant of weight 1, the mean weight.
	evictionMargin = 1
)

// tenantUsage counts what tenants have recently used of a server. The zero value is empty.
type tenantUsage struct {
	byTenant  map[string]float64
	decayedAt time.Time
}

// add counts a dispatched ticket.
func (u *tenantUsage) add(now time.Time, t *Ticket) {
	if t.Tenant == "" {
		return
	}
	u.decay(now)
	if u.byTenant == nil {
		u.byTenant = map[string]float64{}
	}
	weight := t.Weight
	if weight <= 0 {
		weight = 1
	}
	u.byTenant[t.Tenant] += 1 / weight
}

// current returns the weighted usage of the ticket's tenant, decayed up to now.
func (u *tenantUsage) current(now time.Time, t *Ticket) float64 {
	if t.Tenant == "" {
		return 0
	}
	u.decay(now)
	return u.byTenant[t.Tenant]
}

// lastKnown returns the weighted usage of the ticket's tenant as of the last decay.
func (u *tenantUsage) lastKnown(t *Ticket) float64 { return u.byTenant[t.Tenant] }

// decayInterval is how often counts decay. A shorter interval would not change the order of tenants.
const decayInterval = 20 * time.Millisecond

func (u *tenantUsage) decay(now time.Time) {
	passed := now.Sub(u.decayedAt)
	if passed < decayInterval {
		return
	}
	u.decayedAt = now
	factor := decayFactor(passed, usageDecayTime)
	for tenant, used := range u.byTenant {
		if used *= factor; used < minUsage {
			delete(u.byTenant, tenant)
			continue
		}
		u.byTenant[tenant] = used
	}
}

// decayFactor is the part of an exponentially decaying count that is left after some time.
func decayFactor(passed, timeConstant time.Duration) float64 {
	return math.Exp(-passed.Seconds() / timeConstant.Seconds())
}
