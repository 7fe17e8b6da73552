// SPDX-License-Identifier: MIT

package wire

import (
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/net/http2/hpack"
)

// Header fields are most of a small message and nearly the same in every message. They are
// therefore compressed with HPACK (RFC 7541): both ends of a connection keep a table of
// recent fields, and a field in the table is sent as its index. The names of services,
// servers and methods, and some other fields of messages, are sent as header fields too.

// headerTableBytes is the size of the HPACK dynamic table. Both ends must use the same size.
const headerTableBytes = 8 << 10

// maxPackedString is the maximum size of a field's name or value in bytes.
const maxPackedString = MaxHeaderBytes

// The names of the header fields that hold fields of a message. They begin with a colon,
// which no HTTP field name does.
const (
	packedService      = ":v"
	packedServer       = ":r"
	packedMethod       = ":m"
	packedCaller       = ":c"
	packedTenant       = ":t"
	packedRequirements = ":n"
	packedCall         = ":l"
	packedOrigin       = ":o"
)

// ErrPacked is returned for packed header fields that cannot be decoded.
var ErrPacked = eris.New("packed header fields cannot be decoded")

// MessageError says that a message cannot be decoded although its frame and its packed header
// fields can. The messages after it are not affected.
type MessageError struct {
	// Message is the message without its header fields.
	Message Message
	Err     error
}

// Error implements error.
func (e *MessageError) Error() string { return e.Err.Error() }

// Unwrap returns what is wrong with the message.
func (e *MessageError) Unwrap() error { return e.Err }

// Encoder encodes the frames of one connection. Frames must be sent in the order in which
// they were encoded. It is not safe for concurrent use.
type Encoder struct {
	block     bytes.Buffer
	packer    *hpack.Encoder
	histories map[string]*valueHistory
}

// NewEncoder returns the Encoder of a new connection.
func NewEncoder() *Encoder {
	e := &Encoder{histories: map[string]*valueHistory{}}
	e.packer = hpack.NewEncoder(&e.block)
	e.packer.SetMaxDynamicTableSizeLimit(headerTableBytes)
	e.packer.SetMaxDynamicTableSize(headerTableBytes)
	return e
}

// maxFirstBody is the maximum size of the body in a message that has header fields. Packed
// header fields take at most half as much again as MaxHeaderBytes counts.
const maxFirstBody = MaxFrame - MaxHeaderBytes*3/2 - 4<<10

// checkSize returns an error if a message with header fields is too large to be decoded.
func checkSize(header Fields, otherBytes, bodyBytes int) error {
	if size := header.size() + otherBytes; size > MaxHeaderBytes {
		return eris.Wrapf(ErrHeaderTooLarge, "%d bytes in %d fields", size, len(header))
	}
	if bodyBytes > maxFirstBody {
		return eris.Wrapf(ErrFrameTooLarge, "body of %d bytes", bodyBytes)
	}
	return nil
}

// Append appends the frame of m to buf and returns the extended slice. A message that fails
// with ErrHeaderTooLarge or ErrFrameTooLarge does not affect later ones.
func (e *Encoder) Append(buf []byte, m Message) ([]byte, error) {
	switch m := m.(type) {
	case *Request:
		names := len(m.Service) + len(m.Server) + len(m.Method) + len(m.Caller) + len(m.Tenant) + len(m.CallerRequestID)
		if err := checkSize(m.Header, names+len(m.URI), len(m.Body)); err != nil {
			return buf, err
		}
		packed := *m
		e.packField(packedService, m.Service)
		e.packField(packedServer, m.Server)
		e.packField(packedMethod, m.Method)
		if m.Caller != "" {
			e.packField(packedCaller, m.Caller)
		}
		if m.Tenant != "" {
			e.packField(packedTenant, m.Tenant)
		}
		if m.Requirements != nil {
			e.packUnindexed(packedRequirements, string(EncodeControl(m.Requirements)))
			if m.Call {
				e.packField(packedCall, "1")
			}
		}
		packed.Service, packed.Server, packed.Method, packed.Caller, packed.Tenant = "", "", "", "", ""
		packed.Packed = e.packHeader(m.Header)
		packed.Header = nil
		return Append(buf, &packed)
	case *Response:
		if err := checkSize(m.Header, 0, len(m.Body)); err != nil {
			return buf, err
		}
		packed := *m
		if m.Origin != 0 {
			e.packField(packedOrigin, strconv.Itoa(int(m.Origin)))
		}
		packed.Packed = e.packHeader(m.Header)
		packed.Header = nil
		return Append(buf, &packed)
	}
	return Append(buf, m)
}

// packHeader packs the header fields after those that have been packed before, and returns
// the whole block.
func (e *Encoder) packHeader(header Fields) []byte {
	for _, f := range header {
		e.packField(f.Name, f.Value)
	}
	block := bytes.Clone(e.block.Bytes())
	e.block.Reset()
	return block
}

// packUnindexed packs a field whose value rarely repeats. It is not added to the table.
func (e *Encoder) packUnindexed(name, value string) {
	_ = e.packer.WriteField(hpack.HeaderField{Name: name, Value: value, Sensitive: true})
}

// packField packs a field. The field is added to the table unless its values rarely repeat.
func (e *Encoder) packField(name, value string) {
	h := e.histories[name]
	if h == nil && len(e.histories) < maxHistories {
		h = &valueHistory{}
		e.histories[name] = h
	}
	_ = e.packer.WriteField(hpack.HeaderField{ // Writing to a buffer does not fail.
		Name:      name,
		Value:     value,
		Sensitive: h == nil || h.rarelyRepeats(value),
	})
}

// maxHistories limits the number of field names for which an Encoder keeps a history, since
// callers choose the names.
const maxHistories = 256

// valueHistory records how often the values of a field repeat.
type valueHistory struct {
	recent  [8]string
	next    int
	misses  int
	repeats int
}

// indexedMisses is the number of new values of a field that are added to the table in any
// case, before it is known whether the field's values repeat.
const indexedMisses = 4

// rarelyRepeats records a value and reports whether the values of the field rarely repeat.
// Adding the value to the table would then only evict other fields.
func (h *valueHistory) rarelyRepeats(value string) bool {
	for _, r := range h.recent {
		if r == value {
			h.repeats++
			return false
		}
	}
	h.recent[h.next] = value
	h.next = (h.next + 1) % len(h.recent)
	h.misses++
	return h.misses > indexedMisses && h.repeats < h.misses
}

// unpacker decodes the blocks that an Encoder has packed.
type unpacker struct {
	decoder *hpack.Decoder
	fields  Fields
	// size is the size of the fields so far, as MaxHeaderBytes counts it.
	size int
}

func newUnpacker() *unpacker {
	u := &unpacker{}
	u.decoder = hpack.NewDecoder(headerTableBytes, u.emit)
	u.decoder.SetMaxStringLength(maxPackedString)
	return u
}

func (u *unpacker) emit(f hpack.HeaderField) {
	field := Field{Name: f.Name, Value: f.Value}
	if u.size += field.size(); u.size > maxUnpackedBytes {
		u.fields = nil // The rest is still decoded, since it may change the table.
		return
	}
	u.fields = append(u.fields, field)
}

// maxUnpackedBytes is the maximum size of the packed fields of a message: its header fields and
// the fields of the message that are packed with them.
const maxUnpackedBytes = MaxHeaderBytes + 1<<10

// unpack returns the fields of a block. If they are too large, it returns ErrHeaderTooLarge after
// it has decoded the whole block.
func (u *unpacker) unpack(block []byte) (Fields, error) {
	u.fields, u.size = nil, 0
	if _, err := u.decoder.Write(block); err != nil {
		return nil, eris.Wrap(ErrPacked, err.Error())
	}
	if err := u.decoder.Close(); err != nil {
		return nil, eris.Wrap(ErrPacked, err.Error())
	}
	if u.size > maxUnpackedBytes {
		return nil, eris.Wrapf(ErrHeaderTooLarge, "%d bytes", u.size)
	}
	return u.fields, nil
}

// restore moves the packed fields back into their message. It returns a MessageError unless the
// connection's table of fields is no longer known.
func (u *unpacker) restore(m Message) error {
	err := u.restoreFields(m)
	if err == nil || eris.Is(err, ErrPacked) {
		return err
	}
	return &MessageError{Message: m, Err: err}
}

func (u *unpacker) restoreFields(m Message) error {
	switch m := m.(type) {
	case *Request:
		if len(m.Packed) == 0 {
			return nil
		}
		fields, err := u.unpack(m.Packed)
		m.Header = fields[:0]
		for _, f := range fields {
			switch f.Name {
			case packedService:
				m.Service = f.Value
			case packedServer:
				m.Server = f.Value
			case packedMethod:
				m.Method = f.Value
			case packedCaller:
				m.Caller = f.Value
			case packedTenant:
				m.Tenant = f.Value
			case packedCall:
				m.Call = true
			case packedRequirements:
				m.Requirements = new(Requirements)
				if failed := msgpack.Unmarshal([]byte(f.Value), m.Requirements); failed != nil {
					return eris.Wrap(failed, "decode requirements")
				}
			default:
				m.Header = append(m.Header, f)
			}
		}
		m.Packed = nil
		return err
	case *Response:
		if len(m.Packed) == 0 {
			return nil
		}
		fields, err := u.unpack(m.Packed)
		m.Header = fields[:0]
		for _, f := range fields {
			if f.Name != packedOrigin {
				m.Header = append(m.Header, f)
				continue
			}
			origin, failed := strconv.ParseUint(f.Value, 10, 8)
			if failed != nil {
				return eris.Wrap(failed, "decode origin")
			}
			m.Origin = uint8(origin)
		}
		m.Packed = nil
		return err
	}
	return nil
}
