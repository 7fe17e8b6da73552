// SPDX-License-Identifier: MIT

// Package tenant tells whose requests callers send, by their keys, and how many of
// them a tenant may send.
//
// # Keys
//
// A key is kept, compared and passed between nodes as its [Fingerprint] only, so that no
// table, log line or report can show one. [Credential] reads a request's Authorization
// fields; what is not exactly one bearer key names nobody.
//
// # Quotas
//
// A quota holds over all nodes together, and no node that may be lost has all of it. Each
// tenant has a [Ledger] at one node, which rendezvous hashing of the tenant's name among
// the nodes in reach names; it hands out leases of a few requests each, from one token
// bucket. A node pays for each request from its lease ([Purse]) and asks for more before
// it has none. See docs/design/quotas.md for the bound that this keeps.
package tenant
