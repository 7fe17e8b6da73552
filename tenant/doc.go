// SPDX-License-Identifier: MIT

// Package tenant identifies tenants by the keys in their requests and limits how many
// requests each of them may send.
//
// # Keys
//
// Nodes store, compare and exchange a key only as its [Fingerprint], so that no table, log
// line or report can disclose a key. [Credential] reads the key from a request's
// Authorization fields. Anything but exactly one bearer key identifies no tenant.
//
// # Quotas
//
// A quota applies to all nodes together, and no single node holds all of it, since a node
// may be lost. It is split over the availability zones in proportion to their hosts. Each
// part is a [Bucket], a token bucket that one node of the zone owns; package quota finds
// that node and queries it for tokens. See docs/design/quotas.md for the bound that this keeps.
package tenant
