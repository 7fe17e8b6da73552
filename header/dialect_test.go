// SPDX-License-Identifier: MIT

package header

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/wire"
)

func TestParseLoad(t *testing.T) {
	tests := []struct {
		text string
		want Load
		ok   bool
	}{
		{"3,0,8", Load{3, 0, 8, 0}, true},
		{"3, 1, 8, 400", Load{3, 1, 8, 400}, true},
		{"", Load{}, false},
		{"3,0", Load{}, false},
		{"3,0,8,-1", Load{}, false},
		{"3,0,8,x", Load{}, false},
		{"3,0,8,NaN", Load{}, false},
		{"1,2,3,4,5", Load{}, false},
	}
	for _, test := range tests {
		if got, ok := ParseLoad(test.text); got != test.want || ok != test.ok {
			t.Errorf("%q is parsed as %+v, %t", test.text, got, ok)
		}
	}
}

// Fields that nodes set themselves are never forwarded from a caller.
func TestForgedFieldsAreNotForwarded(t *testing.T) {
	d := Dialect{Deadline: "X-D", RequestID: "X-Id", Caller: "X-Caller", Tenant: "X-Tenant", ExpectServer: "X-Expect", NotRun: "X-Not", Load: "X-Load"}
	d.Prepare()
	var received []wire.Field
	for _, name := range []string{"X-D", "X-Id", "X-Caller", "X-Tenant", "x-tenant", "X_Tenant", "X-Expect", "X-Not", "X-Load", "X-Other", "Connection"} {
		received = append(received, wire.Field{Name: name, Value: "v"})
	}
	forwarded := map[string]bool{}
	for _, f := range d.FromRequest(received) {
		forwarded[f.Name] = true
	}
	if len(forwarded) != 1 || !forwarded["X-Other"] {
		t.Errorf("forwarded: %v", forwarded)
	}
}

func TestParseCold(t *testing.T) {
	for _, test := range []struct {
		text string
		want time.Duration
		ok   bool
	}{
		{"", 0, true},
		{"0", 0, true},
		{" 1500.5", 1500500 * time.Microsecond, true},
		{"-1", 0, false},
		{"NaN", 0, false},
		{"1e300", 0, false},
		{"soon", 0, false},
	} {
		if got, ok := ParseCold(test.text); got != test.want || ok != test.ok {
			t.Errorf("%q is parsed as %v, %t", test.text, got, ok)
		}
	}
}

func TestParseRateLimit(t *testing.T) {
	for _, test := range []struct {
		values       []string
		want         float64
		reported, ok bool
	}{
		{nil, 0, false, true},
		{[]string{"7.8"}, 7.8, true, true},
		{[]string{" 0 "}, 0, true, true},
		{[]string{"9", "2.5"}, 2.5, true, true},
		{[]string{"soon", "2.5"}, 2.5, true, false},
		{[]string{"-1"}, 0, false, false},
		{[]string{""}, 0, false, false},
		{[]string{"NaN"}, 0, false, false},
		{[]string{"Inf"}, 0, false, false},
		{[]string{"1e400"}, 0, false, false},
		{[]string{"1e300"}, maxRateLimit, true, true},
	} {
		if got, reported, ok := ParseRateLimit(test.values...); got != test.want || reported != test.reported || ok != test.ok {
			t.Errorf("%q is parsed as %g, %v, %v", test.values, got, reported, ok)
		}
	}
}

func TestIsLeaving(t *testing.T) {
	for value, want := range map[string]bool{"1": true, " 1": true, "": false, "0": false, "yes": false} {
		if IsLeaving(value) != want {
			t.Errorf("%q: leaving %v", value, !want)
		}
	}
}

// What a server reports about its limits reaches the callers too.
func TestReportsOfServersAreForwarded(t *testing.T) {
	d := Dialect{Load: "X-Load", RateLimit: "X-Limit", Leaving: "X-Leaving"}
	d.Prepare()
	var h fasthttp.ResponseHeader
	for _, name := range []string{"X-Load", "X-Limit", "X-Leaving"} {
		h.Set(name, "1")
	}
	forwarded := map[string]bool{}
	for _, f := range d.FromResponse(&h) {
		forwarded[f.Name] = true
	}
	if forwarded["X-Load"] || !forwarded["X-Limit"] || !forwarded["X-Leaving"] {
		t.Errorf("forwarded: %v", forwarded)
	}
}
