// SPDX-License-Identifier: MIT

package wire

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func sampleRequest(n int) *Request {
	return &Request{
		ID: uint64(n + 1), Service: "telemetrie", Server: fmt.Sprint("i-", n%4), Method: "GET", URI: fmt.Sprint("/leny950/", n), Caller: "program",
		Header: Fields{{"Host", "hulo84.example"}, {"User-Agent", "client"}, {"X-Id", fmt.Sprintf("9c41d07be2a%05x", n)}},
		Last:   true,
	}
}

// Messages are decoded unchanged, in the order of their connection, and repeated fields make
// later messages smaller.
func TestPackedRequestsAreDecodedUnchanged(t *testing.T) {
	e := NewEncoder()
	var stream []byte
	var sizes []int
	for n := range 200 {
		before := len(stream)
		var err error
		if stream, err = e.Append(stream, sampleRequest(n)); err != nil {
			t.Fatal(err)
		}
		sizes = append(sizes, len(stream)-before)
	}
	r := NewReader(bytes.NewReader(stream))
	for n := range 200 {
		got, err := r.Next(MaxFrame)
		if err != nil || !reflect.DeepEqual(got, sampleRequest(n)) {
			t.Fatalf("message %d is %+v, error %v", n, got, err)
		}
	}
	if first, last := sizes[0], sizes[199]; last > first*2/3 {
		t.Errorf("the first message has %d bytes and the last one %d", first, last)
	}
}

func TestPackedResponsesWithRandomFields(t *testing.T) {
	field := rapid.Custom(func(t *rapid.T) Field {
		return Field{
			Name:  rapid.StringMatching(`[A-Za-z-]{1,12}`).Draw(t, "name"),
			Value: rapid.StringMatching(`[ -~]{0,40}`).Draw(t, "value"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		e := NewEncoder()
		var stream []byte
		var sent []*Response
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			m := &Response{ID: 1, Status: 200, Header: rapid.SliceOfN(field, 1, 20).Draw(t, "fields")}
			sent = append(sent, m)
			stream, _ = e.Append(stream, m)
		}
		r := NewReader(bytes.NewReader(stream))
		for _, want := range sent {
			got, err := r.Next(MaxFrame)
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Fatalf("got %+v, error %v, want %+v", got, err, want)
			}
		}
	})
}

func TestInvalidPackedFieldsAreRejected(t *testing.T) {
	for _, block := range [][]byte{{0xff}, {0x40, 0x05}, bytes.Repeat([]byte{0x82}, maxUnpackedBytes/(Field{Name: ":method", Value: "GET"}).size()+1), {0xc0}} {
		frame, err := Append(nil, &Response{ID: 1, Packed: block})
		if err != nil {
			t.Fatal(err)
		}
		if m, err := NewReader(bytes.NewReader(frame)).Next(MaxFrame); err == nil || !(errors.Is(err, ErrPacked) || errors.Is(err, ErrHeaderTooLarge)) {
			t.Errorf("% x: %+v, error %v", block[:1], m, err)
		}
	}
}

// The largest head that a node accepts from callers fits in one message, also if it consists of
// the shortest fields.
func TestLargestHeadIsDecodedUnchanged(t *testing.T) {
	for _, field := range []Field{{"a", ""}, {"a", "b"}, {strings.Repeat("n", 100), strings.Repeat("v", 100)}, {"a", strings.Repeat("v", 1<<20-16)}} {
		sent := sampleRequest(0)
		sent.Header = nil
		for range 1 << 20 / field.size() {
			sent.Header = append(sent.Header, field)
		}
		sent.Body = make([]byte, 128<<10)
		e := NewEncoder()
		stream, err := e.Append(nil, sent)
		if err != nil {
			t.Fatal(err)
		}
		got, err := NewReader(bytes.NewReader(stream)).Next(MaxFrame)
		if err != nil || !reflect.DeepEqual(got, sent) {
			t.Errorf("%d fields of %d bytes: error %v", len(sent.Header), field.size(), err)
		}
	}
}

// A message that is too large, to encode or to decode, does not affect those after it. It ended
// all requests of its connection before.
func TestTooLargeMessageDoesNotAffectOthers(t *testing.T) {
	e := NewEncoder()
	stream, err := e.Append(nil, sampleRequest(0))
	if err != nil {
		t.Fatal(err)
	}
	large := &Response{ID: 9, Header: Fields{{"a", strings.Repeat("v", MaxHeaderBytes)}}}
	if _, err := e.Append(stream, large); !errors.Is(err, ErrHeaderTooLarge) {
		t.Errorf("a header of %d bytes: error %v", large.Header.size(), err)
	}
	block := bytes.Repeat([]byte{0x82}, maxUnpackedBytes/(Field{Name: ":method", Value: "GET"}).size()+1)
	if stream, err = Append(stream, &Request{ID: 7, Packed: block}); err != nil {
		t.Fatal(err)
	}
	if stream, err = e.Append(stream, sampleRequest(1)); err != nil {
		t.Fatal(err)
	}
	r := NewReader(bytes.NewReader(stream))
	for n := range 3 {
		got, err := r.Next(MaxFrame)
		var invalid *MessageError
		switch {
		case n == 1 && (!errors.As(err, &invalid) || invalid.Message.(*Request).ID != 7):
			t.Errorf("the message that is too large: error %v", err)
		case n != 1 && !reflect.DeepEqual(got, sampleRequest(n/2)):
			t.Errorf("message %d is %+v, error %v", n, got, err)
		}
	}
}
