// SPDX-License-Identifier: MIT

package store

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/table"
)

// ErrEnvelope is wrapped by the errors for objects that do not contain a table.
var ErrEnvelope = eris.New("object does not hold a table")

// Envelope is the stored object that contains the table.
type Envelope struct {
	Generation table.Generation `json:"generation"`
	// WriteID is an ID chosen by the writer. It lets the writer find out whether a write
	// whose reply was lost took effect.
	WriteID string `json:"write_id"`
	// Hash is the table.HashText of Table.
	Hash  string `json:"hash"`
	Table string `json:"table"`
	// Recent are the last writes before this one, newest first, so that a writer finds its
	// own write also after others have replaced the object.
	Recent []Write `json:"recent,omitempty"`
}

// Write identifies an accepted write.
type Write struct {
	ID         string           `json:"id"`
	Generation table.Generation `json:"generation"`
}

// maxRecent is the maximum length of Recent.
const maxRecent = 64

// NextRecent returns the value of Recent for the write that follows e.
func (e Envelope) NextRecent() []Write {
	if e.Generation == 0 {
		return nil
	}
	recent := append([]Write{{ID: e.WriteID, Generation: e.Generation}}, e.Recent...)
	return recent[:min(len(recent), maxRecent)]
}

// GenerationOf returns the generation of the table that a write stored. It reports false if
// e does not contain the write.
func (e Envelope) GenerationOf(id string) (table.Generation, bool) {
	for _, w := range e.NextRecent() {
		if w.ID == id {
			return w.Generation, true
		}
	}
	return 0, false
}

// Encode returns the object's body.
func (e Envelope) Encode() ([]byte, error) {
	body, err := json.Marshal(e)
	if err != nil {
		return nil, eris.Wrap(err, "encode table object")
	}
	if len(body) > MaxBody {
		return nil, eris.Errorf("table object has %d bytes; the platform's limit is %d", len(body), MaxBody)
	}
	return body, nil
}

// DecodeEnvelope decodes the body of an object and checks its hash.
func DecodeEnvelope(body []byte) (Envelope, error) {
	var e Envelope
	if err := json.Unmarshal(body, &e); err != nil {
		return Envelope{}, eris.Wrapf(ErrEnvelope, "not JSON: %v", err)
	}
	if e.Generation == 0 {
		return Envelope{}, eris.Wrap(ErrEnvelope, "generation is 0")
	}
	if e.Hash != table.HashText([]byte(e.Table)) {
		return Envelope{}, eris.Wrapf(ErrEnvelope, "hash of generation %d does not match its table", e.Generation)
	}
	return e, nil
}

// Snapshot parses the envelope's table.
func (e Envelope) Snapshot() (*table.Snapshot, error) {
	return table.NewSnapshot(e.Generation, TableKey, []byte(e.Table))
}
