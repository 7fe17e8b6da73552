// SPDX-License-Identifier: MIT

package entry

import (
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/header"
	"github.com/ryehaven/ryehaven/wire"
)

func reportingEntry() *Entry {
	return New(Settings{Dialect: header.Dialect{RateLimit: "X-Limit"}}, nil)
}

// The limit that a server reports is sent to its gate with each request.
func TestRateLimitIsSentToTheGate(t *testing.T) {
	e := reportingEntry()
	s := coldService(time.Now())
	r := &request{service: s, began: time.Now()}
	attemptAt := func() *attempt {
		a := r.startAttempt(time.Now(), s.pool.Servers()[0])
		a.began = time.Now()
		return a
	}
	a := attemptAt()
	if m := r.requirements(time.Now(), a); m != nil {
		t.Errorf("requirements %+v before any response", m)
	}
	e.observeServerState(s, a, &wire.Response{Status: 200, Header: wire.Fields{{Name: "X-Limit", Value: "7.5"}}})
	a = attemptAt()
	if m := r.requirements(time.Now(), a); m == nil || m.RateLimit != wire.NewRateLimit(7.5) {
		t.Errorf("requirements %+v after a response with a limit", m)
	}
	e.observeServerState(s, a, &wire.Response{Status: 200})
	if m := r.requirements(time.Now(), attemptAt()); m != nil {
		t.Errorf("requirements %+v after a response without a limit", m)
	}
}
