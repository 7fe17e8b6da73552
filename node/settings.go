// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/ryehaven/ryehaven/entry"
	"github.com/ryehaven/ryehaven/gate"
	"github.com/ryehaven/ryehaven/member"
	"github.com/ryehaven/ryehaven/settings"
	"github.com/ryehaven/ryehaven/spread"
)

func (n *Node) entrySettings() entry.Settings {
	return entry.Settings{
		Balance:             n.settings.Experiment.Balance,
		NoRetries:           n.settings.Experiment.NoRetries,
		NoHedges:            n.settings.Experiment.NoHedges,
		ConnectTimeout:      connectTimeout,
		CancelReplyTimeout:  cancelReplyTimeout,
		BodyIdleTimeout:     n.settings.Limits.BodyIdleTimeout,
		MaxBodyBytes:        int64(n.settings.Limits.BodyBytes),
		MaxDeadline:         n.settings.Limits.MaxDeadline,
		NoTableRetryAfter:   noTableRetryAfter,
		Dialect:             n.dialect,
		LocalService:        n.settings.Sidecar.Service,
		Recorder:            n.recorder,
		Blame:               &n.blame,
		Quotas:              n.quotas,
		Versions:            n.versions,
		TableConfirmedAge:   func(now time.Time) (time.Duration, bool) { return n.spread.ConfirmedAge(now) },
		TableMayBeStale:     n.tableMayBeStale,
		KeysUpToDate:        n.keysUpToDate,
		Calls:               n.callTracker(),
		RefuseWhenRateBound: n.settings.Overload.AdmitWithCalls,
		DetectCallerRetries: n.settings.Overload.DetectCallerRetries,
	}
}

// gateSettings is called with the lock held.
func (n *Node) gateSettings(key gateKey) gate.Settings {
	return gate.Settings{
		IdleTimeout:       backendIdleTimeout,
		DialTimeout:       connectTimeout,
		BodyIdleTimeout:   n.settings.Limits.BodyIdleTimeout,
		AbandonedTimeout:  abandonedTimeout,
		FlushAfter:        flushAfter,
		FixedLimit:        !n.settings.Experiment.AdaptiveLimit,
		NoDeadlineBound:   n.settings.Experiment.NoDeadlineBound,
		ByAim:             n.settings.Overload.ByAim,
		Calls:             n.callGraph(),
		LearnSlots:        n.settings.Sidecar.LearnSlots,
		DownstreamFailed:  n.entry.FailedSince,
		Dialect:           n.dialect,
		OnUpdate:          n.wakeTicks,
		Weight:            n.tenantWeight,
		Recorder:          n.recorder,
		Blame:             &n.blame,
		OnWrongServer:     func(name string) { go n.serverDisplaced(name) },
		OnLeaving:         func(name string) { go n.serverLeaving(name) },
		ColdOvershoot:     n.settings.Cold.Overshoot,
		ColdSlack:         n.settings.Cold.Slack,
		PreviousGateUntil: n.retiredAt.lastOrStart(key, n.started),
		ProbeAfter:        n.settings.Sidecar.ProbeAfter,
		ChecksPerSecond:   requestProbeShare * n.settings.Sidecar.ProbesPerSecond,
		ClockStep:         n.settings.Experiment.ClockStep,
	}
}

// requestProbeShare is the share of the probes agreed for a server that may be sent before
// requests. The rest is left for probes of servers that have not answered for a while.
const requestProbeShare = 0.6

func (n *Node) spreadSettings() spread.Settings {
	s := n.settings
	return spread.Settings{
		Blame:               &n.blame,
		Calls:               n.spreadCalls(),
		Seeds:               s.Peers.Seeds,
		Interval:            time.Second,
		WatchEvacuations:    s.Platform.Evacuations,
		Register:            s.Sidecar.Control != "",
		QueryTimeout:        queryTimeout,
		InForceWithin:       s.Platform.InForceWithin,
		ProvenWithin:        s.Platform.KeysInForceWithin,
		WatchWait:           watchWait(s),
		StaleAfter:          watchWait(s) + 6*time.Second,
		PollInterval:        5 * time.Minute,
		HostsInterval:       hostsInterval(s),
		TableBytesPerSecond: tableBytesPerSecond,
	}
}

// versions returns the generation of the table and a hash of the member records that a
// decision is based on, for the log.
func (n *Node) versions() (generation, members uint64) {
	g, _ := n.holder.Generation()
	n.spread.View(func(v *member.View) { members = v.Digest().Root() })
	return uint64(g), members
}

// watchWait returns how long a watch at the store waits for a change. The wait is long where
// nodes register themselves, since such a store notifies of each change at once and charges
// for each call.
func watchWait(s settings.Settings) time.Duration {
	if s.Sidecar.Control != "" {
		return 25 * time.Second
	}
	return 2 * time.Second
}

// hostsInterval returns the time between two reads of the list of hosts. Where nodes
// register themselves, the list is needed only to find nodes that no other node has
// connected to.
func hostsInterval(s settings.Settings) time.Duration {
	if s.Sidecar.Control != "" {
		return time.Minute
	}
	return time.Second
}
