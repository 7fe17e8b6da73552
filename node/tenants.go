// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/ryehaven/ryehaven/entry"
	"github.com/ryehaven/ryehaven/query"
	"github.com/ryehaven/ryehaven/wire"
)

// topicTenants is the topic of queries for a node's counts of tenants' requests.
const topicTenants wire.Topic = "tenants"

// tenantCounts are the counts of one node by tenant.
type tenantCounts = map[string]entry.TenantCount

// gatherTenants adds up the counts of this node and of all nodes that reply.
func (n *Node) gatherTenants(now time.Time) query.Tenants {
	byHost := map[string]tenantCounts{n.settings.Host: n.entry.Tenants(now)}
	answered, missing := gather(n, topicTenants, func(host string, counts tenantCounts) { byHost[host] = counts })
	report := query.Tenants{Seconds: entry.TenantsWindow.Seconds(), Answered: answered, Missing: missing}
	current := n.holder.Current()
	if current == nil {
		return report
	}
	for _, t := range current.Table.Tenants() {
		one := query.Tenant{Name: t.Name, Rate: t.Rate, Burst: t.Burst, Keys: len(t.Keys), Hosts: map[string]query.TenantCounts{}}
		for host, counts := range byHost {
			c, ok := counts[t.Name]
			if !ok {
				continue
			}
			one.Hosts[host] = query.TenantCounts(c)
			one.Requests += c.Requests
			one.OverQuota += c.OverQuota
			one.Failed += c.Failed
		}
		if t.Rate > 0 {
			one.Used = float64(one.Requests-one.OverQuota) / report.Seconds / float64(t.Rate)
		}
		report.Tenants = append(report.Tenants, one)
	}
	return report
}
