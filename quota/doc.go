// SPDX-License-Identifier: MIT

// Package quota enforces tenants' rate quotas across all nodes together.
//
// Each availability zone has a share of each quota, in proportion to its hosts. For each
// tenant, one node of the zone owns that share as a token bucket (tenant.Bucket); the owner
// is chosen by rendezvous hashing of the tenant's name. The other nodes query the owner for
// tokens, with one query for all requests of the tenant that wait at that time. An owner
// whose bucket has too few tokens borrows from the owners in the other zones.
//
// Buckets are not replicated. If an owner can't be reached, nodes query the owners in other
// zones, and after one window the zone's next node by the hash takes over with a new bucket
// that holds few tokens. If zones can't reach each other, each continues with its share, so
// the total stays below the bound under any network partition. A node that can reach no
// owner admits requests from a fallback bucket: a small part of what the bound allows beyond
// the quota.
package quota
