// SPDX-License-Identifier: MIT

// Package metric names what a node counts, with units, and serves it the way
// package expvar does.
//
// Values are read when asked for, so counting costs an atomic addition where
// the event happens and nothing else. docs/METRICS.md is made from the same
// list.
package metric

import (
	"expvar"
	"fmt"
	"strings"
	"sync/atomic"
)

// Metric is one value of a node.
type Metric struct {
	Name string
	// Unit is that of the value, such as requests, bytes or microseconds.
	Unit    string
	Meaning string
	Value   func() int64
}

// Count returns a metric of a counter.
func Count(name, unit, meaning string, counter *atomic.Int64) Metric {
	return Metric{Name: name, Unit: unit, Meaning: meaning, Value: counter.Load}
}

// Set is the metrics of one node.
type Set []Metric

// Map returns the set as an expvar.Map that reads the values when rendered.
func (s Set) Map() *expvar.Map {
	m := new(expvar.Map)
	for _, metric := range s {
		m.Set(metric.Name, expvar.Func(func() any { return metric.Value() }))
	}
	return m
}

// Render returns every published variable of the process and the map under a
// name, as the JSON object that expvar's own handler serves.
func Render(name string, m *expvar.Map) string {
	var b strings.Builder
	fmt.Fprintf(&b, "{\n%q: %s", name, m.String())
	expvar.Do(func(kv expvar.KeyValue) {
		fmt.Fprintf(&b, ",\n%q: %s", kv.Key, kv.Value)
	})
	b.WriteString("\n}\n")
	return b.String()
}
