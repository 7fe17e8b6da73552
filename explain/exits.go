// SPDX-License-Identifier: MIT

package explain

import (
	"fmt"
	"sort"
)

// exitsDuring returns the exits of servers that were running the request or another
// attempt of it, and the nodes' verdicts on whether it caused them. Verdicts that a node
// received from another node are left out.
func (l *Log) exitsDuring() []Step {
	fingerprints := l.fingerprints()
	var steps []Step
	for i := range l.serverExits {
		exit := &l.serverExits[i]
		for _, fields := range objects(exit.Fields["at_work"]) {
			running := Line{Fields: fields}
			if !fingerprints[running.text("print")] {
				continue
			}
			text := fmt.Sprintf("server %s exited %.1f ms after this request (%s), or another attempt of it, began there; requests running there: %d",
				exit.text("server"), running.number("took_ms"), running.text("id"), len(objects(exit.Fields["at_work"])))
			if before, _ := fields["answered_before"].(bool); before {
				text += "; it had answered the same request before"
			}
			steps = append(steps, Step{Host: exit.Host, Text: text, Line: exit})
		}
	}
	for i := range l.verdicts {
		verdict := &l.verdicts[i]
		if fromPeer, _ := verdict.Fields["heard"].(bool); fromPeer || !fingerprints[verdict.text("print")] {
			continue
		}
		text := fmt.Sprintf("verdict %s after %g exits of servers that were running it", verdict.text("now"), verdict.number("ends"))
		if blockedFor := verdict.number("for_ms"); blockedFor > 0 {
			text += fmt.Sprintf(", refused for %.0f s", blockedFor/1000)
		}
		steps = append(steps, Step{Host: verdict.Host, Text: text, Line: verdict})
	}
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].Line.Time.Before(steps[j].Line.Time) })
	return steps
}

// fingerprints returns the fingerprints of the log's request; none for a log of all
// requests.
func (l *Log) fingerprints() map[string]bool {
	found := map[string]bool{}
	if l.id == "" {
		return found
	}
	for i := range l.requests {
		if p := l.requests[i].text("print"); p != "" {
			found[p] = true
		}
	}
	for i := range l.serverExits {
		for _, fields := range objects(l.serverExits[i].Fields["at_work"]) {
			if running := (Line{Fields: fields}); running.text("id") == l.id {
				found[running.text("print")] = true
			}
		}
	}
	return found
}
