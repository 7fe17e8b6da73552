// SPDX-License-Identifier: MIT

package spread

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ryehaven/ryehaven/wire"
)

const (
	// baseDigestFields is the number of encoded fields of a digest without Calls.
	baseDigestFields = 8
	// maxDigestFields bounds the number of fields accepted from a newer build.
	maxDigestFields = 64
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (d *digest) EncodeMsgpack(e *msgpack.Encoder) error {
	fields := []any{d.Generation, d.Hash, d.ConfirmedMillis, d.Root, d.Host, d.Handshake, &d.Evacuations, d.ProvenMillis, d.Calls}
	if d.Calls == 0 {
		fields = fields[:baseDigestFields]
	}
	if err := e.EncodeArrayLen(len(fields)); err != nil {
		return err
	}
	return e.EncodeMulti(fields...)
}

// DecodeMsgpack implements msgpack.CustomDecoder. It skips fields that a newer build has
// added.
func (d *digest) DecodeMsgpack(decoder *msgpack.Decoder) error {
	n, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < baseDigestFields || n > maxDigestFields {
		return eris.Errorf("a digest has %d fields", n)
	}
	fields := []any{&d.Generation, &d.Hash, &d.ConfirmedMillis, &d.Root, &d.Host, &d.Handshake, &d.Evacuations, &d.ProvenMillis, &d.Calls}
	known := fields[:min(n, len(fields))]
	if err := decoder.DecodeMulti(known...); err != nil {
		return err
	}
	for range n - len(known) {
		if err := decoder.Skip(); err != nil {
			return err
		}
	}
	return nil
}

// digestFor returns the digest to send to a node, with Calls if the node can decode it.
func (s *Spread) digestFor(now time.Time, knowsCalls bool) digest {
	d := s.digest(now)
	if knowsCalls {
		d.Calls = s.callsSum()
	}
	return d
}

// knowsCalls reports whether the node at the other end of a link can decode a digest with
// Calls.
func knowsCalls(l link) bool { return l.Version() >= wire.VersionRequirements }
