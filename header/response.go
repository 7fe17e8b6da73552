// SPDX-License-Identifier: MIT

package header

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strings"

	"github.com/rotisserie/eris"
)

// Errors for bytes that are not a response (RFC 9112). The HTTP library is more lenient: it
// takes status 000 for 200, and accepts field names with blanks, which other recipients read
// differently.
var (
	ErrStatusLine   = eris.New("status line is not valid")
	ErrStatus       = eris.New("status is not one that the request can get")
	ErrFieldLine    = eris.New("header field is not valid")
	ErrFraming      = eris.New("fields that frame the body are not valid")
	ErrHeadTooLarge = eris.New("head of the response is too large")
	ErrInterim      = eris.New("too many interim responses")
)

// maxInterim is the maximum number of interim responses before a response.
const maxInterim = 16

// The range of valid status codes (RFC 9110 section 15).
const (
	minStatus          = 100
	minFinalStatus     = 200
	maxStatus          = 599
	switchingProtocols = 101
)

// CheckResponse waits for the head of a response and returns an error unless it is valid. It
// skips interim responses and leaves the head of the final one unread. It returns io.EOF if the
// connection ends before the first byte. The head must fit into the reader's buffer.
func CheckResponse(r *bufio.Reader) error {
	for range maxInterim {
		head, err := peekHead(r)
		if err != nil {
			return err
		}
		status, err := checkHead(head)
		if err != nil {
			return err
		}
		if status >= minFinalStatus {
			return nil
		}
		if _, err := r.Discard(len(head)); err != nil {
			return err
		}
	}
	return ErrInterim
}

// CheckTrailers reads the fields after a body in chunks and the blank line that ends them. It
// returns an error unless they are valid.
func CheckTrailers(r *bufio.Reader) error {
	size := 0
	for first := true; ; first = false {
		line, err := r.ReadSlice('\n')
		if size += len(line); errors.Is(err, bufio.ErrBufferFull) || size > r.Size() {
			return ErrHeadTooLarge
		}
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if line = trimLineEnd(line); len(line) == 0 {
			return nil
		}
		if _, _, err := checkField(line, first); err != nil {
			return err
		}
	}
}

// peekHead waits for a head up to its blank line and returns it without reading it.
func peekHead(r *bufio.Reader) ([]byte, error) {
	seen := 0
	for {
		if _, err := r.Peek(seen + 1); err != nil {
			return nil, headError(err, seen)
		}
		head, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, err
		}
		if n := headLength(head, seen); n > 0 {
			return head[:n], nil
		}
		seen = len(head)
	}
}

// headError returns the error for a head of which a number of bytes has arrived.
func headError(err error, seen int) error {
	var network net.Error
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return ErrHeadTooLarge
	case errors.As(err, &network) && network.Timeout():
		return err
	case seen == 0:
		return io.EOF // Nothing has arrived, however the connection has ended.
	case err == io.EOF:
		return io.ErrUnexpectedEOF
	}
	return err
}

// headLength returns the length of a head with the blank line that ends it, or 0 if that has not
// arrived. The bytes before seen have been searched before.
func headLength(b []byte, seen int) int {
	for at := max(seen-len("\r\n"), 0); ; {
		n := bytes.IndexByte(b[at:], '\n')
		if n < 0 {
			return 0
		}
		at += n + 1
		switch rest := b[at:]; {
		case len(rest) > 0 && rest[0] == '\n':
			return at + 1
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return at + 2
		}
	}
}

// checkHead checks a whole head and returns its status.
func checkHead(head []byte) (status int, err error) {
	line, rest, _ := bytes.Cut(head, []byte("\n"))
	version, status, err := parseStatusLine(trimLineEnd(line))
	if err != nil {
		return 0, err
	}
	var framing framing
	for first := true; len(rest) > 0; first = false {
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		if line = trimLineEnd(line); len(line) == 0 {
			break
		}
		name, value, err := checkField(line, first)
		if err != nil {
			return 0, err
		}
		if err := framing.add(name, value); err != nil {
			return 0, err
		}
	}
	return status, framing.check(version)
}

// The versions of HTTP that a response may have.
const (
	http10 = "HTTP/1.0"
	http11 = "HTTP/1.1"
)

func parseStatusLine(line []byte) (version string, status int, err error) {
	const codeAt, codeEnd = len(http11) + 1, len(http11) + 4
	if len(line) < codeEnd || line[codeAt-1] != ' ' || len(line) > codeEnd && line[codeEnd] != ' ' || !isFieldValue(line) {
		return "", 0, eris.Wrapf(ErrStatusLine, "%.80q", line)
	}
	if version = string(line[:len(http11)]); version != http11 && version != http10 {
		return "", 0, eris.Wrapf(ErrStatusLine, "%.80q", line)
	}
	for _, c := range line[codeAt:codeEnd] {
		if c < '0' || c > '9' {
			return "", 0, eris.Wrapf(ErrStatusLine, "%.80q", line)
		}
		status = 10*status + int(c-'0')
	}
	if status < minStatus || status > maxStatus || status == switchingProtocols {
		return "", 0, eris.Wrapf(ErrStatus, "%d", status)
	}
	return version, status, nil
}

// framing is what the fields of a head say about the length of the body.
type framing struct {
	lengths, codings int
	// folded is set if the last field may be continued and is one of these.
	folded bool
}

func (f *framing) add(name, value []byte) error {
	if name == nil { // The line continues the last field.
		if f.folded {
			return eris.Wrap(ErrFraming, "folded field")
		}
		return nil
	}
	f.folded = false
	switch {
	case len(name) == len("Content-Length") && strings.EqualFold(string(name), "Content-Length"):
		f.lengths++
		f.folded = true
		if !isDecimal(value) {
			return eris.Wrapf(ErrFraming, "Content-Length %.80q", value)
		}
	case len(name) == len("Transfer-Encoding") && strings.EqualFold(string(name), "Transfer-Encoding"):
		f.codings++
		f.folded = true
		if !strings.EqualFold(string(value), "chunked") {
			return eris.Wrapf(ErrFraming, "Transfer-Encoding %.80q", value)
		}
	}
	return nil
}

func (f *framing) check(version string) error {
	switch {
	case f.lengths+f.codings > 1:
		return eris.Wrapf(ErrFraming, "%d fields Content-Length and %d Transfer-Encoding", f.lengths, f.codings)
	case f.codings > 0 && version == http10:
		return eris.Wrap(ErrFraming, "chunks in HTTP/1.0")
	}
	return nil
}

// checkField checks one line of a head and returns the field's name and value. The name is nil if
// the line continues the field before, which the first line cannot.
func checkField(line []byte, first bool) (name, value []byte, err error) {
	if line[0] == ' ' || line[0] == '\t' {
		if first || !isFieldValue(line) {
			return nil, nil, eris.Wrapf(ErrFieldLine, "%.80q", line)
		}
		return nil, nil, nil
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) || !isFieldValue(value) {
		return nil, nil, eris.Wrapf(ErrFieldLine, "%.80q", line)
	}
	return name, bytes.Trim(value, " \t"), nil
}

// isFieldValue reports whether a field's value or a status line has no control characters other
// than tabs.
func isFieldValue(value []byte) bool {
	const del = 0x7f
	for _, c := range value {
		if c < ' ' && c != '\t' || c == del {
			return false
		}
	}
	return true
}

// maxLengthDigits is the maximum number of digits of a Content-Length.
const maxLengthDigits = 18

func isDecimal(value []byte) bool {
	for _, c := range value {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(value) > 0 && len(value) <= maxLengthDigits
}

func trimLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}
