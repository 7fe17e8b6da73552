// SPDX-License-Identifier: MIT

package entry

import (
	"sync"

	"github.com/ryehaven/ryehaven/event"
)

// serverLeaving makes a server that is leaving get no more requests from this entry. Its name
// belongs to one incarnation, so that never ends.
func (e *Entry) serverLeaving(s *service, a *attempt) {
	if !e.leaving.add(a.name) {
		return
	}
	services := []*service{s}
	if current, _ := e.service(s.name); current != nil && current != s {
		services = append(services, current)
	}
	for _, s := range services {
		s.mu.Lock()
		s.pool.MarkLeaving(a.name)
		s.serverChanges.wake()
		s.mu.Unlock()
	}
	e.settings.Recorder.Record(&event.ServerHealth{Service: s.name, Server: a.name, Node: a.node, State: event.Leaving, Reason: "it reported in a response that it is leaving"})
}

// LeavingServers returns the number of servers that get no requests because they reported in a
// response that they were leaving.
func (e *Entry) LeavingServers() int64 { return e.leaving.count() }

// leavingServers are the names of the servers that reported in a response that they were leaving. The
// zero value is empty. It is safe for concurrent use.
type leavingServers struct {
	mu    sync.Mutex
	names map[string]struct{}
	// order holds the names in the order in which they were added.
	order []string
}

// maxLeavingServers bounds leavingServers.names. It is above the number of servers of a site, all
// of which may be replaced within minutes; they are gone long before the same happens again.
const maxLeavingServers = 4096

// add adds a name and reports whether it is new.
func (l *leavingServers) add(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.names[name]; known {
		return false
	}
	if l.names == nil {
		l.names = map[string]struct{}{}
	}
	l.names[name] = struct{}{}
	l.order = append(l.order, name)
	if len(l.order) > maxLeavingServers {
		delete(l.names, l.order[0])
		l.order = l.order[1:]
	}
	return true
}

func (l *leavingServers) has(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.names[name]
	return known
}

func (l *leavingServers) count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(len(l.names))
}
