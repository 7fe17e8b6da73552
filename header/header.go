// SPDX-License-Identifier: MIT

// Package header defines the HTTP header fields that callers, backend servers and nodes
// exchange, and which fields a node does not forward.
//
// docs/CALLERS.md describes the fields for callers, docs/BACKENDS.md for backend servers.
package header

import (
	"bufio"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/wire"
)

// Fields of a request, set by the caller.
const (
	// Deadline is the time in milliseconds within which the caller needs the response,
	// counted from when the node reads the request. In a request to a backend server it is
	// the remaining time.
	Deadline = "Ryehaven-Deadline-Ms"
	// Repeatable is "yes" if the request may run twice, "no" if not.
	Repeatable = "Ryehaven-Repeatable"
	// Priority is "urgent", "normal" or "bulk".
	Priority = "Ryehaven-Priority"
)

// Fields of a response, set by the node.
const (
	// Outcome is "not-run" or "unknown" in responses that the node generates itself. It says
	// whether the request may have run.
	Outcome = "Ryehaven-Outcome"
	// RetryAfterMs is Retry-After in milliseconds.
	RetryAfterMs = "Ryehaven-Retry-After-Ms"
	// Retry is "no" if the request should not be retried at once: it was already retried
	// where it failed, or another attempt would be refused as well.
	Retry = "Ryehaven-Retry"
	// Server is the name of the backend server that answered.
	Server = "Ryehaven-Server"
	// Attempts is the number of attempts if there were several.
	Attempts = "Ryehaven-Attempts"
	// ProxyStatus is defined by RFC 9209.
	ProxyStatus = "Proxy-Status"
)

// ServerSoftware is the value of the Server field in responses that the node generates itself.
const ServerSoftware = "ryehaven"

// Values of the fields above.
const (
	Yes     = "yes"
	No      = "no"
	NotRun  = "not-run"
	Unknown = "unknown"
)

// prefix is the prefix of all fields above that are specific to this system, in lower case.
// Nodes never forward a field with this prefix.
const prefix = "ryehaven-"

// hopByHop are the fields that are not forwarded by RFC 9110 section 7.6.1, and those that
// the codec writes itself.
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

// forwarded returns the fields of a message that are forwarded: not those that end at each hop,
// nor those that the message's Connection fields list, nor own.
func forwarded(received []wire.Field, own []string) []wire.Field {
	connection := connectionOptions(received)
	kept := make([]wire.Field, 0, len(received))
	for _, f := range received {
		// Some servers treat an underscore as a hyphen, so that it must not hide a field.
		lower := strings.ReplaceAll(strings.ToLower(f.Name), "_", "-")
		if hopByHop[lower] || strings.HasPrefix(lower, prefix) || slices.Contains(connection, lower) || slices.Contains(own, lower) {
			continue
		}
		kept = append(kept, f)
	}
	return kept
}

// connectionOptions returns the options of a message's Connection fields in lower case.
func connectionOptions(received []wire.Field) (options []string) {
	for _, f := range received {
		if !strings.EqualFold(f.Name, fasthttp.HeaderConnection) {
			continue
		}
		for option := range strings.SplitSeq(f.Value, ",") {
			options = append(options, strings.ToLower(strings.TrimSpace(option)))
		}
	}
	return options
}

// FromRequest returns the fields of a caller's request that are forwarded.
func (d *Dialect) FromRequest(received []wire.Field) []wire.Field {
	return forwarded(received, d.requestFields())
}

// FromResponse returns the fields of a server's response that are forwarded.
func (d *Dialect) FromResponse(h *fasthttp.ResponseHeader) []wire.Field {
	received := make([]wire.Field, 0, 8)
	for name, value := range h.All() {
		received = append(received, wire.Field{Name: string(name), Value: string(value)})
	}
	return forwarded(received, d.responseFields())
}

// ResetResponse resets the head of a response and sets its Date, or leaves it to the HTTP library if
// date is blank or invalid.
func ResetResponse(h *fasthttp.ResponseHeader, date string) {
	if date != "" {
		// The library's setters ignore Date, but its parser does not.
		head := "HTTP/1.1 200\r\nContent-Length: 0\r\nDate: " + date + "\r\n\r\n"
		if h.Read(bufio.NewReaderSize(strings.NewReader(head), len(head))) == nil {
			return
		}
	}
	h.Reset() // The library sets the Date of a head that was reset.
}
