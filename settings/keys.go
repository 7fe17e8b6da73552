// SPDX-License-Identifier: MIT

package settings

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ryehaven/ryehaven/balance"
)

// Key describes one key of the settings file.
type Key struct {
	// Name is the key with its table, such as "listen.peer".
	Name string
	// Meaning is a one-line description for operators.
	Meaning string
	// Required keys have no default.
	Required bool

	// set checks a value and stores it in the settings.
	set func(s *Settings, v value) error
}

// value is a TOML value: a string, a number, a boolean or an array of strings.
type value struct {
	kind    kind
	text    string
	number  float64
	boolean bool
	list    []string
}

type kind string

const (
	kindString  kind = "a string"
	kindNumber  kind = "a number"
	kindBool    kind = "true or false"
	kindStrings kind = "an array of strings"
	kindOther   kind = "something else"
)

// Keys returns all keys in the order of the documentation.
func Keys() []Key { return slices.Clone(keys) }

var keys = []Key{
	{"host", "host name of the node, as used in the table and in the platform's list", true, text(func(s *Settings) *string { return &s.Host })},
	{"zone", "availability zone of the host", true, text(func(s *Settings) *string { return &s.Zone })},
	{"region", "region of the zone", true, text(func(s *Settings) *string { return &s.Region })},
	{"listen.caller", "address for callers, IP address and port", true, address(func(s *Settings) *string { return &s.Listen.Caller })},
	{"listen.peer", "address for other nodes", true, address(func(s *Settings) *string { return &s.Listen.Peer })},
	{"listen.advertise", "peer address that is advertised to other nodes; listen.peer if not set", false, address(func(s *Settings) *string { return &s.Listen.Advertise })},
	{"listen.admin", "address for operators; keep it on loopback", true, address(func(s *Settings) *string { return &s.Listen.Admin })},
	{"listen.metrics", "address that serves metrics only; the node runs without it if the port is in use", false, address(func(s *Settings) *string { return &s.Listen.Metrics })},
	{"peers.key", "shared key of all nodes, at least 32 bytes; required without sidecar.control", false, setKey},
	{"peers.ping_after_ms", "how long a node with outstanding work may send no data before it is pinged", false, millis(func(s *Settings) *time.Duration { return &s.Peers.PingAfter }, 1, 10_000)},
	{"peers.suspect_after_ms", "how long a ping may stay unanswered before the node is suspected", false, millis(func(s *Settings) *time.Duration { return &s.Peers.SuspectAfter }, 1, 10_000)},
	{"peers.seeds", "peer addresses to contact while no other node is known", false, setSeeds},
	{"platform.address", "address of the platform's object API", false, address(func(s *Settings) *string { return &s.Platform.Address })},
	{"platform.limit_ms", "timeout of each call to the platform", false, millis(func(s *Settings) *time.Duration { return &s.Platform.CallTimeout }, 10, 60_000)},
	{"platform.in_force_ms", "time after its acceptance within which a change must be in force at every node; determines how often connections to the platform are probed", false, millis(func(s *Settings) *time.Duration { return &s.Platform.InForceWithin }, 100, 60_000)},
	{"platform.evacuations", "whether availability zones may be evacuated; watching for evacuations costs platform calls", false, boolean(func(s *Settings) *bool { return &s.Platform.Evacuations })},
	{"platform.keys_within_ms", "time after its acceptance within which a change of keys must be in force at every node; a node that may have missed such a change refuses requests with keys; 0 for no limit", false, millis(func(s *Settings) *time.Duration { return &s.Platform.KeysInForceWithin }, 0, 600_000)},
	{"limits.header_bytes", "maximum size of a request's head", false, integer(func(s *Settings) *int { return &s.Limits.HeaderBytes }, 1<<10, 1<<20)},
	{"limits.body_bytes", "maximum size of a request's body", false, integer(func(s *Settings) *int { return &s.Limits.BodyBytes }, 1, 1<<33)},
	{"limits.connections", "maximum number of open connections from callers", false, integer(func(s *Settings) *int { return &s.Limits.Connections }, 1, 1_000_000)},
	{"limits.idle_ms", "how long a caller's connection may wait for its next request", false, millis(func(s *Settings) *time.Duration { return &s.Limits.IdleTimeout }, 100, 3_600_000)},
	{"limits.body_idle_ms", "how long the transfer of a body may make no progress", false, millis(func(s *Settings) *time.Duration { return &s.Limits.BodyIdleTimeout }, 100, 3_600_000)},
	{"limits.max_deadline_ms", "longest deadline that a caller may request", false, millis(func(s *Settings) *time.Duration { return &s.Limits.MaxDeadline }, 1, 86_400_000)},
	{"limits.stop_ms", "maximum duration of a planned stop", false, millis(func(s *Settings) *time.Duration { return &s.Limits.StopTimeout }, 100, 3_600_000)},
	{"distance.zone_ms", "round-trip time to another zone in addition to that within a zone", false, millis(func(s *Settings) *time.Duration { return &s.Distance.Zone }, 0, 10_000)},
	{"distance.region_ms", "round-trip time to another region in addition to that within a zone", false, millis(func(s *Settings) *time.Duration { return &s.Distance.Region }, 0, 10_000)},
	{"distance.late_per_mb", "number of late requests that cost as much as a megabyte sent between zones", false, number(func(s *Settings) *float64 { return &s.Distance.LatePerMB }, 0, 1e6)},
	{"distance.factor", "factor by which a server in another zone is assumed to be slower", false, number(func(s *Settings) *float64 { return &s.Distance.Factor }, 1, 1000)},
	{"sidecar.server", "address of the backend server that announces itself to this node", false, address(func(s *Settings) *string { return &s.Sidecar.Server })},
	{"sidecar.service", "service of that server", false, text(func(s *Settings) *string { return &s.Sidecar.Service })},
	{"sidecar.control", "address where the server announces itself", false, address(func(s *Settings) *string { return &s.Sidecar.Control })},
	{"sidecar.ready", "address where the node reports whether it accepts requests", false, address(func(s *Settings) *string { return &s.Sidecar.Ready })},
	{"sidecar.slot_share", "share of the server's slots that its gate uses", false, number(func(s *Settings) *float64 { return &s.Sidecar.SlotShare }, 0.01, 1)},
	{"sidecar.learn_slots", "whether the gate adapts the number of slots that it uses, starting at slot_share, between half and all of the slots that calls may use", false, boolean(func(s *Settings) *bool { return &s.Sidecar.LearnSlots })},
	{"sidecar.call_slot_share", "share of the server's slots that calls made by running requests may use; slot_share if that is larger", false, number(func(s *Settings) *float64 { return &s.Sidecar.CallSlotShare }, 0.01, 1)},
	{"sidecar.measure_after_ms", "how long after its last answer the server is probed; with 0, only the rate in the server's row applies", false, millis(func(s *Settings) *time.Duration { return &s.Sidecar.ProbeAfter }, 0, 60_000)},
	{"sidecar.probes_per_s", "maximum number of probes per second that the server may get; with 0, no probe is sent before requests", false, number(func(s *Settings) *float64 { return &s.Sidecar.ProbesPerSecond }, 0, 1000)},
	{"retries.share", "share of a service's requests that may reach a second server, over all nodes", false, number(func(s *Settings) *float64 { return &s.Retries.Share }, 0, 10)},
	{"retries.extra", "number of requests that may reach a second server in each window in addition to that share", false, number(func(s *Settings) *float64 { return &s.Retries.Extra }, 0, 1e6)},
	{"retries.window_ms", "time window for retries.share and retries.extra; 0 leaves retries to the table", false, millis(func(s *Settings) *time.Duration { return &s.Retries.Window }, 0, 3_600_000)},
	{"cold.overshoot", "maximum request rate of a cold server as a multiple of its cold_per_s", false, number(func(s *Settings) *float64 { return &s.Cold.Overshoot }, 0.01, 1000)},
	{"cold.slack", "number of requests per second allowed in addition to that", false, number(func(s *Settings) *float64 { return &s.Cold.Slack }, 0, 1e6)},
	{"quotas.window_ms", "time window over which tenants' quotas are counted", false, millis(func(s *Settings) *time.Duration { return &s.Quotas.Window }, 100, 3_600_000)},
	{"quotas.overshoot", "share by which a tenant may exceed its quota within the window, over all nodes", false, number(func(s *Settings) *float64 { return &s.Quotas.Overshoot }, 0, 10)},
	{"quotas.slack", "number of requests by which a tenant may exceed its quota in addition to that share", false, number(func(s *Settings) *float64 { return &s.Quotas.Slack }, 0, 1e6)},
	{"overload.whole", "whether a request is admitted only if there is headroom for the calls that it will make, too", false, boolean(func(s *Settings) *bool { return &s.Overload.AdmitWithCalls })},
	{"overload.by_aim", "whether gates order and refuse requests by when their answers are due", false, boolean(func(s *Settings) *bool { return &s.Overload.ByAim })},
	{"overload.returns", "whether retries by callers are distinguished from first attempts", false, boolean(func(s *Settings) *bool { return &s.Overload.DetectCallerRetries })},
	{"log.level", "debug, info, warn or error", false, oneOf(func(s *Settings) *string { return &s.Log.Level }, "debug", "info", "warn", "error")},
	{"log.requests", "one of this many successful requests is logged; 0 logs none", false, integer(func(s *Settings) *int { return &s.Log.SampleEvery }, 0, 1_000_000)},
	{"log.lines_per_s", "maximum number of decision log lines per second", false, integer(func(s *Settings) *int { return &s.Log.LinesPerSecond }, 1, 1_000_000)},
	{"experiment.clock_step_ms", "offset of the time of day that the node reads, positive or negative; for tests", false, millis(func(s *Settings) *time.Duration { return &s.Experiment.ClockStep }, -3_600_000, 3_600_000)},
	{"experiment.policy", "policy that selects servers; for comparisons", false, setPolicy},
	{"experiment.choices", "number of servers that are drawn as candidates; for comparisons", false, integer(func(s *Settings) *int { return &s.Experiment.Balance.Choices }, 0, 1000)},
	{"experiment.no_reports", "ignore the gates' reports; for comparisons", false, boolean(func(s *Settings) *bool { return &s.Experiment.Balance.NoReports })},
	{"experiment.no_silence", "ignore how long a server has not answered; for comparisons", false, boolean(func(s *Settings) *bool { return &s.Experiment.Balance.IgnoreUnanswered })},
	{"experiment.no_notices", "ignore the gates' reports of stalled servers; for comparisons", false, boolean(func(s *Settings) *bool { return &s.Experiment.Balance.NoNotices })},
	{"experiment.no_checks", "never probe a server's speed before a request; for comparisons", false, boolean(func(s *Settings) *bool { return &s.Experiment.Balance.NoChecks })},
	{"experiment.no_await", "never wait for the end of a server's slow period; for comparisons", false, boolean(func(s *Settings) *bool { return &s.Experiment.Balance.NoAwait })},
	{"experiment.no_hedges", "never hedge; for comparisons", false, boolean(func(s *Settings) *bool { return &s.Experiment.NoHedges })},
	{"experiment.no_ejection", "never eject a server; for comparisons", false, boolean(func(s *Settings) *bool { return &s.Experiment.Balance.NoEjection })},
	{"experiment.no_distance", "ignore the distance between zones; for comparisons", false, boolean(func(s *Settings) *bool { return &s.Experiment.Balance.NoDistance })},
	{"experiment.no_retries", "never retry; for comparisons", false, boolean(func(s *Settings) *bool { return &s.Experiment.NoRetries })},
	{"experiment.adaptive_limit", "let a gate lower its limit below the row's slots; for comparisons", false, boolean(func(s *Settings) *bool { return &s.Experiment.AdaptiveLimit })},
	{"experiment.no_deadline_bound", "queue requests that cannot meet their deadline; for comparisons", false, boolean(func(s *Settings) *bool { return &s.Experiment.NoDeadlineBound })},
}

func checkKind(v value, k kind) error {
	if v.kind != k {
		return fmt.Errorf("must be %s", k)
	}
	return nil
}

// The functions text, address, integer, number, millis, boolean and oneOf return the set
// function of a [Key] that checks a value of that type and stores it in the field that at
// points to.

func text(at func(*Settings) *string) func(*Settings, value) error {
	return func(s *Settings, v value) error {
		if err := checkKind(v, kindString); err != nil {
			return err
		}
		if v.text == "" {
			return fmt.Errorf("must not be empty")
		}
		*at(s) = v.text
		return nil
	}
}

func address(at func(*Settings) *string) func(*Settings, value) error {
	return func(s *Settings, v value) error {
		if err := checkKind(v, kindString); err != nil {
			return err
		}
		if err := checkAddress(v.text); err != nil {
			return err
		}
		*at(s) = v.text
		return nil
	}
}

func checkAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address with a port, such as 127.0.0.1:7000", text)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return fmt.Errorf("%q has no port from 0 to 65535", text)
	}
	return nil
}

func integer(at func(*Settings) *int, low, high int) func(*Settings, value) error {
	return func(s *Settings, v value) error {
		if err := checkKind(v, kindNumber); err != nil {
			return err
		}
		n := int(v.number)
		if float64(n) != v.number || n < low || n > high {
			return fmt.Errorf("must be a whole number from %d to %d", low, high)
		}
		*at(s) = n
		return nil
	}
}

func number(at func(*Settings) *float64, low, high float64) func(*Settings, value) error {
	return func(s *Settings, v value) error {
		if err := checkKind(v, kindNumber); err != nil {
			return err
		}
		if !(v.number >= low && v.number <= high) {
			return fmt.Errorf("must be a number from %g to %g", low, high)
		}
		*at(s) = v.number
		return nil
	}
}

func millis(at func(*Settings) *time.Duration, low, high float64) func(*Settings, value) error {
	return func(s *Settings, v value) error {
		if err := checkKind(v, kindNumber); err != nil {
			return err
		}
		if !(v.number >= low && v.number <= high) {
			return fmt.Errorf("must be a number of milliseconds from %g to %g", low, high)
		}
		*at(s) = time.Duration(v.number * float64(time.Millisecond))
		return nil
	}
}

func boolean(at func(*Settings) *bool) func(*Settings, value) error {
	return func(s *Settings, v value) error {
		if err := checkKind(v, kindBool); err != nil {
			return err
		}
		*at(s) = v.boolean
		return nil
	}
}

func oneOf(at func(*Settings) *string, allowed ...string) func(*Settings, value) error {
	return func(s *Settings, v value) error {
		if v.kind != kindString || !slices.Contains(allowed, v.text) {
			return fmt.Errorf("must be one of %s", strings.Join(allowed, ", "))
		}
		*at(s) = v.text
		return nil
	}
}

func setKey(s *Settings, v value) error {
	if err := checkKind(v, kindString); err != nil {
		return err
	}
	if len(v.text) < MinKeyBytes {
		return fmt.Errorf("has %d bytes; at least %d are needed", len(v.text), MinKeyBytes)
	}
	s.Peers.Key = v.text
	return nil
}

func setSeeds(s *Settings, v value) error {
	if err := checkKind(v, kindStrings); err != nil {
		return err
	}
	for _, seed := range v.list {
		if err := checkAddress(seed); err != nil {
			return err
		}
	}
	s.Peers.Seeds = v.list
	return nil
}

func setPolicy(s *Settings, v value) error {
	policy := balance.Policy(v.text)
	if v.kind != kindString || !slices.Contains(balance.Policies(), policy) {
		return fmt.Errorf("must be one of %v", balance.Policies())
	}
	s.Experiment.Balance.Policy = policy
	return nil
}
