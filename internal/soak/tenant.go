// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ryehaven/ryehaven/platform/emulator"
)

// The tenants of a run with Options.Tenants. The steady tenant sends the requests that are
// sent without tenants too, with a key that all versions have. The hot tenant sends many
// times its quota, which changes with every version. The guest tenant gets another key with
// every version.
const (
	steadyTenant = "steady"
	hotTenant    = "hot"
	guestTenant  = "guest"

	steadyKey = "key-steady-4c1f"
	hotKey    = "key-hot-91ab"
	// unknownKey belongs to no tenant.
	unknownKey = "key-strange-77d0"
)

// guestKey returns the guest tenant's key in a version.
func guestKey(serial int) string { return fmt.Sprint("key-guest-", serial) }

// The hot tenant's quota in even and in odd versions, in requests a second. Its burst is the
// same number of requests.
const (
	hotRateEven = 40
	hotRateOdd  = 20
)

func hotRateOf(serial int) int {
	if serial%2 == 0 {
		return hotRateEven
	}
	return hotRateOdd
}

// The settings of quotas: the window, the share and the number of requests by which the
// nodes together may exceed a quota within it.
const (
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
)

func quotaSettings() string {
	return fmt.Sprintf("[quotas]\nwindow_ms = %d\novershoot = %g\nslack = %d\n", quotaWindow.Milliseconds(), quotaOvershoot, quotaSlack)
}

// configuration returns the content of a version.
func (s *site) configuration(serial int) any {
	cold := emulator.ColdStart{Seconds: coldStart, RequestsPerSecond: coldPerSecond}
	if !s.options.Tenants {
		return emulator.ConfigurationWithColdStart(serial, services, routesOf(serial), cold)
	}
	return emulator.ConfigurationWithTenants(serial, services, routesOf(serial), cold, []emulator.Tenant{
		{Name: steadyTenant, Keys: []string{steadyKey}, Priority: 1},
		{Name: hotTenant, Keys: []string{hotKey}, Priority: 1, Rate: hotRateOf(serial), Burst: hotRateOf(serial)},
		{Name: guestTenant, Keys: []string{guestKey(serial)}, Priority: 1},
	})
}

const (
	// hotInterval and guestInterval are the times between two requests of these tenants at
	// each host.
	hotInterval   = 20 * time.Millisecond
	guestInterval = 60 * time.Millisecond
	// guestKeyVersions is the number of latest versions whose guest keys are sent.
	guestKeyVersions = 3
)

// runHot sends the hot tenant's requests to a host.
func (s *site) runHot(ctx context.Context, h *host) {
	s.sendOpenLoop(ctx, h, hotInterval, func(n int) request {
		return request{uri: fmt.Sprint("/read/hot", n%100), repeatable: true, key: hotKey}
	})
}

// runGuest sends requests with guest keys of the current and earlier versions, with an
// unknown key and without a key.
func (s *site) runGuest(ctx context.Context, h *host) {
	rng := rand.New(rand.NewPCG(s.options.Seed, uint64(h.number)+5000))
	s.sendOpenLoop(ctx, h, guestInterval, func(n int) request {
		r := request{uri: fmt.Sprint("/read/guest", n%100), repeatable: true, mayBeRejected: true}
		switch newest := s.newestVersion(); rng.IntN(4) {
		case 0:
			r.key = unknownKey
		case 1:
			r.key = noKey
		default:
			r.keyVersion = max(newest-rng.IntN(guestKeyVersions), 1)
			r.key = guestKey(r.keyVersion)
		}
		return r
	})
}

// noKey means that a request has no key; an empty key means the steady tenant's.
const noKey = "-"

// credentials returns the header fields for a key.
func (s *site) credentials(key string) []string {
	switch {
	case !s.options.Tenants, key == noKey:
		return nil
	case key == "":
		key = steadyKey
	}
	return []string{"Authorization: Bearer " + key}
}
