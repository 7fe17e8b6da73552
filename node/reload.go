// SPDX-License-Identifier: MIT

package node

import (
	"go.uber.org/zap"

	"github.com/ryehaven/ryehaven/settings"
)

// Reload applies changed settings while the node runs. Settings that can change at runtime
// are in force when it returns. Changes of other settings require a restart; their groups
// are logged.
func (n *Node) Reload(s settings.Settings) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.settings
	n.settings.Retries = s.Retries
	n.settings.Distance = s.Distance
	n.settings.Sidecar.SlotShare = s.Sidecar.SlotShare
	n.settings.Sidecar.CallSlotShare = s.Sidecar.CallSlotShare
	n.log.Info("settings reloaded",
		zap.Bool("changed", old.Retries != s.Retries || old.Distance != s.Distance || old.Sidecar.SlotShare != s.Sidecar.SlotShare ||
			old.Sidecar.CallSlotShare != s.Sidecar.CallSlotShare),
		zap.Strings("after_restart", needRestart(old, s)))
	if n.applied != nil {
		n.refresh()
	}
}

// needRestart returns the names of the groups of settings whose changes require a restart.
func needRestart(old, s settings.Settings) []string {
	var names []string
	note := func(name string, changed bool) {
		if changed {
			names = append(names, name)
		}
	}
	note("host", old.Host != s.Host || old.Zone != s.Zone || old.Region != s.Region)
	note("listen", old.Listen != s.Listen)
	note("sidecar", old.Sidecar.Server != s.Sidecar.Server || old.Sidecar.Service != s.Sidecar.Service ||
		old.Sidecar.Control != s.Sidecar.Control || old.Sidecar.Ready != s.Sidecar.Ready ||
		old.Sidecar.ProbeAfter != s.Sidecar.ProbeAfter || old.Sidecar.LearnSlots != s.Sidecar.LearnSlots)
	note("peers", old.Peers.Key != s.Peers.Key || old.Peers.PingAfter != s.Peers.PingAfter ||
		old.Peers.SuspectAfter != s.Peers.SuspectAfter)
	note("platform", old.Platform != s.Platform)
	note("limits", old.Limits != s.Limits)
	note("overload", old.Overload != s.Overload)
	note("log", old.Log != s.Log)
	return names
}
