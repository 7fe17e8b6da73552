// SPDX-License-Identifier: MIT

package blame

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/ryehaven/ryehaven/wire"
)

// Fingerprint identifies a request across attempts: a truncated SHA-256, long enough that
// nobody can construct a request with the fingerprint of another.
type Fingerprint [16]byte

// String returns the fingerprint as written to logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// BodyPrefixBytes is how much of the body a fingerprint covers. Every node has read that
// much of a longer body before it forwards the request. Bodies of the same length that
// differ only beyond this prefix have the same fingerprint.
const BodyPrefixBytes = 16 << 10

// callerFields are the header fields by which a caller authenticates, in lower case. The
// same request from another caller is a different request.
var callerFields = map[string]bool{"authorization": true, "cookie": true}

// hostField is the header field with the request's host, in lower case.
const hostField = "host"

// FingerprintOf returns a request's fingerprint, which covers its service, host, method,
// path with query, caller and body. The node that received it and its request ID are left
// out, since they differ between attempts.
func FingerprintOf(r *wire.Request) Fingerprint {
	h := sha256.New()
	write := func(text string) {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(text)))
		h.Write(length[:])
		h.Write([]byte(text))
	}
	write(r.Service)
	write(r.Method)
	write(r.URI)
	if r.Tenant != "" {
		// The tenant identifies the caller here: the receiving node removes the Authorization
		// field of its requests.
		write(r.Tenant)
	}
	for _, f := range r.Header {
		if name := strings.ToLower(f.Name); name == hostField || callerFields[name] {
			write(name)
			write(f.Value)
		}
	}
	body := r.Body[:min(len(r.Body), BodyPrefixBytes)]
	_ = binary.Write(h, binary.BigEndian, r.Length) // Writing to a hash cannot fail.
	h.Write(body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}
