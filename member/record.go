// SPDX-License-Identifier: MIT

package member

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// State is what a node's author, or the platform's list, says of it.
type State uint8

// The states, in the only order that they follow within an incarnation.
const (
	Live State = iota
	// Leaving nodes finish what they have.
	Leaving
	// Gone nodes have stopped as planned.
	Gone
)

var stateNames = [...]string{"live", "leaving", "gone"}

// String returns the state's name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Record is what is known of one node everywhere.
type Record struct {
	Host string
	// Incarnation is the process's start in Unix milliseconds, 0 for a host
	// known from the platform's list alone.
	Incarnation uint64
	// Address is that of the node's peer port.
	Address string
	Zone    string
	Region  string
	State   State
	// Version rises with each change that the node itself makes to its record
	// within an incarnation.
	Version uint64
	// Server is the backend server that announced itself to the node.
	Server Server
	// StoreLost says that the node's calls to the platform's store fail.
	StoreLost bool
}

// Server is what a node says of the backend server beside it.
type Server struct {
	// ID names one life of the server; blank means that none is known.
	ID      string
	Service string
	// Slots is how many requests it works on at a time.
	Slots int
	// State never falls for an ID.
	State State
}

// newer reports whether r replaces old.
func (r Record) newer(old Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	if r.Version != old.Version {
		return r.Version > old.Version
	}
	return r.State > old.State
}

// Buckets is how many buckets a digest compares: some five records each at
// 300 nodes, so that one that changed brings few marks of others with it. At most
// the bits of a BucketSet.
const Buckets = 64

// Digest has one number for each bucket of records.
type Digest [Buckets]uint64

// Root is one number for all buckets.
func (d Digest) Root() uint64 {
	root := uint64(0)
	for i, bucket := range d {
		root ^= bits.RotateLeft64(bucket, i) // Equal buckets must not cancel out.
	}
	return root
}

// bucketOf returns the bucket of a host by its hash.
func bucketOf(hash uint64) int {
	return int(hash % Buckets)
}

// hash is what a record adds to a digest; it covers what newer compares. A node that
// has gone adds nothing: those that never knew it do not take its record, and must not
// differ for that from those that keep it for a while.
func (r Record) hash() uint64 {
	if r.State == Gone {
		return 0
	}
	var b [17]byte
	binary.BigEndian.PutUint64(b[:], r.Incarnation)
	b[8] = byte(r.State)
	binary.BigEndian.PutUint64(b[9:], r.Version)
	d := xxhash.New()
	_, _ = d.WriteString(r.Host) // A hash does not fail.
	_, _ = d.Write(b[:])
	return d.Sum64()
}
