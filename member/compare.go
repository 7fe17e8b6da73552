// SPDX-License-Identifier: MIT

package member

import "github.com/cespare/xxhash/v2"

// VersionEntry identifies a record and its version when two nodes compare their records.
type VersionEntry struct {
	// Host is the hash of the host's name.
	Host        uint64
	Incarnation uint64
	Version     uint64
	State       State
}

// BucketSet is a set of buckets, with one bit for each bucket.
type BucketSet uint64

// Has reports whether a bucket is in the set.
func (s BucketSet) Has(bucket int) bool { return s&(1<<bucket) != 0 }

// TruncatedDigest is a digest in the form in which it is sent: the low half of each bucket's
// hash. Nodes compare truncated digests only if their roots, which cover the whole hashes,
// differ.
type TruncatedDigest []uint32

// Truncate returns the truncated digest.
func (d Digest) Truncate() TruncatedDigest {
	truncated := make(TruncatedDigest, Buckets)
	for i, bucket := range d {
		truncated[i] = uint32(bucket)
	}
	return truncated
}

// Differing returns the buckets in which the digest differs from the truncated digest of
// another node. It returns all buckets if that has another number of buckets.
func (d Digest) Differing(other TruncatedDigest) BucketSet {
	if len(other) != Buckets {
		return ^BucketSet(0)
	}
	buckets := BucketSet(0)
	for i, bucket := range d {
		if uint32(bucket) != other[i] {
			buckets |= 1 << i
		}
	}
	return buckets
}

func hostHash(host string) uint64 { return xxhash.Sum64String(host) }

// versionEntry returns the version entry of the record.
func (r Record) versionEntry() VersionEntry {
	return VersionEntry{Host: hostHash(r.Host), Incarnation: r.Incarnation, Version: r.Version, State: r.State}
}

// newer reports whether the record of the entry replaces another record.
func (e VersionEntry) newer(than Record) bool {
	r := Record{Incarnation: e.Incarnation, Version: e.Version, State: e.State}
	return r.newer(than)
}

// VersionEntries returns the version entries of all records in some buckets.
func (v *View) VersionEntries(buckets BucketSet) []VersionEntry {
	var versions []VersionEntry
	for _, host := range v.hosts {
		if e := v.entries[host].versionEntry(); buckets.Has(bucketOf(e.Host)) {
			versions = append(versions, e)
		}
	}
	return versions
}

// Comparison is the result of comparing the records of two nodes.
type Comparison struct {
	// Records are the records of this node that the peer lacks or has in an older version.
	Records []Record
	// Wanted are the hashes of the hosts whose records this node lacks or has in an older
	// version.
	Wanted []uint64
}

// Compare compares this node's records in some buckets with the peer's version entries of
// the same buckets. It returns at most limit records and at most limit wanted hosts. It
// starts with the host at index from. If nodes start at different indexes, their exchanges
// soon transfer all records, even when all nodes start at once.
func (v *View) Compare(buckets BucketSet, peerVersions []VersionEntry, from, limit int) Comparison {
	remaining := make(map[uint64]VersionEntry, len(peerVersions))
	for _, e := range peerVersions {
		remaining[e.Host] = e
	}
	var c Comparison
	for i := range v.hosts {
		r := v.entries[v.hosts[(from+i)%len(v.hosts)]].Record
		own := r.versionEntry()
		if !buckets.Has(bucketOf(own.Host)) {
			continue
		}
		e, known := remaining[own.Host]
		delete(remaining, own.Host)
		switch {
		case !known && r.State == Gone:
			// The peer has no record of the node, and needs none of a node that is gone.
		case known && e.newer(r):
			c.addWanted(own.Host, limit)
		case (!known || own != e) && len(c.Records) < limit:
			c.Records = append(c.Records, r)
		}
	}
	// The remaining entries are of hosts that this node does not know or has forgotten.
	for _, e := range peerVersions {
		if _, isRemaining := remaining[e.Host]; isRemaining && e.State != Gone && !v.hasForgottenVersion(e) {
			c.addWanted(e.Host, limit)
		}
	}
	return c
}

// addWanted adds the hash of a host to Wanted, up to limit hosts.
func (c *Comparison) addWanted(host uint64, limit int) {
	if len(c.Wanted) < limit {
		c.Wanted = append(c.Wanted, host)
	}
}

// hasForgottenVersion reports whether a version entry is not newer than the record of a
// forgotten node.
func (v *View) hasForgottenVersion(e VersionEntry) bool {
	for host, f := range v.forgotten {
		if hostHash(host) == e.Host {
			return !e.newer(f.Record)
		}
	}
	return false
}

// RecordsByHash returns the records of the hosts with some hashes, as another node requests
// them.
func (v *View) RecordsByHash(hosts []uint64) []Record {
	wanted := make(map[uint64]bool, len(hosts))
	for _, h := range hosts {
		wanted[h] = true
	}
	var records []Record
	for _, host := range v.hosts {
		if wanted[hostHash(host)] {
			records = append(records, v.entries[host].Record)
		}
	}
	return records
}
