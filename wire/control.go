// SPDX-License-Identifier: MIT

package wire

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// EncodeControl encodes the payload of an [Ask] or a [Reply], or a part of another
// message: structs as arrays, numbers in their shortest form. v must consist of values that
// always encode, such as strings, bytes and numbers.
func EncodeControl(v any) []byte {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil {
		panic(err) // The allowed values always encode.
	}
	return b.Bytes()
}
