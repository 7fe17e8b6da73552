// SPDX-License-Identifier: MIT

package tenant

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"

	"github.com/rotisserie/eris"
)

// fingerprintSize is a fingerprint's length in bytes, enough that nobody can find a second
// key with the same fingerprint.
const fingerprintSize = 16

// Fingerprint identifies a key without disclosing it: it is the key's truncated SHA-256.
// Lookups by fingerprint need not take constant time: their duration reveals nothing about
// other keys, since nobody can choose the first bytes of a fingerprint without knowing its
// key.
type Fingerprint [fingerprintSize]byte

// FingerprintOf returns the fingerprint of a key.
func FingerprintOf(key []byte) Fingerprint {
	sum := sha256.Sum256(key)
	return Fingerprint(sum[:fingerprintSize])
}

// ErrFingerprint is returned for a text that is not a fingerprint.
var ErrFingerprint = eris.New("not a key's fingerprint: 22 characters, as `ryehaven tenant fingerprint` writes them")

// ParseFingerprint parses a fingerprint in the format of String.
func ParseFingerprint(text string) (f Fingerprint, err error) {
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(b) != fingerprintSize {
		return f, ErrFingerprint
	}
	return Fingerprint(b), nil
}

// String returns the fingerprint as 22 characters of unpadded base64url (RFC 4648).
func (f Fingerprint) String() string { return base64.RawURLEncoding.EncodeToString(f[:]) }

// bearer is the authentication scheme of RFC 6750 section 2.1, in lower case.
var bearer = []byte("bearer")

// Credential returns the key in the values of a request's Authorization fields. ok is false
// unless there is exactly one field with one bearer key: with two keys it would be ambiguous
// which one applies.
func Credential(values [][]byte) (key []byte, ok bool) {
	if len(values) != 1 {
		return nil, false
	}
	scheme, rest, found := bytes.Cut(bytes.TrimSpace(values[0]), []byte(" "))
	if !found || !bytes.EqualFold(scheme, bearer) {
		return nil, false
	}
	key = bytes.TrimLeft(rest, " ")
	if len(key) == 0 || bytes.ContainsAny(key, " \t,") {
		return nil, false
	}
	return key, true
}
