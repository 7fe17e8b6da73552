// SPDX-License-Identifier: MIT

package table

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// The names of the columns that identify a row, and of the policy columns that are
// used in more than one place. The other columns are those of policyColumns.
const (
	colConnections = "connections"
	colDiscovery   = "discovery"
	colHealthPath  = "health_path"
	colColdTime    = "cold_ms"
	colColdRate    = "cold_per_s"

	colService = "service"
	colServer  = "server"
	colHost    = "host"
	colZone    = "zone"
	colAddress = "address"
	colState   = "state"
)

// ServiceRow is the cell of the server column in a service's row.
const ServiceRow = "*"

// policyColumn parses the cells of one column into a policy.
type policyColumn struct {
	name string
	set  func(p *Policy, cell string) error
}

var policyColumns = []policyColumn{
	{"weight", func(p *Policy, c string) error { return setFloat(&p.Weight, c, 0.01, 100) }},
	{"slots", func(p *Policy, c string) error { return setInt(&p.Slots, c, 1, 100_000) }},
	{colConnections, func(p *Policy, c string) error { return setInt(&p.Connections, c, 1, 100_000) }},
	{"queue", func(p *Policy, c string) error { return setInt(&p.Queue, c, 0, 100_000) }},
	{"deadline_ms", func(p *Policy, c string) error { return setMillis(&p.Deadline, c, 1, 3_600_000) }},
	{"priority", setPriority},
	{"repeatable", setRepeatable},
	{"retry_percent", func(p *Policy, c string) error { return setPercent(&p.RetryShare, c, 0, 100) }},
	{"measure_per_s", func(p *Policy, c string) error { return setFloat(&p.ProbeRate, c, 0, 1000) }},
	{"shed_not_run", setShedNotRun},
	{"objective_ms", func(p *Policy, c string) error { return setMillis(&p.ObjectiveLatency, c, 1, 3_600_000) }},
	{"objective_percent", func(p *Policy, c string) error { return setPercent(&p.ObjectiveShare, c, 1, 99.9999) }},
	{colDiscovery, setDiscovery},
	{colHealthPath, setHealthPath},
	{colColdTime, func(p *Policy, c string) error { return setMillis(&p.ColdTime, c, 0, 3_600_000) }},
	{colColdRate, func(p *Policy, c string) error { return setFloat(&p.ColdPerSecond, c, 0, 1e6) }},
}

func setFloat(to *float64, cell string, low, high float64) error {
	v, err := strconv.ParseFloat(cell, 64)
	if err != nil || !(v >= low && v <= high) {
		return fmt.Errorf("%q is not a number from %g to %g", cell, low, high)
	}
	*to = v
	return nil
}

func setInt(to *int, cell string, low, high int) error {
	v, err := strconv.Atoi(cell)
	if err != nil || v < low || v > high {
		return fmt.Errorf("%q is not a whole number from %d to %d", cell, low, high)
	}
	*to = v
	return nil
}

func setMillis(to *time.Duration, cell string, low, high float64) error {
	var ms float64
	if err := setFloat(&ms, cell, low, high); err != nil {
		return err
	}
	*to = time.Duration(ms * float64(time.Millisecond))
	return nil
}

func setPercent(to *float64, cell string, low, high float64) error {
	var percent float64
	if err := setFloat(&percent, cell, low, high); err != nil {
		return err
	}
	*to = percent / 100
	return nil
}

func setPriority(p *Policy, cell string) error {
	priority, ok := ParsePriority(cell)
	if !ok {
		return fmt.Errorf("%q is not a priority: %s", cell, strings.Join(priorityNames[:], ", "))
	}
	p.Priority = priority
	return nil
}

func setRepeatable(p *Policy, cell string) error {
	switch rule := RepeatableRule(cell); rule {
	case ByMethod, SafeOnly, Never:
		p.Repeatable = rule
		return nil
	}
	return fmt.Errorf("%q is not a rule: %s, %s, %s", cell, ByMethod, SafeOnly, Never)
}

func setShedNotRun(p *Policy, cell string) error {
	return setYesNo(&p.ShedNotRun, cell)
}

func setYesNo(to *bool, cell string) error {
	switch cell {
	case "yes":
		*to = true
	case "no":
		*to = false
	default:
		return fmt.Errorf("%q is neither yes nor no", cell)
	}
	return nil
}

func setDiscovery(p *Policy, cell string) error {
	switch d := Discovery(cell); d {
	case Listed, Announced:
		p.Discovery = d
		return nil
	}
	return fmt.Errorf("%q is neither %s nor %s", cell, Listed, Announced)
}

func setHealthPath(p *Policy, cell string) error {
	if !strings.HasPrefix(cell, "/") {
		return fmt.Errorf("%q does not begin with a slash", cell)
	}
	p.HealthPath = cell
	return nil
}

// cutLast is strings.Cut at the last separator.
func cutLast(text, separator string) (before, after string, found bool) {
	at := strings.LastIndex(text, separator)
	if at < 0 {
		return text, "", false
	}
	return text[:at], text[at+len(separator):], true
}

func checkAddress(cell string) error {
	host, port, found := cutLast(cell, ":")
	_, err := netip.ParseAddr(strings.Trim(host, "[]"))
	if !found || err != nil {
		return fmt.Errorf("%q is not an IP address with a port, such as 127.0.0.1:9101", cell)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return fmt.Errorf("%q has no port from 1 to 65535", cell)
	}
	return nil
}
