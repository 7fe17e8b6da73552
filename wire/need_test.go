// SPDX-License-Identifier: MIT

package wire

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

func TestNeedTravelsWithItsRequest(t *testing.T) {
	encoder := NewEncoder()
	sent := []*Request{
		{ID: 1, Service: "s", Method: "GET", Need: &Need{AimMillis: 300, WorkMillis: 94, AgeMillis: 20}},
		{ID: 2, Service: "s", Method: "GET"},
		{ID: 3, Service: "s", Method: "GET", Need: &Need{AimMillis: -7}},
	}
	var frames []byte
	for _, m := range sent {
		var err error
		if frames, err = encoder.Append(frames, m); err != nil {
			t.Fatal(err)
		}
	}
	reader := NewReader(bytes.NewReader(frames))
	for _, want := range sent {
		m, err := reader.Next(MaxFrame)
		if err != nil {
			t.Fatal(err)
		}
		got := m.(*Request)
		switch {
		case want.Need == nil && got.Need != nil, want.Need != nil && (got.Need == nil || *got.Need != *want.Need):
			t.Errorf("request %d: need %+v, want %+v", want.ID, got.Need, want.Need)
		case len(got.Header) != 0:
			t.Errorf("request %d: header %v", want.ID, got.Header)
		}
	}
}

func TestNumbersOfOtherBuilds(t *testing.T) {
	for _, c := range []struct {
		name    string
		numbers []int64
		ok      bool
	}{
		{"as many", []int64{1, 2, 3}, true},
		{"one more", []int64{1, 2, 3, 4}, true},
		{"one less", []int64{1, 2}, false},
		{"none", []int64{}, false},
		{"far too many", make([]int64, maxNumbers+1), false},
	} {
		payload, err := msgpack.Marshal(c.numbers)
		if err != nil {
			t.Fatal(err)
		}
		var need Need
		err = msgpack.Unmarshal(payload, &need)
		if (err == nil) != c.ok {
			t.Errorf("%s: error %v", c.name, err)
		}
		if c.ok && need != (Need{AimMillis: 1, WorkMillis: 2, AgeMillis: 3}) {
			t.Errorf("%s: %+v", c.name, need)
		}
	}
}
