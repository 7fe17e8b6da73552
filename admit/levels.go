// SPDX-License-Identifier: MIT

package admit

import (
	"math"
	"time"

	"github.com/ryehaven/ryehaven/table"
)

// A less urgent request that has begun holds its slot until it ends, so more urgent ones find no
// slot although they go first in the queue, and each gate along the path of a request would
// reject different ones. While more urgent requests are refused, the least urgent levels are
// therefore rejected, the same levels at every overloaded gate (as in DAGOR, Zhou et al. 2018). A
// level can be rejected in part, since a whole level often uses more capacity than the urgent
// requests lack.

// levelAdmission decides which levels of urgency are admitted. The zero value admits all.
type levelAdmission struct {
	// rejected is how many of the least urgent levels are rejected; a fraction means a part of
	// the next one.
	rejected float64
	// credit accumulates the admitted part of that level until it is enough for one request.
	credit float64
	// windowStart is when the window began. In it, requests counts the client requests that
	// had no other server left, and losses those of them that were refused while less urgent
	// ones held slots.
	windowStart      time.Time
	requests, losses [table.Priorities]int
	// quiet counts consecutive windows in which no admitted level except the least urgent one
	// lost requests.
	quiet int
}

const (
	levelWindow = 250 * time.Millisecond
	// levelLossShare is the share of a level's requests that must be lost before less urgent
	// levels are rejected, and levelMinLosses the number that must be lost at least.
	levelLossShare = 0.1
	levelMinLosses = 2
	// levelRejectStep is the part of a level that is rejected in addition after a window with
	// such a loss.
	levelRejectStep = 0.5
	// levelReadmitStep is the part of a level that is admitted again after levelQuietWindows
	// windows without such a loss. So a whole level changes twice a second at most.
	levelReadmitStep  = 0.5
	levelQuietWindows = 4
)

// admitted returns how many levels are admitted, partly admitted ones included.
func (l *levelAdmission) admitted() int { return table.Priorities - int(l.rejected) }

// fullyAdmitted returns how many levels are admitted without restriction.
func (l *levelAdmission) fullyAdmitted() int { return table.Priorities - int(math.Ceil(l.rejected)) }

// rejects reports whether a ticket belongs to the rejected part of its level. It must be called
// once for each ticket, since it counts towards the admitted part.
func (l *levelAdmission) rejects(t *Ticket) bool {
	if t.Call || t.Aim.IsZero() {
		return false
	}
	admittedPart := float64(table.Priorities) - l.rejected - float64(t.Priority)
	if admittedPart >= 1 || admittedPart <= 0 {
		return admittedPart <= 0
	}
	if l.credit += admittedPart; l.credit < 1 {
		return true
	}
	l.credit--
	return false
}

// observe counts a client request that had no other server left, and was dispatched or refused.
func (l *levelAdmission) observe(t *Ticket, lost bool) {
	if t.Call || !t.Patient || t.Aim.IsZero() {
		return
	}
	l.requests[t.Priority]++
	if lost {
		l.losses[t.Priority]++
	}
}

// endWindow adapts the admitted levels once the window is over.
func (l *levelAdmission) endWindow(now time.Time) {
	if now.Sub(l.windowStart) < levelWindow {
		return
	}
	losing := l.losingLevel()
	switch {
	case losing >= 0 && losing < l.admitted()-1:
		l.rejected, l.quiet = min(l.rejected+levelRejectStep, float64(table.Priorities-1)), 0
	case l.rejected > 0:
		l.quiet++
	}
	if l.quiet >= levelQuietWindows {
		l.rejected, l.quiet = max(l.rejected-levelReadmitStep, 0), 0
	}
	l.windowStart, l.requests, l.losses = now, [table.Priorities]int{}, [table.Priorities]int{}
}

// losingLevel is the most urgent level that loses too many requests, or -1.
func (l *levelAdmission) losingLevel() int {
	for level, lost := range l.losses {
		if lost >= levelMinLosses && float64(lost) > levelLossShare*float64(l.requests[level]) {
			return level
		}
	}
	return -1
}

// blockedByLessUrgent reports whether requests less urgent than a ticket hold slots.
func (q *Queue) blockedByLessUrgent(t *Ticket) bool {
	for _, n := range q.inFlightByLevel[t.level()+1:] {
		if n > 0 {
			return true
		}
	}
	return false
}

// AdmittedPriorities returns how many priorities are admitted at least in part, counted from the
// most urgent one.
func (q *Queue) AdmittedPriorities(now time.Time) int {
	q.levels.endWindow(now)
	return q.levels.admitted()
}
