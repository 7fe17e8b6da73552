// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/query"
	"github.com/ryehaven/ryehaven/tenant"
)

type tenantCommand struct {
	Fingerprint fingerprintCommand `cmd:"" help:"Read a key from standard input and print its fingerprint, as it is written in the table."`
	List        tenantListCommand  `cmd:"" help:"Print the tenants' recent requests at all nodes, those with the highest share of failures first."`
}

type fingerprintCommand struct{}

// maxKeyBytes bounds what is read from standard input.
const maxKeyBytes = 4096

// Run reads the key from standard input, since a key among the arguments would be
// kept in the shell's history.
func (c *fingerprintCommand) Run() error {
	line, err := bufio.NewReader(io.LimitReader(os.Stdin, maxKeyBytes)).ReadString('\n')
	key := strings.TrimRight(line, "\r\n")
	if err != nil && err != io.EOF {
		return eris.Wrap(err, "read the key")
	}
	if read, ok := tenant.Credential([][]byte{[]byte("Bearer " + key)}); !ok || string(read) != key {
		return eris.New("standard input holds no valid key: a key is one line without spaces and commas")
	}
	fmt.Println(tenant.FingerprintOf([]byte(key)))
	return nil
}

type tenantListCommand struct {
	Node string `arg:"" placeholder:"IP:PORT" help:"Admin address of any node; it collects the counts of the others."`
	Most int    `default:"20" help:"How many tenants to print."`
	JSON bool   `help:"Print JSON."`
}

// Run prints one line per tenant.
func (c *tenantListCommand) Run() error {
	report, err := query.GetTenants(c.Node)
	if err != nil || c.JSON {
		return printTenantsJSON(err, report)
	}
	sort.SliceStable(report.Tenants, func(i, j int) bool { return failedShare(report.Tenants[i]) > failedShare(report.Tenants[j]) })
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TENANT\tKEYS\tREQUESTS\tABOVE QUOTA\tFAILED\tFAILED SHARE")
	for _, t := range report.Tenants[:min(c.Most, len(report.Tenants))] {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.1f%%\n", t.Name, t.Keys, t.Requests, t.OverQuota, t.Failed, 100*failedShare(t))
	}
	return finishReport(w, report)
}

func failedShare(t query.Tenant) float64 { return float64(t.Failed) / float64(max(t.Requests, 1)) }

type quotaCommand struct {
	Node  string `arg:"" placeholder:"IP:PORT" help:"Admin address of any node; it collects the counts of the others."`
	Most  int    `default:"20" help:"How many tenants to print."`
	Hosts int    `default:"3" help:"How many hosts to print for each tenant, those with the most requests first."`
	JSON  bool   `help:"Print JSON."`
}

// Run prints the tenants that are closest to their quotas, over all nodes and by host.
func (c *quotaCommand) Run() error {
	report, err := query.GetTenants(c.Node)
	if err != nil || c.JSON {
		return printTenantsJSON(err, report)
	}
	sort.SliceStable(report.Tenants, func(i, j int) bool { return report.Tenants[i].Used > report.Tenants[j].Used })
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TENANT\tQUOTA/S\tBURST\tUSED\tREQUESTS/S\tABOVE QUOTA/S\tHOSTS")
	printed := 0
	for _, t := range report.Tenants {
		if t.Rate == 0 || printed == c.Most {
			continue
		}
		printed++
		fmt.Fprintf(w, "%s\t%d\t%d\t%.0f%%\t%.1f\t%.1f\t%s\n", t.Name, t.Rate, t.Burst, 100*t.Used,
			float64(t.Requests)/report.Seconds, float64(t.OverQuota)/report.Seconds, busiestHosts(t, c.Hosts))
	}
	return finishReport(w, report)
}

// busiestHosts returns the hosts that received most of a tenant's requests, with the
// number of requests of each.
func busiestHosts(t query.Tenant, limit int) string {
	hosts := make([]string, 0, len(t.Hosts))
	for host := range t.Hosts {
		hosts = append(hosts, host)
	}
	sort.Slice(hosts, func(i, j int) bool {
		a, b := t.Hosts[hosts[i]], t.Hosts[hosts[j]]
		return a.Requests > b.Requests || (a.Requests == b.Requests && hosts[i] < hosts[j])
	})
	var parts []string
	for _, host := range hosts[:min(limit, len(hosts))] {
		parts = append(parts, fmt.Sprintf("%s:%d", host, t.Hosts[host].Requests))
	}
	return strings.Join(parts, " ")
}

// printTenantsJSON prints a report as JSON, unless err is set: then it returns err.
func printTenantsJSON(err error, report query.Tenants) error {
	if err != nil {
		return err
	}
	return printJSON(report)
}

// finishReport flushes the table and prints which nodes and how much time it covers.
func finishReport(w *tabwriter.Writer, report query.Tenants) error {
	if err := w.Flush(); err != nil {
		return eris.Wrap(err, "write the report")
	}
	fmt.Printf("\n%d nodes answered; requests of the last %g s\n", report.Answered, report.Seconds)
	if len(report.Missing) > 0 {
		fmt.Printf("no answer from: %s\n", strings.Join(report.Missing, ", "))
	}
	return nil
}
