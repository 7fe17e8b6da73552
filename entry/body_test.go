// SPDX-License-Identifier: MIT

package entry

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/ryehaven/ryehaven/peer"
	"github.com/ryehaven/ryehaven/table"
)

// readAll reads a body from an offset, as a sender does.
func readAll(b *body, offset int) ([]byte, error) {
	var all []byte
	for {
		part, err := b.next(offset)
		if err != nil {
			return all, err
		}
		all = append(all, part...)
		offset += len(part)
	}
}

func TestShortBodyIsWholeAtOnce(t *testing.T) {
	b := newBody(strings.NewReader("hello"), 100)
	if got, whole := b.whole(); string(got) != "hello" || !whole || !b.finished() {
		t.Errorf("%q, whole %t", got, whole)
	}
	if none, whole := newBody(nil, 100).whole(); len(none) != 0 || !whole {
		t.Error("a request without a body is not whole")
	}
}

// Until a gate takes more than a window, a body can be sent from its start
// again; afterwards it cannot, and says so.
func TestBodyIsKeptForAnotherServer(t *testing.T) {
	text := bytes.Repeat([]byte("0123456789abcdef"), peer.Window/8)
	b := newBody(bytes.NewReader(text), int64(len(text)))
	taken := peer.Window + peer.MaxChunk
	for range 2 {
		for offset := 0; offset < taken; {
			part, err := b.next(offset)
			if err != nil || !bytes.Equal(part, text[offset:offset+len(part)]) {
				t.Fatalf("at %d: error %v", offset, err)
			}
			offset += len(part)
		}
	}
	if !b.replayable() {
		t.Fatal("the first window is not kept")
	}
	b.forget(taken) // All of it was handed out above, as it is before a sender forgets it.
	if b.replayable() {
		t.Error("a body without its start can be sent again")
	}
	if _, err := b.next(0); !errors.Is(err, errNotKept) {
		t.Errorf("error is %v", err)
	}
	if rest, err := readAll(b, taken); err != io.EOF || !bytes.Equal(rest, text[taken:]) {
		t.Errorf("%d bytes of the rest, want %d, error %v", len(rest), len(text)-taken, err)
	}
}

// brokenReader fails after some bytes.
type brokenReader struct{ left int }

var errBroken = errors.New("caller went away")

func (r *brokenReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, errBroken
	}
	n := min(len(p), r.left)
	r.left -= n
	return n, nil
}

func TestBrokenBodyIsNeverWhole(t *testing.T) {
	for _, length := range []int{0, 10, peer.MaxChunk, 3 * peer.MaxChunk} {
		b := newBody(&brokenReader{left: length}, 1<<20)
		got, err := readAll(b, 0)
		if _, whole := b.whole(); whole || !errors.Is(err, errBroken) || len(got) != length || b.broken() == nil {
			t.Errorf("after %d bytes: whole %t, error %v", length, whole, err)
		}
	}
	b := newBody(strings.NewReader("too long"), 3)
	if !errors.Is(b.broken(), errTooLarge) {
		t.Errorf("a body over the bound: %v", b.broken())
	}
}

func TestRepeatableByRule(t *testing.T) {
	tests := []struct {
		rule    table.RepeatableRule
		methods string
	}{
		{table.ByMethod, "GET HEAD OPTIONS TRACE PUT DELETE"},
		{table.SafeOnly, "GET HEAD OPTIONS TRACE"},
		{table.Never, ""},
	}
	for _, test := range tests {
		for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE", "POST", "PATCH", "get", "X"} {
			want := strings.Contains(" "+test.methods+" ", " "+method+" ")
			if got := repeatableByRule(test.rule, method); got != want {
				t.Errorf("%s under %s is %t, want %t", method, test.rule, got, want)
			}
		}
	}
}

func TestServiceName(t *testing.T) {
	for host, want := range map[string]string{"arzator": "arzator", "arzator:80": "arzator", "arzator.example.org:80": "arzator", "": ""} {
		if got := serviceName(host); got != want {
			t.Errorf("%q names %q, want %q", host, got, want)
		}
	}
}

// A caller's body was read further between its first part and the message to the gate.
// The message then had up to 144 KB of it, 128 are allowed before the gate returns credit,
// and the gate's node ended the connection: "peer sent more body bytes than it had credit
// for" cost all requests under way between the two nodes, and this caller's 64 MiB ended
// with 502, in 1 of 40 runs on a machine with other work.
func TestFirstPartOfABodyFitsWhatAGateTakes(t *testing.T) {
	const size = 1 << 20
	b := newBody(bytes.NewReader(make([]byte, size)), size)
	b.mu.Lock()
	for len(b.kept) < peer.Window+peer.MaxChunk {
		b.cond.Wait() // The rest is read in the background.
	}
	b.mu.Unlock()
	if first, whole := b.whole(); len(first) > peer.MaxChunk || whole {
		t.Errorf("the first part has %d bytes, whole %t, want %d at most", len(first), whole, peer.MaxChunk)
	}
	b.halt()
}
