// SPDX-License-Identifier: MIT

package store

import (
	"context"
	"time"
)

// Prober is a Client that can check at a low cost whether connections to the platform still
// work.
type Prober interface {
	// Probe opens a connection for checks. It fails after limit.
	Probe(ctx context.Context, limit time.Duration) (Probe, error)
}

// Probe is a connection that is idle between its checks, like that of a watch. If a check
// fails, the watch's connection has probably stalled too. Only one check is made at a time.
type Probe interface {
	// Check reports whether the object at TableKey has changed since tag. The result may be
	// some seconds out of date. An error means that no response arrived within limit or that
	// the platform rejected the call; FailureKindOf distinguishes them.
	Check(ctx context.Context, tag string, limit time.Duration) (changed bool, err error)
	// Close closes the connection.
	Close()
}
