// SPDX-License-Identifier: MIT

// Package quota keeps tenants' quotas over all nodes together.
//
// Each availability zone has a part of each quota, by its hosts. One node of the zone
// keeps that part, as a tenant.Ledger: the first by rendezvous hashing of the tenant's
// name. A node asks it for each request of the tenant, with one question for all that
// wait at the moment; a keeper that has nothing left asks those of the other zones.
//
// Nothing is kept elsewhere. If a keeper can't be reached, nodes ask those of other zones,
// and after a window the next node of the zone starts a new ledger with little in it. If
// zones can't reach each other, each goes on with its part; so the sum stays below the
// bound whoever can reach whom. A node that reaches no keeper has a small part of what the
// bound allows beyond the quota.
package quota
