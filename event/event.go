// SPDX-License-Identifier: MIT

package event

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// Outcome is how a request or an attempt ended.
type Outcome string

// The outcomes.
const (
	// Answered requests received an answer from a backend server.
	Answered Outcome = "answered"
	// NotRun requests were refused before any server ran them.
	NotRun Outcome = "not-run"
	// Unknown requests were sent to a server and have no complete answer.
	Unknown Outcome = "unknown"
	// CallerGone requests were abandoned by their callers.
	CallerGone Outcome = "caller-gone"
)

// Candidate is the state of a server, as known to the entry, when the entry chose
// between servers.
type Candidate struct {
	Server string
	// Slowness is the response time in percent of the usual one, 0 if it was never
	// reported. SlownessAge is the age of that report.
	Slowness    int
	SlownessAge time.Duration
	// Load is the expected number of requests at the server, and Limit the number that
	// its gate allows to run at a time.
	Load  float64
	Limit float64
	// AvoidReason is why the server is avoided; empty if it is not.
	AvoidReason string
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (c Candidate) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("server", c.Server)
	e.AddInt("slowness", c.Slowness)
	e.AddInt64("age_ms", c.SlownessAge.Milliseconds())
	e.AddFloat64("load", float64(int(c.Load*10))/10)
	e.AddFloat64("limit", c.Limit)
	if c.AvoidReason != "" {
		e.AddString("trouble", c.AvoidReason)
	}
	return nil
}

// Candidates is a list of candidates that zap encodes as an array.
type Candidates []Candidate

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (c Candidates) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for _, candidate := range c {
		if err := e.AppendObject(candidate); err != nil {
			return err
		}
	}
	return nil
}

// Attempt is one attempt to have a server answer a request.
type Attempt struct {
	Server string
	// Node is the address of the server's node.
	Node string
	// StartedAfter is the time from the request's arrival to the start of the attempt.
	StartedAfter time.Duration
	Took         time.Duration
	// Hedge is set if the attempt was sent while another one was in flight.
	Hedge   bool
	Outcome string
	// Reason is why the attempt was refused, and Detail why its node was not reached.
	Reason, Detail string
	// Status is the HTTP status of the server's answer; 0 without an answer.
	Status int
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (a Attempt) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("server", a.Server)
	e.AddString("node", a.Node)
	e.AddFloat64("began_ms", millis(a.StartedAfter))
	e.AddFloat64("took_ms", millis(a.Took))
	e.AddString("outcome", a.Outcome)
	if a.Hedge {
		e.AddBool("hedge", true)
	}
	if a.Reason != "" {
		e.AddString("reason", a.Reason)
	}
	if a.Detail != "" {
		e.AddString("detail", a.Detail)
	}
	if a.Status != 0 {
		e.AddInt("status", a.Status)
	}
	return nil
}

// Attempts is a list of attempts that zap encodes as an array.
type Attempts []Attempt

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (a Attempts) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for _, attempt := range a {
		if err := e.AppendObject(attempt); err != nil {
			return err
		}
	}
	return nil
}

// Request records how an entry handled one request.
type Request struct {
	ID      string
	Route   string
	Service string
	// Tenant is the tenant that the request's key belongs to; empty without a key.
	Tenant string
	// Generation is the table's generation, and MembersHash a hash of the member
	// records, that the decision was based on. TableConfirmedAge is how long before the
	// decision the table was confirmed as the newest; negative if it never was.
	Generation        uint64
	MembersHash       uint64
	TableConfirmedAge time.Duration
	Outcome           Outcome
	Status            int
	Detail            string
	Took              time.Duration
	// Aim is the latency objective of the route, and Limit the time from the request's
	// arrival to its deadline.
	Aim        time.Duration
	Limit      time.Duration
	RetryAfter time.Duration
	// Age is how long ago the caller sent the request for the first time, as far as the
	// entry knows; 0 for a first attempt.
	Age time.Duration
	// RetryDenied is set if the retry budget did not allow another attempt.
	RetryDenied bool
	// Fingerprint is the same for all attempts and retries of the request; empty unless
	// a backend server has exited with the request in flight.
	Fingerprint string
	Candidates  Candidates
	Attempts    Attempts
}

// Message implements Event.
func (*Request) Message() string { return "request" }

// RequestID implements Event.
func (r *Request) RequestID() string { return r.ID }

// Unusual implements Event.
func (r *Request) Unusual() bool {
	return r.Outcome != Answered || r.Status >= 500 || len(r.Attempts) != 1 || (r.Aim > 0 && r.Age+r.Took > r.Aim)
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (r *Request) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("id", r.ID)
	e.AddString("route", r.Route)
	e.AddString("service", r.Service)
	if r.Tenant != "" {
		e.AddString("tenant", r.Tenant)
	}
	e.AddUint64("generation", r.Generation)
	e.AddUint64("members", r.MembersHash)
	e.AddInt64("confirmed_ms", r.TableConfirmedAge.Milliseconds())
	e.AddString("outcome", string(r.Outcome))
	e.AddInt("status", r.Status)
	if r.Detail != "" {
		e.AddString("detail", r.Detail)
	}
	e.AddFloat64("took_ms", millis(r.Took))
	e.AddFloat64("aim_ms", millis(r.Aim))
	e.AddFloat64("limit_ms", millis(r.Limit))
	if r.RetryAfter > 0 {
		e.AddFloat64("retry_after_ms", millis(r.RetryAfter))
	}
	if r.Age > 0 {
		e.AddFloat64("age_ms", millis(r.Age))
	}
	if r.RetryDenied {
		e.AddBool("denied_by_budget", true)
	}
	if r.Fingerprint != "" {
		e.AddString("print", r.Fingerprint)
	}
	if err := e.AddArray("candidates", r.Candidates); err != nil {
		return err
	}
	return e.AddArray("attempts", r.Attempts)
}

// Job records how a gate handled one request.
type Job struct {
	ID      string
	Server  string
	Service string
	// EntryHost is the host of the entry that sent the request.
	EntryHost string
	Outcome   Outcome
	// Reason is why the request was refused or failed.
	Reason string
	Status int
	// Waited is the time in the queue, and Took the time at the server.
	Waited, Took time.Duration
	// InFlight, Queued and Limit are the gate's values when the request ended.
	InFlight, Queued, Limit int
	// Connection is the kind of the connection to the server; empty if there was none.
	Connection string
	// Slowness is the server's slowness in percent of its usual response time when the
	// request ended, and StartSlowness when the server received it; 0 if not known.
	Slowness, StartSlowness int
}

// Message implements Event.
func (*Job) Message() string { return "job" }

// RequestID implements Event.
func (j *Job) RequestID() string { return j.ID }

// Unusual implements Event.
func (j *Job) Unusual() bool { return j.Outcome != Answered || j.Status >= 500 }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (j *Job) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("id", j.ID)
	e.AddString("server", j.Server)
	e.AddString("service", j.Service)
	e.AddString("from", j.EntryHost)
	e.AddString("outcome", string(j.Outcome))
	if j.Reason != "" {
		e.AddString("reason", j.Reason)
	}
	if j.Status != 0 {
		e.AddInt("status", j.Status)
	}
	e.AddFloat64("waited_ms", millis(j.Waited))
	e.AddFloat64("took_ms", millis(j.Took))
	if j.Connection != "" {
		e.AddString("connection", j.Connection)
	}
	e.AddInt("in_flight", j.InFlight)
	e.AddInt("queued", j.Queued)
	e.AddInt("limit", j.Limit)
	e.AddInt("slowness", j.Slowness)
	e.AddInt("began_slowness", j.StartSlowness)
	return nil
}

// standalone is embedded in events that do not concern a single request. They are not
// sampled; only the rate limit applies to them.
type standalone struct{}

// RequestID implements Event.
func (standalone) RequestID() string { return "" }

// Unusual implements Event.
func (standalone) Unusual() bool { return true }

// States of a server in [ServerHealth] events.
const (
	Ejected   = "ejected"
	Suspected = "suspected"
	Recovered = "regained"
	Leaving   = "leaving"
)

// ServerHealth is a change of an entry's assessment of a server.
type ServerHealth struct {
	standalone

	Service string
	Server  string
	Node    string
	// State is the new state.
	State string
	// Reason is the observation that led to the change.
	Reason string
}

// Message implements Event.
func (*ServerHealth) Message() string { return "belief" }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (b *ServerHealth) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("service", b.Service)
	e.AddString("server", b.Server)
	e.AddString("node", b.Node)
	e.AddString("now", b.State)
	e.AddString("why", b.Reason)
	return nil
}

// StalledConnection is a connection to a backend server on which a probe was not
// answered.
type StalledConnection struct {
	standalone

	Service string
	Server  string
	// Connection is the kind of the connection, and Age its age.
	Connection string
	Age        time.Duration
	// Waited is the time since the probe was sent.
	Waited time.Duration
	// AnsweredOnNew is set if the server answered a probe on a new connection meanwhile,
	// and ProbeOverBudget if the probe budget did not allow a probe on a new one.
	AnsweredOnNew, ProbeOverBudget bool
}

// Message implements Event.
func (*StalledConnection) Message() string { return "mute" }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (m *StalledConnection) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("service", m.Service)
	e.AddString("server", m.Server)
	e.AddString("connection", m.Connection)
	e.AddFloat64("age_ms", millis(m.Age))
	e.AddFloat64("waited_ms", millis(m.Waited))
	e.AddBool("answers_on_a_new_one", m.AnsweredOnNew)
	if m.ProbeOverBudget {
		e.AddBool("not_asked_on_a_new_one", true)
	}
	return nil
}

// ServerCold reports that a backend server, which its gate had taken for warm, is cold.
type ServerCold struct {
	standalone

	Service string
	Server  string
	// Remaining is how much longer the server stays cold.
	Remaining time.Duration
	// ProbeNeededFor is for how long the gate had reason to probe whether the server is
	// cold, 0 if it had none. Sent is the number of requests sent to the server in that
	// time. SkippedPending and SkippedOverBudget are how often the gate did not probe
	// because another probe was pending or the probe budget was used up.
	ProbeNeededFor                          time.Duration
	Sent, SkippedPending, SkippedOverBudget int
}

// Message implements Event.
func (*ServerCold) Message() string { return "server is cold" }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (c *ServerCold) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("service", c.Service)
	e.AddString("server", c.Server)
	e.AddFloat64("left_ms", millis(c.Remaining))
	e.AddFloat64("wanted_ms", millis(c.ProbeNeededFor))
	e.AddInt("sent", c.Sent)
	e.AddInt("not_asked_waiting", c.SkippedPending)
	e.AddInt("not_asked_unpaid", c.SkippedOverBudget)
	return nil
}

// ResponseKind is the kind of a backend server's response.
type ResponseKind string

// The kinds of responses.
const (
	// RunResponse is the response to a request that the server ran without a server error.
	RunResponse ResponseKind = "answer"
	// FailureResponse is the response to a request that the server rejected or failed.
	FailureResponse ResponseKind = "failure"
	// ProbeResponse is the response to a probe.
	ProbeResponse ResponseKind = "probe"
)

// ServerRateLimit reports that a backend server has set, changed or lifted the limit on the rate
// of its requests, or that it sent an invalid one, which changes nothing.
type ServerRateLimit struct {
	standalone

	Service string
	Server  string
	// Limited is whether a limit is in force now, and PerSecond the limit in requests per
	// second.
	Limited   bool
	PerSecond float64
	// Response is the kind of the response that says so; blank if an entry knew the limit.
	Response ResponseKind
	// Invalid is the invalid value, if there was one.
	Invalid string
}

// Message implements Event.
func (*ServerRateLimit) Message() string { return "server rate limit" }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (r *ServerRateLimit) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("service", r.Service)
	e.AddString("server", r.Server)
	e.AddBool("limited", r.Limited)
	if r.Limited {
		e.AddFloat64("per_second", r.PerSecond)
	}
	if r.Response != "" {
		e.AddString("response", string(r.Response))
	}
	if r.Invalid != "" {
		e.AddString("invalid", r.Invalid)
	}
	return nil
}

// ServerLeaving reports that a backend server has reported in a response that it is leaving.
type ServerLeaving struct {
	standalone

	Service  string
	Server   string
	Response ResponseKind
}

// Message implements Event.
func (*ServerLeaving) Message() string { return "server is leaving" }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (l *ServerLeaving) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("service", l.Service)
	e.AddString("server", l.Server)
	e.AddString("response", string(l.Response))
	return nil
}

// Member is a change of the record that a node holds of another node.
type Member struct {
	standalone

	Host        string
	Address     string
	Incarnation uint64
	State       string
	// Server is the backend server on the same host; empty while none is known.
	Server      string
	ServerState string
}

// Message implements Event.
func (*Member) Message() string { return "member" }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (m *Member) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("member", m.Host)
	e.AddString("address", m.Address)
	e.AddUint64("incarnation", m.Incarnation)
	e.AddString("state", m.State)
	if m.Server != "" {
		e.AddString("server", m.Server)
		e.AddString("server_state", m.ServerState)
	}
	return nil
}

// Members summarizes simultaneous changes of many member records, for example after a
// start of the node. One line for each of them would use up the rate limit of the log.
type Members struct {
	standalone

	// Changed is the number of changed records, and Known the number of all records.
	Changed, Known int
	// New counts the changed records of nodes that were unknown before, Restarted those
	// of known nodes with a new incarnation, and Leaving those of nodes that take no
	// new requests.
	New, Restarted, Leaving int
	// Servers counts the changed records whose backend server differs from that of the
	// previous record or is new.
	Servers int
}

// Message implements Event.
func (*Members) Message() string { return "members" }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (m *Members) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddInt("changed", m.Changed)
	e.AddInt("known", m.Known)
	e.AddInt("new", m.New)
	e.AddInt("restarted", m.Restarted)
	e.AddInt("leaving", m.Leaving)
	e.AddInt("servers", m.Servers)
	return nil
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
