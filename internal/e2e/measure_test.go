// SPDX-License-Identifier: MIT

package e2e

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/internal/process"
	"github.com/ryehaven/ryehaven/standin"
)

// checkMeasuring holds the number of measuring calls that each server got
// against its row's budget. A bucket starts empty and holds one call.
func checkMeasuring(t *testing.T, s *process.Site, passed time.Duration) {
	t.Helper()
	for _, server := range s.Servers {
		_, body, err := fasthttp.GetTimeout(nil, "http://"+server.Address+standin.RunsPath, 5*time.Second)
		if err != nil {
			t.Errorf("ask %s for its count: %v", server.Name, err)
			continue
		}
		var counted struct {
			Reports int64 `json:"reports"`
		}
		if err := json.Unmarshal(body, &counted); err != nil {
			t.Fatal(err)
		}
		// The site was started before passed began, with a few seconds' worth.
		most := int64((passed+siteStart).Seconds()*measureRate) + 1
		if counted.Reports > most {
			t.Errorf("%s was measured %d times, its budget is %d", server.Name, counted.Reports, most)
		}
	}
}

// siteStart bounds the time from the first node's start to the workload's.
const siteStart = 5 * time.Second
