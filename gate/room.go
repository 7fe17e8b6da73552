// SPDX-License-Identifier: MIT

package gate

import (
	"time"

	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/wire"
)

// Room returns what entries must hear of the room at the server; ok is false when
// nothing has changed that matters to them.
func (g *Gate) Room(now time.Time) (m *wire.Room, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	room := g.room(now)
	if room == g.saidRoom {
		return nil, false
	}
	g.saidRoom = room
	return &room, true
}

// room is the present one. It is called with the lock held.
func (g *Gate) room(time.Time) wire.Room {
	return wire.Room{Levels: int64(table.Priorities)}
}

// aim is when the answer of a job is due; zero if its entry did not say.
func (j *job) aim() time.Time {
	need := j.stream.Request.Need
	if need == nil || need.AimMillis == 0 {
		return time.Time{}
	}
	return j.stream.Received.Add(time.Duration(need.AimMillis) * time.Millisecond)
}

// work is what the job usually takes at a server of usual speed; 0 if not known.
func (j *job) work() time.Duration {
	if need := j.stream.Request.Need; need != nil {
		return time.Duration(need.WorkMillis) * time.Millisecond
	}
	return 0
}
