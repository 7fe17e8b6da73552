// SPDX-License-Identifier: MIT

package table

import (
	"crypto/sha256"
	"encoding/hex"
)

// Generation numbers accepted tables. It rises by one with each accepted
// change; 0 means that no table has been accepted.
type Generation uint64

// Snapshot is a table as it was accepted.
type Snapshot struct {
	Generation Generation
	// Hash is the hex SHA-256 of Text.
	Hash string
	// Text is the operators' file, byte for byte.
	Text  []byte
	Table *Table
}

// HashText returns the hash of a table's text as snapshots carry it.
func HashText(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// NewSnapshot parses a text that was accepted as a generation.
func NewSnapshot(generation Generation, file string, text []byte) (*Snapshot, error) {
	t, err := Parse(file, text)
	if err != nil {
		return nil, err
	}
	return &Snapshot{Generation: generation, Hash: HashText(text), Text: text, Table: t}, nil
}
