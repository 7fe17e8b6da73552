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
	Fingerprint fingerprintCommand `cmd:"" help:"Read a key from standard input and print its fingerprint for the table."`
	List        tenantListCommand  `cmd:"" help:"Print what tenants sent of late to all nodes, those that failed most first."`
}

type fingerprintCommand struct{}

// mostKey bounds a key that is read, in bytes.
const mostKey = 4096

// Run reads a line; a key among the arguments would stand in the shell's history.
func (c *fingerprintCommand) Run() error {
	line, err := bufio.NewReader(io.LimitReader(os.Stdin, mostKey)).ReadString('\n')
	key := strings.TrimRight(line, "\r\n")
	if err != nil && err != io.EOF {
		return eris.Wrap(err, "read the key")
	}
	if read, ok := tenant.Credential([][]byte{[]byte("Bearer " + key)}); !ok || string(read) != key {
		return eris.New("standard input has no key: one line without blanks and commas")
	}
	fmt.Println(tenant.FingerprintOf([]byte(key)))
	return nil
}

type tenantListCommand struct {
	Node string `arg:"" placeholder:"IP:PORT" help:"Admin address of any node; it asks the others."`
	Most int    `default:"20" help:"How many tenants to print."`
	JSON bool   `help:"Print JSON."`
}

// Run prints a line a tenant.
func (c *tenantListCommand) Run() error {
	report, err := query.GetTenants(c.Node)
	if err != nil || c.JSON {
		return printOr(err, report)
	}
	sort.SliceStable(report.Tenants, func(i, j int) bool { return failedShare(report.Tenants[i]) > failedShare(report.Tenants[j]) })
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TENANT\tKEYS\tREQUESTS\tABOVE QUOTA\tFAILED\tFAILED SHARE")
	for _, t := range report.Tenants[:min(c.Most, len(report.Tenants))] {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.1f%%\n", t.Name, t.Keys, t.Requests, t.OverQuota, t.Failed, 100*failedShare(t))
	}
	return closeReport(w, report)
}

func failedShare(t query.Tenant) float64 { return float64(t.Failed) / float64(max(t.Requests, 1)) }

type quotaCommand struct {
	Node  string `arg:"" placeholder:"IP:PORT" help:"Admin address of any node; it asks the others."`
	Most  int    `default:"20" help:"How many tenants to print."`
	Hosts int    `default:"3" help:"How many hosts to print of each, those with the most requests first."`
	JSON  bool   `help:"Print JSON."`
}

// Run prints who is nearest to its quota, over all nodes and by host.
func (c *quotaCommand) Run() error {
	report, err := query.GetTenants(c.Node)
	if err != nil || c.JSON {
		return printOr(err, report)
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
	return closeReport(w, report)
}

// busiestHosts names the hosts that took most of a tenant's requests.
func busiestHosts(t query.Tenant, most int) string {
	hosts := make([]string, 0, len(t.Hosts))
	for host := range t.Hosts {
		hosts = append(hosts, host)
	}
	sort.Slice(hosts, func(i, j int) bool {
		a, b := t.Hosts[hosts[i]], t.Hosts[hosts[j]]
		return a.Requests > b.Requests || (a.Requests == b.Requests && hosts[i] < hosts[j])
	})
	var parts []string
	for _, host := range hosts[:min(most, len(hosts))] {
		parts = append(parts, fmt.Sprintf("%s:%d", host, t.Hosts[host].Requests))
	}
	return strings.Join(parts, " ")
}

// printOr prints a report as JSON unless there is an error.
func printOr(err error, report query.Tenants) error {
	if err != nil {
		return err
	}
	return printJSON(report)
}

// closeReport ends a table and says of how many nodes it is.
func closeReport(w *tabwriter.Writer, report query.Tenants) error {
	if err := w.Flush(); err != nil {
		return eris.Wrap(err, "write the report")
	}
	fmt.Printf("\n%d nodes answered, the last %g s\n", report.Answered, report.Seconds)
	if len(report.Missing) > 0 {
		fmt.Printf("no answer from: %s\n", strings.Join(report.Missing, ", "))
	}
	return nil
}
