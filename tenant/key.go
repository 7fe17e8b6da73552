// SPDX-License-Identifier: MIT

package tenant

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"

	"github.com/rotisserie/eris"
)

// fingerprintSize is a fingerprint's length in bytes: nobody finds a second key to it.
const fingerprintSize = 16

// Fingerprint stands for a key that it does not show: the start of the key's SHA-256.
// It is looked up by value; how long that takes tells nothing of other keys, since
// nobody can choose a fingerprint's first bytes without knowing its key.
type Fingerprint [fingerprintSize]byte

// FingerprintOf returns the fingerprint of a key.
func FingerprintOf(key []byte) Fingerprint {
	sum := sha256.Sum256(key)
	return Fingerprint(sum[:fingerprintSize])
}

// ErrFingerprint says that a text is not a fingerprint.
var ErrFingerprint = eris.New("not a key's fingerprint: 22 characters, as `ryehaven tenant fingerprint` writes them")

// ParseFingerprint reads what String writes.
func ParseFingerprint(text string) (f Fingerprint, err error) {
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(b) != fingerprintSize {
		return f, ErrFingerprint
	}
	return Fingerprint(b), nil
}

// String returns the fingerprint in 22 characters of the URL alphabet of RFC 4648.
func (f Fingerprint) String() string { return base64.RawURLEncoding.EncodeToString(f[:]) }

// bearer is the scheme of RFC 6750 section 2.1, in lower case.
var bearer = []byte("bearer")

// Credential reads the key in the values of a request's Authorization fields. ok is
// false unless there is one field with one key: who sends two may mean either.
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
