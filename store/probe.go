// SPDX-License-Identifier: MIT

package store

import (
	"context"
	"time"
)

// Prober is a Client that can tell at little cost whether its connections are heard.
type Prober interface {
	// Probe opens a connection for checks within limit.
	Probe(ctx context.Context, limit time.Duration) (Probe, error)
}

// Probe is a connection that rests beside a watch, so that its silence tells of the
// watch's. It makes one check at a time.
type Probe interface {
	// Check asks whether the object at TableKey has changed since tag. An answer may
	// be some seconds old. An error means that none came within limit, or that the
	// platform turns the node away; EndingOf tells which.
	Check(ctx context.Context, tag string, limit time.Duration) (changed bool, err error)
	// Close ends the connection.
	Close()
}
