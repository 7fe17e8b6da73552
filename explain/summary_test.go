// SPDX-License-Identifier: MIT

package explain

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// entryLine returns an entry's log line about a request with an aim of 100 ms; rest holds
// further fields.
func entryLine(id, rest string) string {
	return fmt.Sprintf(`{"ts":"2026-01-01T00:00:10Z","msg":"request","host":"h","id":%q,"route":"h/a/","aim_ms":100,%s}`+"\n", id, rest)
}

func gateLine(id, rest string) string {
	return fmt.Sprintf(`{"ts":"2026-01-01T00:00:10Z","msg":"job","host":"g","id":%q,%s}`+"\n", id, rest)
}

func TestLossesOfRequests(t *testing.T) {
	answered := `"outcome":"answered","status":200,"took_ms":%d,"attempts":[{"began_ms":%d,"outcome":"answered"}]`
	late := fmt.Sprintf(answered, 400, 0)
	refused := `"outcome":"not-run","status":503,"took_ms":5,"attempts":[{"reason":%q}]`
	for _, test := range []struct {
		want Loss
		log  string
	}{
		{LossNone, entryLine("1", fmt.Sprintf(answered, 100, 0))},
		{CallerLeft, entryLine("1", `"outcome":"caller-gone","took_ms":50`)},
		{RefusedNoServer, entryLine("1", `"outcome":"not-run","status":503,"took_ms":5`)},
		{RefusedStopping, entryLine("1", `"outcome":"not-run","status":503,"detail":"this node stops and could not wait for the answer"`)},
		{RefusedCalls, entryLine("1", `"outcome":"not-run","status":503,"detail":"refused: calls, room for them is 0.20"`)},
		{RefusedWrong, entryLine("1", `"outcome":"not-run","status":404,"detail":"no service of the table is meant by the Host field and the path"`)},
		{RefusedKey, entryLine("1", `"outcome":"not-run","status":401,"detail":"the key is not known"`)},
		{RefusedKey, entryLine("1", `"outcome":"not-run","status":401,"detail":"the route asks for one Authorization field with one bearer key"`)},
		{RefusedQuota, entryLine("1", `"outcome":"not-run","status":429,"detail":"tenant \"t\" is above its quota of 5 requests a second"`)},
		{RefusedOldTable, entryLine("1", `"outcome":"not-run","status":503,"detail":"this node can't know whether it has the newest keys"`)},
		{RefusedOldTable, entryLine("1", `"outcome":"not-run","status":503,"detail":"the key is not known, by a table that may be an old one"`)},
		{RefusedOldTable, entryLine("1", `"outcome":"not-run","status":503,"detail":"the table in force does not know the route, and may be an old one"`)},
		{RefusedNoTable, entryLine("1", `"outcome":"not-run","status":503,"detail":"this node has no table yet"`)},
		{RefusedCold, entryLine("1", `"outcome":"not-run","status":503,"detail":"the service's backend servers are cold and don't bear one more request now"`)},
		{RefusedFull, entryLine("1", fmt.Sprintf(refused, "overload"))},
		{RefusedSlow, entryLine("1", fmt.Sprintf(refused, "slow"))},
		{RefusedCold, entryLine("1", fmt.Sprintf(refused, "cold"))},
		{RefusedLimit, entryLine("1", `"outcome":"not-run","status":503,"detail":"the service's backend servers report rate limits that leave no room for one more request now"`)},
		{RefusedLimit, entryLine("1", fmt.Sprintf(refused, "rate-limit"))},
		{RefusedLate, entryLine("1", fmt.Sprintf(refused, "late"))},
		{RefusedLeaving, entryLine("1", fmt.Sprintf(refused, "draining"))},
		{RefusedDeadline, entryLine("1", fmt.Sprintf(refused, "deadline"))},
		{RefusedOther, entryLine("1", fmt.Sprintf(refused, "connect"))},
		{FailedTimeout, entryLine("1", `"outcome":"answered","status":504,"took_ms":400`)},
		{FailedTimeout, entryLine("1", `"outcome":"unknown","status":504,"took_ms":400`)},
		{FailedServer, entryLine("1", `"outcome":"answered","status":500,"took_ms":40`)},
		{FailedLost, entryLine("1", `"outcome":"unknown","status":502,"took_ms":40`)},
		{LateSlow, entryLine("1", late) + gateLine("1", `"took_ms":390,"began_slowness":500`)},
		{LateCold, entryLine("1", late) + gateLine("1", `"took_ms":390,"began_slowness":200`)},
		{LateQueued, entryLine("1", late) + gateLine("1", `"took_ms":290,"waited_ms":110,"began_slowness":100`)},
		{LateBeforeSend, entryLine("1", fmt.Sprintf(answered, 400, 150)) + gateLine("1", `"took_ms":250,"began_slowness":100`)},
		{LateCall, entryLine("1", late) + entryLine("1.9", fmt.Sprintf(answered, 250, 0)) + gateLine("1", `"took_ms":390,"began_slowness":100`)},
		{LateOwnWork, entryLine("1", late) + gateLine("1", `"took_ms":390,"began_slowness":100`)},
		{LateOwnWork, entryLine("1", late)},
		{LateAfterRefusal, entryLine("1", fmt.Sprintf(answered, 60, 0)+`,"age_ms":50`)},
		{LossNone, entryLine("1", fmt.Sprintf(answered, 60, 0)+`,"age_ms":30`)},
		{LateOwnWork, entryLine("1", late+`,"age_ms":50`)},
	} {
		log := NewLog("")
		if err := log.Read(strings.NewReader(test.log)); err != nil {
			t.Fatal(err)
		}
		if got := log.finishedRequests()[0].loss(); got != test.want {
			t.Errorf("loss %q, want %q\n%s", got, test.want, test.log)
		}
	}
}

func TestSummary(t *testing.T) {
	log := NewLog("")
	text := ""
	for i := range 10 {
		text += entryLine(fmt.Sprint("good", i), `"outcome":"answered","status":200,"took_ms":50`)
	}
	text += entryLine("bad1", `"outcome":"answered","status":500,"took_ms":50`)
	text += entryLine("bad2", `"outcome":"answered","status":500,"took_ms":5000`)
	text += "a line that is not JSON {\n"
	if err := log.Read(strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	s := log.Summarize(2 * time.Second)
	if len(s.Intervals) != 2 || s.Intervals[0].Requests != 1 || s.Intervals[1].Good != 10 || log.Skipped != 1 {
		t.Errorf("intervals %+v, %d lines skipped", s.Intervals, log.Skipped)
	}
	all := s.LossesByRoute()
	if len(all) != 1 || all[0].Count != 2 || all[0].Loss != FailedServer || all[0].Example != "bad2" {
		t.Errorf("losses %+v", all)
	}
	var out strings.Builder
	if err := WriteSummary(&out, s); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"16.7%", "bad2", "failed: error of the server (1)"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("%q is not in\n%s", part, out.String())
		}
	}
}
