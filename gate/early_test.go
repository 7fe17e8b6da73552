// SPDX-License-Identifier: MIT

package gate_test

import (
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/internal/faultproxy"
	"github.com/ryehaven/ryehaven/wire"
)

// Callers got 504 before their time was up, while servers worked on their requests; around a
// planned stop that is an answer lost. A gate does not know when a request was sent, since
// the two hosts' clocks have no common start. Where the connection between them had opened
// slowly it took the request for as much older, for as long as the connection lived, and
// ended the run: "read answer: fasthttp: timeout" 993.4 ms after the request had come, by a
// limit of 1000 ms, after which its entry said that the deadline had passed.
func TestRunIsNotEndedBeforeItsTimeAfterASlowOpening(t *testing.T) {
	const budget = 700 * time.Millisecond
	b := newBench(t, 2, 0)
	proxy, err := faultproxy.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	proxy.Set(faultproxy.Fault{Delay: 100 * time.Millisecond})
	b.conn = connectBy(t, b.gate, func(address string) string {
		proxy.SetTarget(address)
		return proxy.Address()
	})
	proxy.Set(faultproxy.Fault{})
	began := time.Now()
	call := b.start("/slow", func(r *wire.Request) { r.BudgetMicros = budget.Microseconds() })
	b.running()
	head := b.head(call)
	if took := time.Since(began); took < budget {
		t.Errorf("ended %v after it was sent, its time is %v: %+v", took, budget, head.Reset)
	}
}
