// SPDX-License-Identifier: MIT

package store

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a Client. All errors of Put other than ErrUnknown mean that it had no effect.
var (
	ErrNotFound = eris.New("object does not exist")
	// ErrConflict means that the object does not have the expected version.
	ErrConflict = eris.New("object was changed by another writer")
	// ErrUnavailable means that the platform did not process the call.
	ErrUnavailable = eris.New("platform is unavailable")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = eris.New("the reply of a write was lost")
)

// Object is a value with its version.
type Object struct {
	Body []byte
	// Tag identifies the version. It is opaque, like an HTTP entity tag.
	Tag string
}

// Client is the platform's object API.
type Client interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put replaces an object if its version is tag; with a blank tag it creates the object.
	// It returns the tag of the new version.
	Put(ctx context.Context, key, tag string, body []byte) (string, error)
	// Watch waits until the version of the object is not tag, but at most for the duration
	// wait. changed is false if the version is still tag.
	Watch(ctx context.Context, key, tag string, wait time.Duration) (o Object, changed bool, err error)
}

// Directory is a store in which nodes register their hosts. The object at HostsKey then
// contains the registered hosts.
type Directory interface {
	// Register adds a host or replaces its entry.
	Register(ctx context.Context, host Host) error
	// Restore adds a host that the store has lost. It does not change an existing entry.
	Restore(ctx context.Context, host Host) error
	// Remove removes the entry of a host that no longer exists.
	Remove(ctx context.Context, host string) error
	// Hosts makes one call and returns the hosts whose names follow after, up to the number
	// that one call returns. It returns none if there are no more. If it returns an error, it
	// also returns the hosts that it could decode.
	Hosts(ctx context.Context, after string) ([]Host, error)
}

// DecodeHosts decodes the object at HostsKey. If entries are invalid, it returns the valid
// hosts and an error that contains the position of each invalid entry in the list.
func DecodeHosts(body []byte) ([]Host, error) {
	var items []json.RawMessage
	if err := json.Unmarshal(body, &items); err != nil {
		return nil, eris.Wrap(err, "list of hosts")
	}
	hosts := make([]Host, 0, len(items))
	var bad []error
	for i, item := range items {
		h, err := DecodeHost(item)
		if err != nil {
			bad = append(bad, eris.Wrapf(err, "host %d of the list", i+1))
			continue
		}
		hosts = append(hosts, h)
	}
	return hosts, entriesSkipped(bad)
}

// ErrEntriesSkipped is wrapped by the error for the invalid entries of a list. The valid
// entries are returned together with the error.
var ErrEntriesSkipped = eris.New("invalid entries were skipped")

// entriesSkipped joins the errors of the invalid entries of a list with ErrEntriesSkipped.
func entriesSkipped(bad []error) error {
	if len(bad) == 0 {
		return nil
	}
	return errors.Join(append(bad, ErrEntriesSkipped)...)
}

// EntriesSkipped returns the error for a list with the errors of its invalid entries, or nil
// if there are none.
func EntriesSkipped(bad ...error) error { return entriesSkipped(bad) }

// DecodeHost decodes an entry of the platform's list. Since other programs may write to the
// list, it returns an error for an entry without a host name or a usable address.
func DecodeHost(text []byte) (Host, error) {
	var h Host
	if err := json.Unmarshal(text, &h); err != nil {
		return Host{}, err
	}
	name, port, err := net.SplitHostPort(h.Address)
	number, portErr := strconv.ParseUint(port, 10, 16)
	switch {
	case h.Host == "":
		return Host{}, eris.New("host is blank")
	case err != nil:
		return Host{}, eris.Errorf("address: %v", err)
	case name == "":
		return Host{}, eris.Errorf("address %q names no host", h.Address)
	case portErr != nil || number == 0:
		return Host{}, eris.Errorf("address %q has no port from 1 to 65535", h.Address)
	case h.State != "" && h.State != HostLive && h.State != HostLeaving:
		return Host{}, eris.Errorf("state %q is neither %s nor %s", h.State, HostLive, HostLeaving)
	}
	return h, nil
}

// Keys of the objects.
const (
	// TableKey is the key of the Envelope.
	TableKey = "ryehaven/table"
	// EvacuationsKey is the key of the Evacuations.
	EvacuationsKey = "ryehaven/evacuations"
	// HostsKey is the key of the platform's list of hosts, a JSON array of Host.
	HostsKey = "hosts"
)

// MaxBody is the maximum size in bytes of an object in the platform's store.
const MaxBody = 1 << 20

// HostState is the state of a host in the platform's list.
type HostState string

// The states of a host in the list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's list, which may be out of date.
type Host struct {
	Host    string    `json:"host"`
	Address string    `json:"address"`
	Zone    string    `json:"zone"`
	Region  string    `json:"region"`
	State   HostState `json:"state"`
	// ChangedMillis is the time at which the state was set, in Unix milliseconds.
	ChangedMillis int64 `json:"changed_ms"`
}
