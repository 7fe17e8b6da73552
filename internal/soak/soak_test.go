// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"testing"
	"time"

	"github.com/ryehaven/ryehaven/internal/process"
)

// patientBounds leave a slow machine the time it takes: what is checked here is
// that nothing is broken, not how fast it goes.
func patientBounds() Bounds {
	b := UsualBounds()
	b.Contact *= 3
	b.Apply *= 5
	b.Drain *= 3
	b.Rollback *= 10
	b.LossSlack *= 10
	return b
}

// Short runs of real processes, one of planned work only and one of everything, and
// every run that ever failed.
func TestShortRuns(t *testing.T) {
	programs := t.TempDir()
	if err := process.Build(programs); err != nil {
		t.Fatal(err)
	}
	runs := append([]Regression{{Seed: 11, Hosts: 4, Length: 6 * time.Second}, {Seed: 18, Hosts: 4, Length: 6 * time.Second}}, Regressions()...)
	for _, run := range runs {
		seed := run.Seed
		report, err := Run(context.Background(), Options{
			Programs: programs,
			Dir:      t.TempDir(),
			Seed:     seed,
			Hosts:    run.Hosts,
			Callers:  2,
			Length:   run.Length,
			Bounds:   patientBounds(),
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Log(report)
		if report.Answered == 0 {
			t.Errorf("seed %d: nothing was answered", seed)
		}
		for _, v := range report.Violations {
			t.Errorf("seed %d: %s: %s", seed, v.Promise, v.Detail)
		}
	}
}
