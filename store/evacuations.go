// SPDX-License-Identifier: MIT

package store

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
)

// Evacuations are the evacuated availability zones, whose backend servers must not be sent
// any requests. The zero value has no evacuated zones. A value is replaced as a whole and
// never modified.
type Evacuations struct {
	// Version increases with each change, so that an older state that arrives late is
	// recognized.
	Version uint64 `json:"version"`
	// Zones maps each evacuated zone to the version that evacuated it, so that an evacuation
	// that was ended and started again differs from one that was in force the whole time.
	Zones map[string]uint64 `json:"zones"`
}

// maxEvacuations is the maximum number of evacuated zones. No site has more zones.
const maxEvacuations = 1000

// ErrEvacuations is wrapped by the errors for objects that do not contain valid evacuations.
var ErrEvacuations = eris.New("object does not hold evacuations")

// Has reports whether a zone is evacuated.
func (e Evacuations) Has(zone string) bool {
	_, ok := e.Zones[zone]
	return ok
}

// ZoneNames returns the names of the evacuated zones in sorted order.
func (e Evacuations) ZoneNames() []string { return slices.Sorted(maps.Keys(e.Zones)) }

// SameZones reports whether two values have the same zones, evacuated by the same versions.
func (e Evacuations) SameZones(other Evacuations) bool { return maps.Equal(e.Zones, other.Zones) }

// Encode returns the object's body.
func (e Evacuations) Encode() ([]byte, error) {
	body, err := json.Marshal(e)
	return body, eris.Wrap(err, "encode evacuations")
}

// DecodeEvacuations decodes and validates the body of an object.
func DecodeEvacuations(body []byte) (Evacuations, error) {
	var e Evacuations
	if err := json.Unmarshal(body, &e); err != nil {
		return Evacuations{}, eris.Wrapf(ErrEvacuations, "not JSON: %v", err)
	}
	return e, e.Validate()
}

// Validate returns an error if a value that was received or read is not valid.
func (e Evacuations) Validate() error {
	if len(e.Zones) > maxEvacuations {
		return eris.Wrapf(ErrEvacuations, "%d zones, at most %d", len(e.Zones), maxEvacuations)
	}
	for zone, since := range e.Zones {
		if zone == "" {
			return eris.Wrap(ErrEvacuations, "a zone has no name")
		}
		if since > e.Version {
			return eris.Wrapf(ErrEvacuations, "zone %q is evacuated since version %d of %d", zone, since, e.Version)
		}
	}
	return nil
}
