// SPDX-License-Identifier: MIT

// Package explain reconstructs the path of one request from the logs of several
// nodes, and counts the reasons for which requests were not answered within their
// latency objectives (aims).
//
// The clocks of nodes differ, so lines of different nodes are not ordered by time: a
// gate's line is listed under the entry's attempt at the gate's server, and a change of
// state is listed under the attempt at the server that it is about.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Line is one line of a log. Fields holds all its keys, also those of the other fields.
type Line struct {
	Host   string         `json:"host"`
	Kind   string         `json:"kind"`
	Time   time.Time      `json:"time"`
	Fields map[string]any `json:"fields"`
}

func (l Line) text(name string) string {
	v, _ := l.Fields[name].(string)
	return v
}

func (l Line) number(name string) float64 {
	v, _ := l.Fields[name].(float64)
	return v
}

// The kinds of log line that are about requests and servers: the values of the key
// "msg".
const (
	kindRequest       = "request"
	kindGateRequest   = "job"
	kindServerHealth  = "belief"
	kindServerChanged = "backend server changed"
	kindTableInForce  = "table in force"
	kindMember        = "member"
	kindServerExit    = "server ended"
	kindVerdict       = "blame"
)

// nodeEventKinds are the kinds of log line that are about a node as a whole.
var nodeEventKinds = map[string]bool{
	"node started":      true,
	"node stopping":     true,
	"node stopped":      true,
	"settings reloaded": true,
	"store lost":        true,
	"store regained":    true,
}

// Log collects, from the logs of several nodes, the lines that help to explain one
// request or all requests.
type Log struct {
	id           string
	requests     []Line
	gateRequests []Line
	// stateChanges are lines about changed states of servers and members, and about new
	// tables; nodeEvents are lines of nodeEventKinds.
	stateChanges []Line
	nodeEvents   []Line
	// serverExits are lines about servers that exited with requests running; verdicts are
	// lines about requests that may have caused exits.
	serverExits, verdicts []Line
	// hostOfServer is the host of each backend server.
	hostOfServer map[string]string
	// Skipped is the number of lines with a JSON object that could not be decoded.
	Skipped int
}

// NewLog returns an empty log for the request with an ID. With a blank ID the log collects
// all requests, for Summarize.
func NewLog(id string) *Log { return &Log{id: id, hostOfServer: map[string]string{}} }

// Read adds the lines of one file. It ignores text before a line's JSON object, as some
// log collectors add it, and lines without an object.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		at := strings.IndexByte(text, '{')
		if at < 0 {
			continue
		}
		l.add(text[at:])
	}
	return eris.Wrap(scanner.Err(), "read log")
}

func (l *Log) add(text string) {
	var fields map[string]any
	if json.Unmarshal([]byte(text), &fields) != nil {
		l.Skipped++
		return
	}
	line := Line{Fields: fields}
	line.Host, line.Kind = line.text("host"), line.text("msg")
	line.Time, _ = time.Parse(time.RFC3339Nano, line.text("ts"))
	wanted := l.id == "" || line.text("id") == l.id
	switch {
	case line.Kind == kindRequest && wanted:
		l.requests = append(l.requests, line)
	case line.Kind == kindGateRequest && wanted:
		l.gateRequests = append(l.gateRequests, line)
		l.hostOfServer[line.text("server")] = line.Host
	case line.Kind == kindServerChanged:
		l.stateChanges = append(l.stateChanges, line)
		l.hostOfServer[line.text("id")] = line.Host
	case line.Kind == kindServerHealth, line.Kind == kindTableInForce, line.Kind == kindMember:
		l.stateChanges = append(l.stateChanges, line)
	case line.Kind == kindServerExit:
		l.serverExits = append(l.serverExits, line)
	case line.Kind == kindVerdict:
		l.verdicts = append(l.verdicts, line)
	case nodeEventKinds[line.Kind]:
		l.nodeEvents = append(l.nodeEvents, line)
	}
}

// Step is one line of a request's trace.
type Step struct {
	// Depth is the level of nesting: 0 for a request, 1 for its attempts, 2 for what is
	// known about an attempt.
	Depth int    `json:"depth"`
	Host  string `json:"host"`
	Text  string `json:"text"`
	Line  *Line  `json:"line,omitempty"`
}

// ErrNotFound says that the logs have no line about the request.
var ErrNotFound = eris.New("these logs have no line about the request; only a sample of the successful requests is logged")

// Trace returns the steps of the log's request: its lines by time, each followed by its
// attempts, then gates' lines without an attempt, then exits of servers.
func (l *Log) Trace() ([]Step, error) {
	if len(l.requests) == 0 && len(l.gateRequests) == 0 {
		return nil, ErrNotFound
	}
	sort.SliceStable(l.requests, func(i, j int) bool { return l.requests[i].Time.Before(l.requests[j].Time) })
	usedGateRequests := map[int]bool{}
	var steps []Step
	for i := range l.requests {
		steps = append(steps, l.requestSteps(&l.requests[i], usedGateRequests)...)
	}
	for i := range l.gateRequests {
		if !usedGateRequests[i] {
			steps = append(steps, l.gateStep(0, &l.gateRequests[i]))
		}
	}
	return append(steps, l.exitsDuring()...), nil
}

func (l *Log) requestSteps(line *Line, usedGateRequests map[int]bool) []Step {
	text := fmt.Sprintf("request to %s (service %s) ended %s with %g after %.1f ms; aim %.0f ms, limit %.0f ms, table %g",
		line.text("route"), line.text("service"), line.text("outcome"), line.number("status"), line.number("took_ms"),
		line.number("aim_ms"), line.number("limit_ms"), line.number("generation"))
	if confirmed, known := line.Fields["confirmed_ms"].(float64); known && confirmed >= 0 {
		text += fmt.Sprintf(", confirmed %.0f ms before", confirmed)
	}
	if sinceFirst := line.number("age_ms"); sinceFirst > 0 {
		text += fmt.Sprintf(", its caller first sent it %.0f ms before", sinceFirst)
	}
	if detail := line.text("detail"); detail != "" {
		text += ": " + detail
	}
	if denied, _ := line.Fields["denied_by_budget"].(bool); denied {
		text += "; the retry budget did not allow another attempt"
	}
	steps := []Step{{Host: line.Host, Text: text, Line: line}}
	for _, c := range objects(line.Fields["candidates"]) {
		steps = append(steps, Step{Depth: 1, Host: line.Host, Text: "candidate " + candidateText(c)})
	}
	steps = append(steps, l.nodeEventsNear(1, line.Host, line)...)
	for _, a := range objects(line.Fields["attempts"]) {
		steps = append(steps, l.attemptSteps(line, Line{Fields: a}, usedGateRequests)...)
	}
	return steps
}

func candidateText(fields map[string]any) string {
	c := Line{Fields: fields}
	text := fmt.Sprintf("%s: slowness %g%% (%g ms old), load %g of %g", c.text("server"), c.number("slowness"),
		c.number("age_ms"), c.number("load"), c.number("limit"))
	if trouble := c.text("trouble"); trouble != "" {
		text += ", " + trouble
	}
	return text
}

func (l *Log) attemptSteps(request *Line, a Line, usedGateRequests map[int]bool) []Step {
	text := fmt.Sprintf("at %.1f ms sent to %s at %s: %s after %.1f ms", a.number("began_ms"), a.text("server"),
		a.text("node"), a.text("outcome"), a.number("took_ms"))
	if hedge, _ := a.Fields["hedge"].(bool); hedge {
		text = "hedge " + text
	}
	if status := a.number("status"); status != 0 {
		text += fmt.Sprintf(", status %g", status)
	}
	if reason := a.text("reason"); reason != "" {
		text += ", " + reason
	}
	steps := []Step{{Depth: 1, Host: request.Host, Text: text}}
	for i := range l.gateRequests {
		if !usedGateRequests[i] && l.gateRequests[i].text("server") == a.text("server") && l.gateRequests[i].text("from") == request.Host {
			usedGateRequests[i] = true
			steps = append(steps, l.gateStep(2, &l.gateRequests[i]))
			break
		}
	}
	steps = append(steps, l.stateChangesNear(a.text("server"), request)...)
	if host := l.hostOfServer[a.text("server")]; host != request.Host {
		steps = append(steps, l.nodeEventsNear(2, host, request)...)
	}
	return steps
}

// nodeEventsNear returns the events of a host's node shortly before or after a request
// ended. It compares the times of different hosts' clocks as they are.
func (l *Log) nodeEventsNear(depth int, host string, request *Line) []Step {
	var steps []Step
	for i := range l.nodeEvents {
		event := &l.nodeEvents[i]
		age := request.Time.Sub(event.Time)
		if event.Host != host || age < -nearSpan || age > nearSpan {
			continue
		}
		text := event.Kind
		if fault := event.text("error"); fault != "" {
			text += ": " + fault
		}
		steps = append(steps, Step{Depth: depth, Host: host, Text: fmt.Sprintf("%s, %.1f s before the request ended", text, age.Seconds()), Line: event})
	}
	return steps
}

func (l *Log) gateStep(depth int, line *Line) Step {
	text := fmt.Sprintf("gate of %s: %s after %.1f ms in its queue and %.1f ms at the server; then %g in flight of %g, %g queued, slowness %g%%",
		line.text("server"), line.text("outcome"), line.number("waited_ms"), line.number("took_ms"), line.number("in_flight"),
		line.number("limit"), line.number("queued"), line.number("slowness"))
	if reason := line.text("reason"); reason != "" {
		text += ": " + reason
	}
	return Step{Depth: depth, Host: line.Host, Text: text, Line: line}
}

// nearSpan is how long before or after the end of a request an event may be to be listed
// with the request.
const nearSpan = 5 * time.Second

// stateChangesNear returns the changes of a server's state shortly before or after the
// request ended. It compares the times of different hosts' clocks as they are.
func (l *Log) stateChangesNear(server string, request *Line) []Step {
	var steps []Step
	for i := range l.stateChanges {
		change := &l.stateChanges[i]
		if change.text("server") != server && change.text("id") != server {
			continue
		}
		if age := request.Time.Sub(change.Time); age < -nearSpan || age > nearSpan {
			continue
		}
		text := fmt.Sprintf("%s: %s %s", change.Kind, server, change.text("now")+change.stateOfServer())
		if why := change.text("why"); why != "" {
			text += " (" + why + ")"
		}
		steps = append(steps, Step{Depth: 2, Host: change.Host, Text: text, Line: change})
	}
	return steps
}

// stateOfServer returns the state of a server in a line, or a blank text.
func (l Line) stateOfServer() string {
	if l.Kind == kindMember {
		return l.text("server_state")
	}
	return l.text("state")
}

func objects(v any) []map[string]any {
	list, _ := v.([]any)
	var found []map[string]any
	for _, item := range list {
		if o, ok := item.(map[string]any); ok {
			found = append(found, o)
		}
	}
	return found
}

// Write prints steps, indented by their depth.
func Write(w io.Writer, steps []Step) error {
	for _, s := range steps {
		if _, err := fmt.Fprintf(w, "%s%-24s %s\n", strings.Repeat("    ", s.Depth), s.Host, s.Text); err != nil {
			return err
		}
	}
	return nil
}
