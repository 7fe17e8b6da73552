// SPDX-License-Identifier: MIT

package entry

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/table"
)

// TenantsWindow is the period over which tenants' requests are counted, in whole seconds.
const TenantsWindow = 10 * time.Second

// TenantCount counts a tenant's requests at an entry.
type TenantCount struct {
	// Requests counts all requests, OverQuota those refused because the tenant was above
	// its quota, and Failed other requests that no server answered or that a server
	// answered with an error.
	Requests, OverQuota, Failed int
}

func (c *TenantCount) add(other TenantCount) {
	c.Requests += other.Requests
	c.OverQuota += other.OverQuota
	c.Failed += other.Failed
}

// tenantMeter counts requests per second. The zero value is empty.
type tenantMeter struct {
	seconds [TenantsWindow / time.Second]TenantCount
	last    int64
}

// at returns the count of a second and clears those that are too old.
func (m *tenantMeter) at(second int64) *TenantCount {
	length := int64(len(m.seconds))
	for s := max(m.last+1, second-length+1); s <= second; s++ {
		m.seconds[s%length] = TenantCount{}
	}
	m.last = max(m.last, second)
	return &m.seconds[second%length]
}

// tenantMeters counts requests per tenant. The zero value is empty.
type tenantMeters struct {
	mu     sync.Mutex
	meters map[string]*tenantMeter
	// since is when the first request was counted: seconds are numbered from then, by the
	// monotonic clock.
	since time.Time
}

// second returns the number of the second in which a time lies. The lock must be held.
func (t *tenantMeters) second(now time.Time) int64 {
	if t.since.IsZero() {
		t.since = now
	}
	return int64(now.Sub(t.since) / time.Second)
}

// count counts a request by the status of its answer, which came from a server or from
// the node.
func (t *tenantMeters) count(now time.Time, holder *table.Tenant, status int) {
	if holder == nil {
		return
	}
	c := TenantCount{Requests: 1}
	switch {
	case status == fasthttp.StatusTooManyRequests:
		c.OverQuota = 1
	case status >= fasthttp.StatusInternalServerError:
		c.Failed = 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.meters[holder.Name]
	if m == nil {
		if t.meters == nil {
			t.meters = map[string]*tenantMeter{}
		}
		m = &tenantMeter{}
		t.meters[holder.Name] = m
	}
	m.at(t.second(now)).add(c)
}

// prune drops the tenants that a table does not have.
func (t *tenantMeters) prune(current *table.Table) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.meters {
		if current.Tenant(name) == nil {
			delete(t.meters, name)
		}
	}
}

// Tenants returns the counts over the last TenantsWindow of every tenant that had
// requests.
func (e *Entry) Tenants(now time.Time) map[string]TenantCount {
	t := &e.tenants
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[string]TenantCount{}
	for name, m := range t.meters {
		m.at(t.second(now))
		var sum TenantCount
		for _, c := range m.seconds {
			sum.add(c)
		}
		if sum.Requests > 0 {
			counts[name] = sum
		}
	}
	return counts
}
