// SPDX-License-Identifier: MIT

// Package metric describes the metrics of a node, with names and units, and renders them
// in the format of package expvar.
//
// Values are read only when the metrics are rendered, so that counting an event costs no
// more than an atomic addition. docs/METRICS.md is generated from the same list.
package metric

import (
	"expvar"
	"fmt"
	"strings"
	"sync/atomic"
)

// Metric is one value that a node exports.
type Metric struct {
	Name string
	// Unit of the value, such as requests, bytes or microseconds.
	Unit string
	// Meaning is a one-line description for operators.
	Meaning string
	// Value returns the current value.
	Value func() int64
}

// Count returns a metric whose value is a counter's.
func Count(name, unit, meaning string, counter *atomic.Int64) Metric {
	return Metric{Name: name, Unit: unit, Meaning: meaning, Value: counter.Load}
}

// Set is the list of metrics of one node.
type Set []Metric

// Map returns the set as an expvar.Map, which reads the values when it is rendered.
func (s Set) Map() *expvar.Map {
	m := new(expvar.Map)
	for _, metric := range s {
		m.Set(metric.Name, expvar.Func(func() any { return metric.Value() }))
	}
	return m
}

// Render returns the JSON object that the HTTP handler of package expvar would serve, with
// all published variables of the process, if the map were published under the name.
func Render(name string, m *expvar.Map) string {
	var b strings.Builder
	fmt.Fprintf(&b, "{\n%q: %s", name, m.String())
	expvar.Do(func(kv expvar.KeyValue) {
		fmt.Fprintf(&b, ",\n%q: %s", kv.Key, kv.Value)
	})
	b.WriteString("\n}\n")
	return b.String()
}
