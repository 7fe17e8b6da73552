// SPDX-License-Identifier: MIT

package wire

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// EncodeControl encodes the content of a question or reply of nodes' control parts:
// structs as arrays, numbers as short as they are. It must hold only strings, bytes and
// numbers.
func EncodeControl(v any) []byte {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil {
		panic(err) // Nothing that it may hold fails.
	}
	return b.Bytes()
}
