// SPDX-License-Identifier: MIT

package command

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/store"
)

// Errors of Evacuate for evacuations that are rejected.
var (
	// ErrNoSuchZone says that there is no backend server in the zone.
	ErrNoSuchZone = eris.New("no backend server is in that availability zone")
	// ErrLastZone says that all zones with backend servers would be evacuated.
	ErrLastZone = eris.New("every availability zone would be evacuated")
)

// Evacuation is a request to send no requests to the backend servers of a zone, or to
// cancel that.
type Evacuation struct {
	Zone string
	// Cancel ends the zone's evacuation.
	Cancel bool
	// ServerZones are the zones that have backend servers.
	ServerZones []string
}

// EvacuationResult is the result of an Evacuate.
type EvacuationResult struct {
	Outcome Outcome `json:"outcome"`
	// Zones are all evacuated zones; blank after Unknown.
	Zones []string `json:"zones,omitempty"`
}

// Evacuate adds a zone to the evacuations that the platform's service holds, or removes
// it. While the platform is unavailable it tries again until ctx ends. The change is
// idempotent, so that it is repeated if its reply was lost. Each try starts from the
// stored state and keeps what other operators changed.
func Evacuate(ctx context.Context, client store.Client, c Evacuation) (EvacuationResult, error) {
	if !c.Cancel && !slices.Contains(c.ServerZones, c.Zone) {
		return EvacuationResult{}, eris.Wrapf(ErrNoSuchZone, "%q; there are servers in %s", c.Zone, strings.Join(c.ServerZones, ", "))
	}
	sent := false
	for {
		result, err := c.try(ctx, client, &sent)
		if !tryAgain(err) {
			return result, err
		}
		select {
		case <-ctx.Done():
			if sent {
				return EvacuationResult{Outcome: Unknown}, nil
			}
			return EvacuationResult{}, eris.Wrap(store.ErrUnavailable, "the evacuations were not changed")
		case <-time.After(retryPause):
		}
	}
}

// tryAgain reports whether another try may succeed after an error.
func tryAgain(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrConflict)
}

// try reads the evacuations and writes them once if they change. sent says that a write
// may have taken effect.
func (c Evacuation) try(ctx context.Context, client store.Client, sent *bool) (EvacuationResult, error) {
	stored, tag, err := readEvacuations(ctx, client)
	if err != nil {
		return EvacuationResult{}, err
	}
	if stored.Has(c.Zone) != c.Cancel {
		outcome := Unchanged
		if *sent {
			outcome = Accepted
		}
		return EvacuationResult{Outcome: outcome, Zones: stored.ZoneNames()}, nil
	}
	next, err := c.change(stored)
	if err != nil {
		return EvacuationResult{}, err
	}
	body, err := next.Encode()
	if err != nil {
		return EvacuationResult{}, err
	}
	*sent = true
	if _, err := client.Put(ctx, store.EvacuationsKey, tag, body); err != nil {
		return EvacuationResult{}, err
	}
	return EvacuationResult{Outcome: Accepted, Zones: next.ZoneNames()}, nil
}

// change returns the evacuations after the change.
func (c Evacuation) change(stored store.Evacuations) (store.Evacuations, error) {
	next := store.Evacuations{Version: stored.Version + 1, Zones: maps.Clone(stored.Zones)}
	if c.Cancel {
		delete(next.Zones, c.Zone)
		return next, nil
	}
	if next.Zones == nil {
		next.Zones = map[string]uint64{}
	}
	next.Zones[c.Zone] = next.Version
	for _, zone := range c.ServerZones {
		if !next.Has(zone) {
			return next, nil
		}
	}
	return next, eris.Wrapf(ErrLastZone, "%s and %s", fmt.Sprint(stored.ZoneNames()), c.Zone)
}

// readEvacuations returns the evacuations and the tag of their object, or zero values if
// there is none yet.
func readEvacuations(ctx context.Context, client store.Client) (store.Evacuations, string, error) {
	o, err := client.Get(ctx, store.EvacuationsKey)
	if errors.Is(err, store.ErrNotFound) {
		return store.Evacuations{}, "", nil
	}
	if err != nil {
		return store.Evacuations{}, "", err
	}
	e, err := store.DecodeEvacuations(o.Body)
	return e, o.Tag, err
}
