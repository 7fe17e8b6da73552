// SPDX-License-Identifier: MIT

package spread

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ryehaven/ryehaven/store"
	"github.com/ryehaven/ryehaven/table"
	"github.com/ryehaven/ryehaven/wire"
)

// olderDigest is what builds that know nothing of calls send and read.
type olderDigest struct {
	Generation      table.Generation
	Hash            string
	ConfirmedMillis int64
	Root            uint64
	Host            string
	Greeting        bool
	Evacuations     store.Evacuations
	ProvenMillis    int64
}

// While nodes are upgraded one after the other, those of both builds read each other's
// digests. When a number for calls was a field of each digest, nodes of the older build
// refused them all, and a node in the soak knew 5 of 9 servers at the end.
func TestDigestsOfTwoBuilds(t *testing.T) {
	sent := digest{Generation: 7, Hash: "abc", ConfirmedMillis: -1, Root: 1 << 60, Host: "host-1", Evacuations: store.Evacuations{Version: 3}, ProvenMillis: 12}
	var old olderDigest
	if err := msgpack.Unmarshal(wire.EncodeControl(&sent), &old); err != nil {
		t.Fatal("the older build can't read a digest:", err)
	}
	if old.Host != sent.Host || old.Root != sent.Root || old.ConfirmedMillis != -1 || old.ProvenMillis != 12 || old.Evacuations.Version != 3 {
		t.Errorf("the older build read %+v of %+v", old, sent)
	}
	var got digest
	if err := msgpack.Unmarshal(wire.EncodeControl(&old), &got); err != nil || got.Host != sent.Host || got.Calls != 0 {
		t.Errorf("%+v of the older build, error %v", got, err)
	}
	sent.Calls = 9
	if err := msgpack.Unmarshal(wire.EncodeControl(&sent), &got); err != nil || got.Calls != 9 || got.ProvenMillis != 12 {
		t.Errorf("%+v of this build, error %v", got, err)
	}
	for _, n := range []int{plainDigest - 1, mostDigest + 1} {
		if err := msgpack.Unmarshal(wire.EncodeControl(make([]int, n)), &got); err == nil {
			t.Errorf("a digest of %d fields was read", n)
		}
	}
}

// A node is told of calls only if it can read that, and answers in kind.
func TestDigestForAnOlderBuild(t *testing.T) {
	n := newFleet(1, 1).nodes[0]
	if d := n.spread.digestFor(time.Now(), false); d.Calls != 0 {
		t.Errorf("a node of an older build is told %d", d.Calls)
	}
	older := wire.EncodeControl(&olderDigest{Host: "host-9"})
	_, reply, err := n.spread.answerDigest(older)
	if err != nil {
		t.Fatal(err)
	}
	var answer digestReply
	if err := decode(reply, &answer); err != nil || answer.Digest.Calls != 0 {
		t.Errorf("%+v, error %v", answer.Digest, err)
	}
}
