// SPDX-License-Identifier: MIT

package command

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/store"
	"github.com/ryehaven/ryehaven/table"
)

// Outcome is the outcome of a write.
type Outcome string

// The outcomes.
const (
	// Accepted: the platform's service stored the change.
	Accepted Outcome = "accepted"
	// Unchanged: the platform's service held the same already.
	Unchanged Outcome = "unchanged"
	// Raced: the operator did not start from the newest generation.
	Raced Outcome = "raced"
	// Unknown: the platform became unavailable after a write was sent, which may have
	// taken effect or may still do so.
	Unknown Outcome = "unknown"
)

// Change is a table to store in the platform's service.
type Change struct {
	// File is the name of the text in findings.
	File string
	Text []byte
	// BaseGeneration is the generation that the operator started from, 0 for none.
	BaseGeneration table.Generation
	// NodeGeneration is the highest generation that a node is known to hold, 0 if not
	// known. It may be higher than the platform's generation if the platform was
	// restored from a backup. The new generation must be higher than both, or nodes
	// would ignore the table.
	NodeGeneration table.Generation
}

// Result is the result of an Apply.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Generation is the generation of the table in the platform's service; 0 after
	// Unknown.
	Generation table.Generation `json:"generation"`
	// OtherChanges are the differences from this operator's table to the one in the
	// platform's service, after Raced.
	OtherChanges []table.Change `json:"theirs,omitempty"`
}

// retryPause is the pause between tries while the platform is unavailable.
const retryPause = 200 * time.Millisecond

// Apply checks a table and stores it in the platform's service. While the platform is
// unavailable it tries again until ctx ends. The error is a *finding.Error if the table
// has faults.
func Apply(ctx context.Context, client store.Client, c Change) (Result, error) {
	if _, err := table.Parse(c.File, c.Text); err != nil {
		return Result{}, err
	}
	a := &apply{client: client, change: c, id: uuid.NewString()}
	for {
		result, again, err := a.try(ctx)
		if err != nil || !again {
			return result, err
		}
		select {
		case <-ctx.Done():
			return a.gaveUp()
		case <-time.After(retryPause):
		}
	}
}

// apply is the state of one Apply.
type apply struct {
	client store.Client
	change Change
	id     string
	// sent says that a write may have reached the platform. After that, tag and body
	// don't change, so that at most one of the tries can take effect.
	sent bool
	tag  string
	next store.Envelope
	body []byte
}

func (a *apply) gaveUp() (Result, error) {
	if a.sent {
		return Result{Outcome: Unknown}, nil
	}
	return Result{}, eris.Wrap(store.ErrUnavailable, "the table was not changed")
}

// try reads the table, unless a write was sent before, and writes once. again says that
// another try is needed.
func (a *apply) try(ctx context.Context) (result Result, again bool, err error) {
	if !a.sent {
		result, done, err := a.prepare(ctx)
		if err != nil || done {
			return a.retryIfUnavailable(result, err)
		}
	}
	a.sent = true
	_, err = a.client.Put(ctx, store.TableKey, a.tag, a.body)
	switch {
	case err == nil:
		return Result{Outcome: Accepted, Generation: a.next.Generation}, false, nil
	case errors.Is(err, store.ErrConflict):
		return a.resolveConflict(ctx)
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrUnknown):
		return Result{}, true, nil
	}
	return Result{}, false, err
}

// retryIfUnavailable asks for another try if the platform was unavailable.
func (a *apply) retryIfUnavailable(result Result, err error) (Result, bool, error) {
	if errors.Is(err, store.ErrUnavailable) {
		return Result{}, true, nil
	}
	return result, false, err
}

// prepare reads the object and prepares the write. done says that there is nothing to
// write.
func (a *apply) prepare(ctx context.Context) (result Result, done bool, err error) {
	current, tag, err := readTable(ctx, a.client)
	if err != nil {
		return Result{}, false, err
	}
	if current.Table == string(a.change.Text) && current.Generation >= a.change.NodeGeneration && tag != "" {
		return Result{Outcome: Unchanged, Generation: current.Generation}, true, nil
	}
	if a.change.BaseGeneration != max(current.Generation, a.change.NodeGeneration) {
		return a.raced(current), true, nil
	}
	a.tag = tag
	a.next = store.Envelope{
		Generation: max(current.Generation, a.change.NodeGeneration) + 1,
		WriteID:    a.id,
		Hash:       table.HashText(a.change.Text),
		Table:      string(a.change.Text),
		Recent:     current.NextRecent(),
	}
	a.body, err = a.next.Encode()
	return Result{}, false, err
}

func (a *apply) raced(current store.Envelope) Result {
	return Result{
		Outcome:      Raced,
		Generation:   current.Generation,
		OtherChanges: table.Diff(a.change.Text, []byte(current.Table)),
	}
}

// resolveConflict finds out, after a conflict, whether an earlier try of the same write
// took effect. The version that the write was conditional on no longer exists, so that
// no further try can take effect.
func (a *apply) resolveConflict(ctx context.Context) (Result, bool, error) {
	current, _, err := readTable(ctx, a.client)
	if err != nil {
		return a.retryIfUnavailable(Result{}, err)
	}
	if generation, ok := current.GenerationOf(a.id); ok {
		return Result{Outcome: Accepted, Generation: generation}, false, nil
	}
	if current.Generation < a.next.Generation {
		// A stale read: the version that caused the conflict is newer.
		return Result{}, true, nil
	}
	return a.raced(current), false, nil
}

// readTable returns the table's object and its tag, or zero values if there is none yet.
func readTable(ctx context.Context, client store.Client) (store.Envelope, string, error) {
	o, err := client.Get(ctx, store.TableKey)
	if errors.Is(err, store.ErrNotFound) {
		return store.Envelope{}, "", nil
	}
	if err != nil {
		return store.Envelope{}, "", err
	}
	e, err := store.DecodeEnvelope(o.Body)
	return e, o.Tag, err
}
