// SPDX-License-Identifier: MIT

package wire

import (
	"bytes"
	"encoding/binary"
	"io"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Maximum sizes of a frame in bytes, without its length prefix.
const (
	// MaxFrame applies to all frames; the largest frames carry a table.
	MaxFrame = 2 << 20
	// MaxHandshakeFrame applies to frames from a peer that has not been authenticated yet.
	MaxHandshakeFrame = 4 << 10
)

// lengthBytes is the size of a frame's length prefix.
const lengthBytes = 4

// Errors of encoding and reading frames.
var (
	ErrFrameTooLarge = eris.New("frame exceeds the size limit")
	ErrUnknownKind   = eris.New("frame has an unknown kind")
)

var encoders = sync.Pool{New: func() any {
	e := &encoder{}
	e.msgpack = msgpack.NewEncoder(&e.buf)
	e.msgpack.UseArrayEncodedStructs(true)
	e.msgpack.UseCompactInts(true)
	return e
}}

type encoder struct {
	buf     bytes.Buffer
	msgpack *msgpack.Encoder
}

// Append appends the frame of m to buf and returns the extended slice.
func Append(buf []byte, m Message) ([]byte, error) {
	e := encoders.Get().(*encoder)
	defer encoders.Put(e)
	e.buf.Reset()
	if err := e.msgpack.EncodeUint(uint64(m.Kind())); err != nil {
		return buf, eris.Wrap(err, "encode kind")
	}
	if err := e.msgpack.Encode(m); err != nil {
		return buf, eris.Wrapf(err, "encode message of kind %d", m.Kind())
	}
	if e.buf.Len() > MaxFrame {
		return buf, eris.Wrapf(ErrFrameTooLarge, "kind %d has %d bytes", m.Kind(), e.buf.Len())
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(e.buf.Len()))
	return append(buf, e.buf.Bytes()...), nil
}

// Reader reads the frames of one connection. It is not safe for concurrent use.
type Reader struct {
	r       io.Reader
	length  [lengthBytes]byte
	payload []byte
	source  bytes.Reader
	msgpack *msgpack.Decoder
	packed  *unpacker
	size    int
}

// LastSize returns the size of the last frame in bytes, including its length prefix.
func (r *Reader) LastSize() int { return r.size }

// NewReader returns a Reader that reads from r. r should be buffered.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: r, msgpack: msgpack.NewDecoder(nil), packed: newUnpacker()}
}

// maxReusedPayload is the largest payload buffer in bytes that is reused for the next
// frame. A larger one is released, so that one large frame does not occupy memory for the
// lifetime of the connection.
const maxReusedPayload = 64 << 10

// Next reads one frame of at most limit bytes. It returns io.EOF if the stream ends
// between two frames. After a [MessageError], the next frame can be read.
func (r *Reader) Next(limit int) (Message, error) {
	if _, err := io.ReadFull(r.r, r.length[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(r.length[:]))
	if n > limit {
		return nil, eris.Wrapf(ErrFrameTooLarge, "%d bytes, limit %d", n, limit)
	}
	r.size = n + lengthBytes
	payload, err := r.read(n)
	if err != nil {
		return nil, err
	}
	return r.decode(payload)
}

func (r *Reader) read(n int) ([]byte, error) {
	payload := r.payload
	if cap(payload) < n {
		payload = make([]byte, n)
	}
	payload = payload[:n]
	if n <= maxReusedPayload {
		r.payload = payload
	}
	_, err := io.ReadFull(r.r, payload)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return payload, err
}

func (r *Reader) decode(payload []byte) (Message, error) {
	r.source.Reset(payload)
	r.msgpack.Reset(&r.source)
	kind, err := r.msgpack.DecodeUint8()
	if err != nil {
		return nil, eris.Wrap(err, "decode kind")
	}
	m := newMessage(Kind(kind))
	if m == nil {
		return nil, eris.Wrapf(ErrUnknownKind, "kind %d", kind)
	}
	if err := r.msgpack.Decode(m); err != nil {
		return nil, eris.Wrapf(err, "decode message of kind %d", kind)
	}
	if err := r.packed.restore(m); err != nil {
		return nil, err
	}
	return m, nil
}
