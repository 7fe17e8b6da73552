// SPDX-License-Identifier: MIT

package gate

import "github.com/ryehaven/ryehaven/blame"

// maxAnsweredSet bounds each of the two generations of an answeredSet. Together they cover
// some minutes of ten different requests a second, in 64 KB.
const maxAnsweredSet = 1024

// answeredSet holds the requests that the server has answered since it started. Such a request
// is not what made it exit. Without this set, after servers had been killed one after the
// other, a path that all callers request, and that every server was therefore running, was
// blamed and refused for minutes. The zero value is empty.
type answeredSet struct {
	newer, older map[blame.Fingerprint]struct{}
}

// add adds a request that was answered.
func (l *answeredSet) add(p blame.Fingerprint) {
	if l.newer == nil {
		l.newer = map[blame.Fingerprint]struct{}{}
	}
	l.newer[p] = struct{}{}
	if len(l.newer) >= maxAnsweredSet {
		l.newer, l.older = l.older, l.newer
		clear(l.newer)
	}
}

// has reports whether a request was answered.
func (l *answeredSet) has(p blame.Fingerprint) bool {
	_, newer := l.newer[p]
	_, older := l.older[p]
	return newer || older
}
