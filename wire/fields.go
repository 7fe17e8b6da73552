// SPDX-License-Identifier: MIT

package wire

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Limits of the header fields of a message.
const (
	// MaxHeaderBytes is the maximum size of a message's header fields, each counted with
	// fieldOverhead, together with its other strings. It exceeds the largest head that a node
	// accepts from callers, whose limit is in bytes too.
	MaxHeaderBytes = 1<<20 + 64<<10
	// fieldOverhead is the size in bytes of a field's delimiters in the shortest form of an
	// HTTP head: a colon and a line feed.
	fieldOverhead = 2
	// MaxLegacyFields is the number of header fields that nodes accept which do not support
	// VersionLargeHeaders.
	MaxLegacyFields = 1000
)

// ErrHeaderTooLarge is returned for a message whose header fields exceed a limit.
var ErrHeaderTooLarge = eris.New("message has too many or too large header fields")

// Fields are the header fields of a message. They are decoded one by one, because the
// codec would allocate memory for as many as the message claims to have.
type Fields []Field

// DecodeMsgpack implements msgpack.CustomDecoder.
func (f *Fields) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	*f = nil
	if n < 0 {
		return nil // The fields were encoded as nil.
	}
	if n > MaxHeaderBytes/fieldOverhead {
		return eris.Wrapf(ErrHeaderTooLarge, "%d fields", n)
	}
	*f = Fields{}
	for range n {
		var field Field
		if err := d.Decode(&field); err != nil {
			return err
		}
		*f = append(*f, field)
	}
	return nil
}

// size returns the size of the fields as MaxHeaderBytes counts it.
func (f Fields) size() int {
	size := 0
	for i := range f {
		size += f[i].size()
	}
	return size
}

func (f Field) size() int { return len(f.Name) + len(f.Value) + fieldOverhead }
