// SPDX-License-Identifier: MIT

package store

import "context"

// Prober is a Client that can tell at little cost whether its connections are heard.
type Prober interface {
	// Probe opens a connection for checks before ctx ends.
	Probe(ctx context.Context) (Probe, error)
}

// Probe is a connection that rests beside a watch, so that its silence tells of the
// watch's. It makes one check at a time.
type Probe interface {
	// Check asks whether the object at TableKey has changed since tag. An answer may
	// be some seconds old. An error means that none came, or that the platform turns the
	// node away; EndingOf tells which.
	Check(ctx context.Context, tag string) (changed bool, err error)
	// Close ends the connection.
	Close()
}
