// SPDX-License-Identifier: MIT

package header

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
)

var invalidHeads = map[string]struct {
	head string
	want error
}{
	"status 000":                    {"HTTP/1.1 000 OK\r\n\r\n", ErrStatus},
	"status 099":                    {"HTTP/1.1 099 OK\r\n\r\n", ErrStatus},
	"status 600":                    {"HTTP/1.1 600 OK\r\n\r\n", ErrStatus},
	"status 777":                    {"HTTP/1.1 777 OK\r\n\r\n", ErrStatus},
	"two digits":                    {"HTTP/1.1 20 OK\r\n\r\n", ErrStatusLine},
	"four digits":                   {"HTTP/1.1 2000 OK\r\n\r\n", ErrStatusLine},
	"signed status":                 {"HTTP/1.1 +20 OK\r\n\r\n", ErrStatusLine},
	"two blanks":                    {"HTTP/1.1  200 OK\r\n\r\n", ErrStatusLine},
	"version 2.0":                   {"HTTP/2.0 200 OK\r\n\r\n", ErrStatusLine},
	"version 1.2":                   {"HTTP/1.2 200 OK\r\n\r\n", ErrStatusLine},
	"lower-case version":            {"http/1.1 200 OK\r\n\r\n", ErrStatusLine},
	"NUL in the reason":             {"HTTP/1.1 200 O\x00K\r\n\r\n", ErrStatusLine},
	"carriage return in the reason": {"HTTP/1.1 200 O\rK\r\n\r\n", ErrStatusLine},
	"blank line first":              {"\r\nHTTP/1.1 200 OK\r\n\r\n", ErrStatusLine},
	"unasked 101":                   {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\n\r\n", ErrStatus},
	"no response":                   {"SSH-2.0-x\r\n\r\n", ErrStatusLine},
	"blank in a name":               {"HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\n", ErrFieldLine},
	"blank after a name":            {"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n", ErrFieldLine},
	"tab after a name":              {"HTTP/1.1 200 OK\r\nContent-Length\t: 2\r\n\r\n", ErrFieldLine},
	"control byte in a name":        {"HTTP/1.1 200 OK\r\nX\x01A: 2\r\n\r\n", ErrFieldLine},
	"high byte in a name":           {"HTTP/1.1 200 OK\r\nX\xc3\xa9: 2\r\n\r\n", ErrFieldLine},
	"no name":                       {"HTTP/1.1 200 OK\r\n: 2\r\n\r\n", ErrFieldLine},
	"no colon":                      {"HTTP/1.1 200 OK\r\nX\r\n\r\n", ErrFieldLine},
	"NUL in a value":                {"HTTP/1.1 200 OK\r\nX: a\x00b\r\n\r\n", ErrFieldLine},
	"carriage return in a value":    {"HTTP/1.1 200 OK\r\nX: a\rY: b\r\n\r\n", ErrFieldLine},
	"DEL in a value":                {"HTTP/1.1 200 OK\r\nX: a\x7f\r\n\r\n", ErrFieldLine},
	"continued before a field":      {"HTTP/1.1 200 OK\r\n X: a\r\n\r\n", ErrFieldLine},
	"two lengths":                   {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n", ErrFraming},
	"list of lengths":               {"HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\n", ErrFraming},
	"signed length":                 {"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\n", ErrFraming},
	"empty length":                  {"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n", ErrFraming},
	"endless length":                {"HTTP/1.1 200 OK\r\nContent-Length: 20000000000000000000\r\n\r\n", ErrFraming},
	"continued length":              {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n 3\r\n\r\n", ErrFraming},
	"length and chunks":             {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", ErrFraming},
	"unknown coding":                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", ErrFraming},
	"chunks in 1.0":                 {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ErrFraming},
	"blank in an interim name":      {"HTTP/1.1 103 Early\r\nA B: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", ErrFieldLine},
	"endless interim responses":     {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100), ErrInterim},
	"endless reason":                {"HTTP/1.1 200 " + strings.Repeat("x", 1<<20), ErrHeadTooLarge},
	"endless name":                  {"HTTP/1.1 200 OK\r\n" + strings.Repeat("x", 1<<20), ErrHeadTooLarge},
	"endless value":                 {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20), ErrHeadTooLarge},
	"endless fields":                {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X: a\r\n", 1<<18), ErrHeadTooLarge},
	"nothing":                       {"", io.EOF},
	"cut off":                       {"HTTP/1.1 200 OK\r\nX: a\r\n", io.ErrUnexpectedEOF},
}

// Bytes that are not a response are none, however they arrive. The HTTP library took status 000
// for 200 and accepted names with blanks.
func TestInvalidResponses(t *testing.T) {
	for name, test := range invalidHeads {
		for _, r := range []io.Reader{strings.NewReader(test.head), iotest.OneByteReader(strings.NewReader(test.head))} {
			if err := CheckResponse(bufio.NewReaderSize(r, 8<<10)); !errors.Is(err, test.want) {
				t.Errorf("%s: error %v, want %v", name, err, test.want)
			}
		}
	}
}

// A valid head is left to be read, without the interim ones before it.
func TestValidResponses(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200\r\n\r\n",
		"HTTP/1.1 200 \r\nX:\r\nY: caf\xc3\xa9 \xff\t\"\\,;:=\r\n\r\n",
		"HTTP/1.0 599 Odd reason\xff\r\nTransfer-Encodings: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n",
		"HTTP/1.1 200 OK\nX: a\n\n",
		"HTTP/1.1 200 OK\r\nX: a\r\n  b\r\n\r\n",
	} {
		for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"} {
			r := bufio.NewReader(iotest.OneByteReader(strings.NewReader(interim + head + "body")))
			if err := CheckResponse(r); err != nil {
				t.Errorf("%q: %v", head, err)
				continue
			}
			if rest, _ := io.ReadAll(r); string(rest) != head+"body" {
				t.Errorf("%q is left of %q", rest, head)
			}
		}
	}
}

func TestTrailers(t *testing.T) {
	for trailers, want := range map[string]error{
		"\r\n":                             nil,
		"X: 1\r\nY: 2\r\n  3\r\n\r\n":      nil,
		"X Y: 1\r\n\r\n":                   ErrFieldLine,
		"X: a\x00\r\n\r\n":                 ErrFieldLine,
		" X: a\r\n\r\n":                    ErrFieldLine,
		"X: 1\r\n":                         io.ErrUnexpectedEOF,
		strings.Repeat("X: 1\r\n", 1<<12):  ErrHeadTooLarge,
		"X: " + strings.Repeat("x", 1<<16): ErrHeadTooLarge,
	} {
		r := bufio.NewReaderSize(strings.NewReader(trailers+"next"), 8<<10)
		if err := CheckTrailers(r); !errors.Is(err, want) {
			t.Errorf("%.40q: error %v, want %v", trailers, err, want)
		} else if rest, _ := io.ReadAll(r); want == nil && string(rest) != "next" {
			t.Errorf("%q is left of %q", rest, trailers)
		}
	}
}

// What passes is read alike by the HTTP library.
func FuzzCheckResponse(f *testing.F) {
	for _, test := range invalidHeads {
		f.Add(test.head[:min(len(test.head), 200)])
	}
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: a\r\n b\r\n\r\nab")
	f.Fuzz(func(t *testing.T, text string) {
		r := bufio.NewReaderSize(strings.NewReader(text), 8<<10)
		if CheckResponse(r) != nil {
			return
		}
		head, err := peekHead(r)
		if err != nil {
			t.Fatal(err)
		}
		length := len(head)
		before := r.Buffered()
		var h fasthttp.ResponseHeader
		if err := h.Read(r); err != nil {
			return // The library may be stricter.
		}
		if read := before - r.Buffered(); read != length {
			t.Errorf("the library has read %d bytes of a head of %d", read, length)
		}
		if h.StatusCode() < minFinalStatus || h.StatusCode() > maxStatus {
			t.Errorf("status %d", h.StatusCode())
		}
	})
}
