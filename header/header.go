// SPDX-License-Identifier: MIT

// Package header names the HTTP header fields that callers, backend servers
// and nodes say things in, and knows which fields end at each hop.
//
// docs/CALLERS.md and docs/BACKENDS.md describe them for their readers.
package header

import (
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/wire"
)

// Fields of a request, set by the caller.
const (
	// Deadline is the caller's budget in milliseconds, counted from when the
	// node reads the request. Towards a backend server it is what is left.
	Deadline = "Ryehaven-Deadline-Ms"
	// Repeatable is "yes" when the request may run twice, "no" when not.
	Repeatable = "Ryehaven-Repeatable"
	// Priority is "urgent", "normal" or "bulk".
	Priority = "Ryehaven-Priority"
)

// Fields of an answer, set by the node.
const (
	// Outcome is "not-run" or "unknown" in answers of a node itself.
	Outcome = "Ryehaven-Outcome"
	// RetryAfterMs is Retry-After in milliseconds.
	RetryAfterMs = "Ryehaven-Retry-After-Ms"
	// Retry is "no" when the failure was retried where it happened.
	Retry = "Ryehaven-Retry"
	// Server names the backend server that gave the answer.
	Server = "Ryehaven-Server"
	// Attempts is the number of attempts, when there were several.
	Attempts = "Ryehaven-Attempts"
	// ProxyStatus is RFC 9209's field.
	ProxyStatus = "Proxy-Status"
)

// Values of the fields above.
const (
	Yes     = "yes"
	No      = "no"
	NotRun  = "not-run"
	Unknown = "unknown"
)

// prefix begins every field of this system; a caller's other fields with it
// are stripped.
const prefix = "ryehaven-"

// hopByHop are the fields that RFC 9110 section 7.6.1 ends at each hop, and
// those that the codec writes itself.
var hopByHop = map[string]bool{
	"connection":          true,
	"keep-alive":          true,
	"proxy-connection":    true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"upgrade":             true,
	"content-length":      true,
	"expect":              true,
}

// fields collects what is passed on of a message. named is the message's
// Connection field, whose listed fields end here too.
func fields(all func(func(name, value []byte) bool), named string, ours []string) []wire.Field {
	passed := make([]wire.Field, 0, 8)
	for name, value := range all {
		// Some servers read an underscore as a hyphen.
		lower := strings.ReplaceAll(strings.ToLower(string(name)), "_", "-")
		if hopByHop[lower] || strings.HasPrefix(lower, prefix) || listed(named, lower) || slices.Contains(ours, lower) {
			continue
		}
		passed = append(passed, wire.Field{Name: string(name), Value: string(value)})
	}
	return passed
}

func listed(named, lower string) bool {
	if named == "" {
		return false
	}
	for option := range strings.SplitSeq(named, ",") {
		if strings.EqualFold(strings.TrimSpace(option), lower) {
			return true
		}
	}
	return false
}

// FromRequest returns the fields of a caller's request that are passed on.
func (d *Dialect) FromRequest(h *fasthttp.RequestHeader) []wire.Field {
	return fields(h.All(), string(h.Peek("Connection")), d.requestFields())
}

// FromResponse returns the fields of a server's answer that are passed on.
func (d *Dialect) FromResponse(h *fasthttp.ResponseHeader) []wire.Field {
	return fields(h.All(), string(h.Peek("Connection")), d.answerFields())
}
