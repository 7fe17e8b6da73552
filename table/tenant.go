// SPDX-License-Identifier: MIT

package table

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/ryehaven/ryehaven/tenant"
)

// TenantsHeading is the line that begins the section of tenants. In a table with this
// section, every route that is not public requires a key.
const TenantsHeading = "[tenants]"

// Tenant is a customer that shares the services with others. It is identified by its
// keys.
type Tenant struct {
	Name string
	// Priority overrides the priority of the routes unless it is nil.
	Priority *Priority
	// Rate is how many requests a second the tenant may send to all nodes together, and
	// Burst how many at once. A Rate of 0 means that the tenant has no quota.
	Rate  int
	Burst int
	// Keys are the fingerprints of the tenant's keys.
	Keys []tenant.Fingerprint
	// Weight is the tenant's share of a busy server relative to other tenants: its Rate
	// divided by the mean of all rates, or 1 if it has none.
	Weight float64
}

// Limited reports whether the tenant has a quota.
func (t *Tenant) Limited() bool { return t != nil && t.Rate > 0 }

// RequiresKeys reports whether the table has a section of tenants, so that routes that
// are not public require keys.
func (t *Table) RequiresKeys() bool { return t != nil && t.requiresKeys }

// Tenants returns all tenants, sorted by name.
func (t *Table) Tenants() []Tenant {
	if t == nil {
		return nil
	}
	return t.tenants
}

// Tenant returns the tenant with a name, or nil.
func (t *Table) Tenant(name string) *Tenant {
	if t == nil {
		return nil
	}
	i := sort.Search(len(t.tenants), func(i int) bool { return t.tenants[i].Name >= name })
	if i == len(t.tenants) || t.tenants[i].Name != name {
		return nil
	}
	return &t.tenants[i]
}

// TenantByKey returns the tenant to which a key belongs, or nil.
func (t *Table) TenantByKey(key tenant.Fingerprint) *Tenant {
	if t == nil {
		return nil
	}
	return t.tenantByKey[key]
}

func (t *Table) setTenants(requiresKeys bool, tenants []Tenant) {
	sort.Slice(tenants, func(i, j int) bool { return tenants[i].Name < tenants[j].Name })
	t.requiresKeys, t.tenants = requiresKeys, tenants
	t.tenantByKey = map[tenant.Fingerprint]*Tenant{}
	mean := meanRate(tenants)
	for i := range tenants {
		tenants[i].Weight = 1
		if tenants[i].Limited() {
			tenants[i].Weight = float64(tenants[i].Rate) / mean
		}
		for _, key := range tenants[i].Keys {
			t.tenantByKey[key] = &tenants[i]
		}
	}
}

// meanRate returns the mean rate of the tenants that have one.
func meanRate(tenants []Tenant) float64 {
	sum, limited := 0, 0
	for i := range tenants {
		if tenants[i].Limited() {
			sum += tenants[i].Rate
			limited++
		}
	}
	return float64(sum) / float64(max(limited, 1))
}

// The columns of the tenants' section.
const (
	colTenant = "tenant"
	colRate   = "rate_per_s"
	colBurst  = "burst"
	colKeys   = "keys"
)

var tenantColumns = []string{colTenant, colPriority, colRate, colBurst, colKeys}

// maxRate is the maximum of a tenant's rate, in requests a second, and of its burst,
// in requests.
const maxRate = 10_000_000

// readTenants parses the tenants' section.
func (p *parser) readTenants(s section) []Tenant {
	names := map[string]int{}
	keys := map[tenant.Fingerprint]int{}
	var tenants []Tenant
	for _, r := range readSheet(&p.findings, s, tenantColumns).rows {
		next := p.readTenant(r)
		if first, ok := names[next.Name]; ok {
			p.findings.Add(r.line, r.cells[colTenant].column, "tenant %q is already in line %d", next.Name, first)
		}
		names[next.Name] = r.line
		for _, key := range next.Keys {
			if first, ok := keys[key]; ok {
				p.findings.Add(r.line, r.cells[colKeys].column, "keys: %s is already in line %d", key, first)
			}
			keys[key] = r.line
		}
		tenants = append(tenants, next)
	}
	return tenants
}

func (p *parser) readTenant(r row) Tenant {
	read := Tenant{Name: r.text(colTenant)}
	addFault := func(column string, err error) {
		if err != nil {
			p.findings.Add(r.line, r.cells[column].column, "%s: %v", column, err)
		}
	}
	if !validTenantName(read.Name) {
		p.findings.Add(r.line, r.cells[colTenant].column, "tenant: %q is blank, or has a space or a character that is not printable ASCII", read.Name)
	}
	if r.text(colPriority) != "" {
		var policy Policy
		addFault(colPriority, setPriority(&policy, r.text(colPriority)))
		read.Priority = &policy.Priority
	}
	if r.text(colRate) != "" {
		addFault(colRate, setInt(&read.Rate, r.text(colRate), 0, maxRate))
	}
	if r.text(colBurst) != "" {
		addFault(colBurst, setInt(&read.Burst, r.text(colBurst), 0, maxRate))
	}
	if read.Burst > 0 && read.Rate == 0 {
		p.findings.Add(r.line, r.cells[colBurst].column, "burst: must be blank without a rate_per_s")
	}
	for text := range strings.FieldsSeq(r.text(colKeys)) {
		key, err := tenant.ParseFingerprint(text)
		addFault(colKeys, err)
		read.Keys = append(read.Keys, key)
	}
	if len(read.Keys) == 0 {
		p.findings.Add(r.line, r.cells[colKeys].column, "keys: tenant %q has no keys", read.Name)
	}
	return read
}

// validTenantName reports whether a name can be the value of a header field.
func validTenantName(name string) bool {
	if name == "" {
		return false
	}
	for _, c := range []byte(name) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

// writeTenants writes the tenants' section if the table requires keys.
func (d Draft) writeTenants(b *bytes.Buffer, w *csv.Writer) {
	if !d.RequiresKeys {
		return
	}
	fmt.Fprintln(b, TenantsHeading)
	_ = w.Write(tenantColumns) // Writes to a bytes.Buffer don't fail.
	for _, t := range d.Tenants {
		priority := ""
		if t.Priority != nil {
			priority = t.Priority.String()
		}
		keys := make([]string, len(t.Keys))
		for i, key := range t.Keys {
			keys[i] = key.String()
		}
		_ = w.Write([]string{t.Name, priority, strconv.Itoa(t.Rate), strconv.Itoa(t.Burst), strings.Join(keys, " ")})
	}
	w.Flush()
}
