// SPDX-License-Identifier: MIT

package wire

import (
	"bytes"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

func TestRequirementsAreDecodedWithTheirRequest(t *testing.T) {
	encoder := NewEncoder()
	sent := []*Request{
		{ID: 1, Service: "s", Method: "GET", Requirements: &Requirements{AimMillis: 300, WorkMillis: 94, AgeMillis: 20, LowerQuartileMillis: 70, RateLimit: NewRateLimit(7.8)}},
		{ID: 2, Service: "s", Method: "GET"},
		{ID: 3, Service: "s", Method: "GET", Requirements: &Requirements{AimMillis: -7}},
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
		case want.Requirements == nil && got.Requirements != nil, want.Requirements != nil && (got.Requirements == nil || *got.Requirements != *want.Requirements):
			t.Errorf("request %d: requirements %+v, want %+v", want.ID, got.Requirements, want.Requirements)
		case len(got.Header) != 0:
			t.Errorf("request %d: header %v", want.ID, got.Header)
		}
	}
}

func TestRequirementsFromOtherBuilds(t *testing.T) {
	for _, c := range []struct {
		name          string
		numbers       []int64
		ok            bool
		lowerQuartile int64
		rateLimit     RateLimit
	}{
		{"same build", []int64{1, 2, 3, 4, 5}, true, 4, 5},
		{"newer build with one more number", []int64{1, 2, 3, 4, 5, 6}, true, 4, 5},
		{"build without rate limits", []int64{1, 2, 3, 4}, true, 4, 0},
		{"oldest build", []int64{1, 2, 3}, true, 0, 0},
		{"fewer than in any build", []int64{1, 2}, false, 0, 0},
		{"empty", []int64{}, false, 0, 0},
		{"above the limit", make([]int64, maxNumbers+1), false, 0, 0},
	} {
		payload, err := msgpack.Marshal(c.numbers)
		if err != nil {
			t.Fatal(err)
		}
		var requirements Requirements
		err = msgpack.Unmarshal(payload, &requirements)
		if (err == nil) != c.ok {
			t.Errorf("%s: error %v", c.name, err)
		}
		if c.ok && requirements != (Requirements{AimMillis: 1, WorkMillis: 2, AgeMillis: 3, LowerQuartileMillis: c.lowerQuartile, RateLimit: c.rateLimit}) {
			t.Errorf("%s: %+v", c.name, requirements)
		}
	}
}

func TestHeadroomFromOtherBuilds(t *testing.T) {
	for _, c := range []struct {
		numbers []int64
		want    Headroom
		ok      bool
	}{
		{[]int64{3, 20, 700}, Headroom{AdmittedPriorities: 3, CallWaitMillis: 20, ColdMillis: 700}, true},
		{[]int64{3, 20, 700, 55}, Headroom{AdmittedPriorities: 3, CallWaitMillis: 20, ColdMillis: 700, TokenIntervalMillis: 55}, true},
		{[]int64{3, 20, 700, 55, -110, 1, 2, 3}, Headroom{AdmittedPriorities: 3, CallWaitMillis: 20, ColdMillis: 700, TokenIntervalMillis: 55, CallTokenWaitMillis: -110, UrgentTokenWaitMillis: 1, NormalTokenWaitMillis: 2, BulkTokenWaitMillis: 3}, true},
		{[]int64{3, 20, 700, 55, -110, 1, 2, 3, 7801, 9}, Headroom{RateLimit: NewRateLimit(7.8), AdmittedPriorities: 3, CallWaitMillis: 20, ColdMillis: 700, TokenIntervalMillis: 55, CallTokenWaitMillis: -110, UrgentTokenWaitMillis: 1, NormalTokenWaitMillis: 2, BulkTokenWaitMillis: 3}, true},
		{[]int64{3, 20}, Headroom{}, false},
	} {
		payload, err := msgpack.Marshal(c.numbers)
		if err != nil {
			t.Fatal(err)
		}
		headroom := Headroom{TokenIntervalMillis: 7, BulkTokenWaitMillis: 7}
		err = msgpack.Unmarshal(payload, &headroom)
		if (err == nil) != c.ok || (c.ok && headroom != c.want) {
			t.Errorf("%v: %+v, error %v", c.numbers, headroom, err)
		}
	}
}

func TestHeadroomAfterElapsedTime(t *testing.T) {
	reported := Headroom{AdmittedPriorities: 2, ColdMillis: 1000, TokenIntervalMillis: 55, BulkTokenWaitMillis: 200}
	for _, c := range []struct {
		elapsed time.Duration
		want    Headroom
	}{
		{-time.Second, reported},
		{0, reported},
		{150 * time.Millisecond, Headroom{AdmittedPriorities: 2, ColdMillis: 850, TokenIntervalMillis: 55, BulkTokenWaitMillis: 50}},
		{300 * time.Millisecond, Headroom{AdmittedPriorities: 2, ColdMillis: 700, TokenIntervalMillis: 55}},
		{2 * time.Second, Headroom{AdmittedPriorities: 2}},
	} {
		if got := reported.After(c.elapsed); got != c.want {
			t.Errorf("after %s: %+v, want %+v", c.elapsed, got, c.want)
		}
	}
	limited := Headroom{RateLimit: NewRateLimit(8), TokenIntervalMillis: 125, UrgentTokenWaitMillis: 80}
	if got := limited.After(50 * time.Millisecond); got.TokenIntervalMillis != 125 || got.UrgentTokenWaitMillis != 30 {
		t.Errorf("a limited server after 50 ms: %+v", got)
	}
	unusedTokens := Headroom{ColdMillis: 1000, TokenIntervalMillis: 55, BulkTokenWaitMillis: -110}
	if got := unusedTokens.After(100 * time.Millisecond); got.BulkTokenWaitMillis != -110 {
		t.Errorf("a negative wait for a token changed: %+v", got)
	}
}

// Nodes of an older build reject a message with a different number of fields, so the number
// must not change.
func TestFieldCountsOfRequestAndResponse(t *testing.T) {
	for _, c := range []struct {
		message Message
		fields  int
	}{
		{&Request{Requirements: &Requirements{AimMillis: 1}, Call: true}, requestFields},
		{&Response{Origin: 2}, responseFields},
	} {
		frame, err := NewEncoder().Append(nil, c.message)
		if err != nil {
			t.Fatal(err)
		}
		d := msgpack.NewDecoder(bytes.NewReader(frame[4:]))
		if _, err := d.DecodeUint8(); err != nil {
			t.Fatal(err)
		}
		if n, err := d.DecodeArrayLen(); err != nil || n != c.fields {
			t.Errorf("%T has %d fields, want %d (error %v)", c.message, n, c.fields, err)
		}
	}
}

// The numbers of encoded fields of Request and Response, unchanged since the oldest version
// of the protocol that is still supported.
const (
	requestFields  = 21
	responseFields = 10
)

func TestCallAndOriginAreDecoded(t *testing.T) {
	encoder := NewEncoder()
	var frames []byte
	for _, m := range []Message{
		&Request{ID: 1, Requirements: &Requirements{AimMillis: 1}, Call: true},
		&Request{ID: 2, Requirements: &Requirements{AimMillis: 1}},
		&Response{ID: 1, Origin: 2, Header: Fields{{Name: "A", Value: "b"}}},
		&Response{ID: 2},
	} {
		var err error
		if frames, err = encoder.Append(frames, m); err != nil {
			t.Fatal(err)
		}
	}
	reader := NewReader(bytes.NewReader(frames))
	for _, want := range []bool{true, false} {
		m, err := reader.Next(MaxFrame)
		if err != nil {
			t.Fatal(err)
		}
		if r := m.(*Request); r.Call != want || len(r.Header) != 0 {
			t.Errorf("request %d: call %v, header %v", r.ID, r.Call, r.Header)
		}
	}
	for _, want := range []uint8{2, 0} {
		m, err := reader.Next(MaxFrame)
		if err != nil {
			t.Fatal(err)
		}
		if r := m.(*Response); r.Origin != want || len(r.Header) > 1 {
			t.Errorf("response %d: origin %d, header %v", r.ID, r.Origin, r.Header)
		}
	}
}

func TestRateLimitIsEncoded(t *testing.T) {
	for _, c := range []struct{ perSecond, want float64 }{{0, 0}, {0.001, 0.001}, {7.8, 7.8}, {maxRateLimit, maxRateLimit}, {1e12, maxRateLimit}, {-3, 0}} {
		if got, limited := NewRateLimit(c.perSecond).PerSecond(); !limited || got != c.want {
			t.Errorf("%g becomes %g, limited %v", c.perSecond, got, limited)
		}
	}
	for _, l := range []RateLimit{UnknownRateLimit, NoRateLimit, -77} {
		if got, limited := l.PerSecond(); limited {
			t.Errorf("%d means a limit of %g", l, got)
		}
	}
}
