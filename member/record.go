// SPDX-License-Identifier: MIT

package member

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a node, reported by the node itself or by the platform's list.
type State uint8

// The states. Within an incarnation they only advance, in this order.
const (
	Live State = iota
	// Leaving nodes finish the requests that they have.
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

// Record describes a node. Nodes distribute their records to all others.
type Record struct {
	Host string
	// Incarnation is the start time of the node's process in Unix milliseconds, 0 for a host
	// that is only known from the platform's list.
	Incarnation uint64
	// Address is the address of the node's peer port.
	Address string
	Zone    string
	Region  string
	State   State
	// Version increases within an incarnation with each change that the node itself makes to
	// its record, and when another node marks it as gone (see View.Supersede).
	Version uint64
	// Server is the backend server that announced itself to the node.
	Server Server
	// StoreLost is set if the node's calls to the platform's store fail.
	StoreLost bool
}

// Server describes the backend server on the host of a node.
type Server struct {
	// ID is the name of the server's incarnation; blank if no server is known.
	ID      string
	Service string
	// Slots is the maximum number of requests that the server works on concurrently.
	Slots int
	// State only advances as long as the ID is the same.
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

// Buckets is the number of buckets of a digest. With 300 nodes a bucket has about five
// records, so that few version entries of other records are sent when one record has
// changed. It must not exceed the number of bits of a BucketSet.
const Buckets = 64

// Digest is a hash of the records of each bucket.
type Digest [Buckets]uint64

// Root returns one hash of all buckets.
func (d Digest) Root() uint64 {
	root := uint64(0)
	for i, bucket := range d {
		root ^= bits.RotateLeft64(bucket, i) // Rotated so that equal buckets don't cancel out.
	}
	return root
}

// bucketOf returns the bucket of a host by the hash of the host's name.
func bucketOf(hash uint64) int {
	return int(hash % Buckets)
}

// hash returns the part of a digest that a record accounts for. It covers the fields that
// newer compares. It is 0 for a node that is gone: nodes that never knew it do not accept
// its record, and their digests must not differ for that reason from those of nodes that
// keep the record for some time.
func (r Record) hash() uint64 {
	if r.State == Gone {
		return 0
	}
	var b [17]byte
	binary.BigEndian.PutUint64(b[:], r.Incarnation)
	b[8] = byte(r.State)
	binary.BigEndian.PutUint64(b[9:], r.Version)
	d := xxhash.New()
	_, _ = d.WriteString(r.Host) // Writing to a hash does not fail.
	_, _ = d.Write(b[:])
	return d.Sum64()
}
