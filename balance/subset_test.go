// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"testing"
	"time"
)

func specsOf(n int) []Spec {
	specs := make([]Spec, n)
	for i := range specs {
		specs[i] = Spec{Name: fmt.Sprint("s", i), Node: fmt.Sprint("n", i), Weight: 1, Slots: 4}
		if i%3 != 0 {
			specs[i].Distance = time.Millisecond
		}
	}
	return specs
}

func near(s *Spec) bool { return s.Distance == 0 }

// An entry works with a bounded number of servers, and every server is kept by
// about as many entries.
func TestSubsetIsBoundedAndFair(t *testing.T) {
	kept := map[string]int{}
	const entries = 300
	for e := range entries {
		specs := specsOf(90)
		Subset(fmt.Sprint("entry", e), specs, near)
		nearKept, farKept := 0, 0
		for i := range specs {
			if specs[i].Spare {
				continue
			}
			kept[specs[i].Name]++
			if near(&specs[i]) {
				nearKept++
			} else {
				farKept++
			}
		}
		if nearKept != subsetNear || farKept != subsetFar {
			t.Fatalf("%d near and %d far", nearKept, farKept)
		}
	}
	for _, s := range specsOf(90) {
		mean := float64(entries) * subsetFar / 60
		if near(&s) {
			mean = float64(entries) * subsetNear / 30
		}
		if got := float64(kept[s.Name]); got < 0.4*mean || got > 1.8*mean {
			t.Errorf("%s is kept by %.0f entries, the mean is %.0f", s.Name, got, mean)
		}
	}
}

func TestSmallServicesHaveNoSpares(t *testing.T) {
	specs := specsOf(4)
	Subset("e", specs, near)
	for _, s := range specs {
		if s.Spare {
			t.Errorf("%s is a spare", s.Name)
		}
	}
}

// Spares are picked when all others are in trouble, not before.
func TestSparesAreTheLastResort(t *testing.T) {
	now := start.Add(time.Second)
	p := newTestPool(2, Options{})
	p.servers[1].Spare = true
	for range 20 {
		if s := p.Pick(now, newRand(), nil); s != p.servers[0] {
			t.Fatal("a spare was picked")
		}
	}
	p.Unreachable(now, p.servers[0])
	if s := p.Pick(now, newRand(), nil); s != p.servers[1] {
		t.Error("the spare was not picked")
	}
	if s := p.Pick(now, newRand(), Tried{p.servers[1]}); s != p.servers[0] {
		t.Error("nothing was picked")
	}
}
