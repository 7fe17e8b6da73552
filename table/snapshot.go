// SPDX-License-Identifier: MIT

package table

import (
	"crypto/sha256"
	"encoding/hex"
)

// Generation is the number of an accepted table. Each accepted change gets a higher one;
// 0 means that no table has been accepted.
type Generation uint64

// Snapshot is an accepted table.
type Snapshot struct {
	Generation Generation
	// Hash is the SHA-256 of Text in hexadecimal.
	Hash string
	// Text is the operators' file, byte for byte.
	Text  []byte
	Table *Table
}

// HashText returns the hash of a table's text in the format of Snapshot.Hash.
func HashText(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// NewSnapshot parses a table's text that was accepted as a generation. file names the
// text in findings.
func NewSnapshot(generation Generation, file string, text []byte) (*Snapshot, error) {
	t, err := Parse(file, text)
	if err != nil {
		return nil, err
	}
	return &Snapshot{Generation: generation, Hash: HashText(text), Text: text, Table: t}, nil
}
