// SPDX-License-Identifier: MIT

package store

// EraReporter is a Client whose platform may be restored from an older copy. The platform
// then starts a new era: everything that was written after the copy was made is lost.
type EraReporter interface {
	// Era returns the newest era that any response has reported, and a channel that is
	// closed once a newer one is reported.
	Era() (era uint64, next <-chan struct{})
}
