// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/quota"
	"github.com/ryehaven/ryehaven/tenant"
)

func (n *Node) quotaSettings() quota.Settings {
	quotas := n.settings.Quotas
	return quota.Settings{
		Tolerance: tenant.Tolerance{Window: quotas.Window, Overshoot: quotas.Overshoot, Slack: quotas.Slack},
		Ask:       n.askQuota,
		WithView:  func(f func(v *member.View)) { n.spread.View(f) },
		QuotaOf:   n.quotaOf,
		Started:   n.started,
		Isolated:  func(now time.Time) bool { return n.spread.Isolated(now) },
	}
}

// askQuota queries another node for tokens of a tenant's quota.
func (n *Node) askQuota(address string, payload []byte, limit time.Duration) ([]byte, error) {
	conn, err := n.dialer.Get(address, limit)
	if err != nil {
		return nil, err
	}
	return conn.Ask(quota.Topic, payload, limit)
}

// quotaOf returns a tenant's quota from the table in force; ok is false if it has none.
func (n *Node) quotaOf(name string) (tenant.Quota, bool) {
	current := n.holder.Current()
	if current == nil {
		return tenant.Quota{}, false
	}
	t := current.Table.Tenant(name)
	if !t.Limited() {
		return tenant.Quota{}, false
	}
	return tenant.Quota{Rate: float64(t.Rate), Burst: float64(t.Burst)}, true
}

// tenantWeight returns the weight by which a tenant shares a busy server with others, from
// the table in force.
func (n *Node) tenantWeight(name string) float64 {
	if current := n.holder.Current(); current != nil {
		if t := current.Table.Tenant(name); t != nil {
			return t.Weight
		}
	}
	return 1
}
