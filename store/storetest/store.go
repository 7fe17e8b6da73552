// SPDX-License-Identifier: MIT

// Package storetest provides an in-memory stand-in for the platform's object store, with
// faults that tests can enable.
//
// [Store] is a store.Client for tests within a process. [Store.Handle] serves the same
// objects over HTTP for other processes.
package storetest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/ryehaven/ryehaven/store"
)

// The platform's rate limits in calls per second. A watch counts as one read.
const (
	WritesPerSecond = 100
	ReadsPerSecond  = 2000
)

// Faults are the enabled faults. The zero value has none.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// Delay delays every call.
	Delay time.Duration `json:"delay_ns"`
	// LostReplies is the number of following writes that take effect but whose replies are
	// lost.
	LostReplies int `json:"lost_replies"`
	// StaleReads is the number of following reads that return the previous version.
	StaleReads int `json:"stale_reads"`
}

// Calls are the numbers of calls.
type Calls struct {
	Reads   int64 `json:"reads"`
	Watches int64 `json:"watches"`
	Writes  int64 `json:"writes"`
	// Limited is the number of calls that exceeded the rate limits.
	Limited int64 `json:"limited"`
}

// object is a stored object. changed is closed and replaced when the object changes.
type object struct {
	store.Object
	previous store.Object
	changed  chan struct{}
}

// Store is an in-memory object store. The zero value is empty and ready for use.
type Store struct {
	mu      sync.Mutex
	objects map[string]*object
	version int
	faults  Faults
	calls   Calls
	reads   *rate.Limiter
	writes  *rate.Limiter
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	for _, o := range s.objects {
		close(o.changed) // Waiting watches must apply the new faults.
		o.changed = make(chan struct{})
	}
}

// Calls returns the numbers of calls since the store was created.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Set replaces or creates an object, whatever its version is.
func (s *Store) Set(key string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, body)
}

func (s *Store) set(key string, body []byte) string {
	if s.objects == nil {
		s.objects = map[string]*object{}
	}
	o := s.objects[key]
	if o == nil {
		o = &object{changed: make(chan struct{})}
		s.objects[key] = o
	}
	s.version++
	o.previous = o.Object
	o.Object = store.Object{Body: append([]byte(nil), body...), Tag: fmt.Sprintf("%q", fmt.Sprint("v", s.version))}
	close(o.changed)
	o.changed = make(chan struct{})
	return o.Tag
}

// startCall counts a call and applies the rate limits and the faults that affect every call.
func (s *Store) startCall(ctx context.Context, write bool, count *int64) error {
	s.mu.Lock()
	if s.reads == nil {
		s.reads = rate.NewLimiter(ReadsPerSecond, ReadsPerSecond)
		s.writes = rate.NewLimiter(WritesPerSecond, WritesPerSecond)
	}
	*count++
	limiter := s.reads
	if write {
		limiter = s.writes
	}
	allowed := limiter.Allow()
	if !allowed {
		s.calls.Limited++
	}
	faults := s.faults
	s.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
			return eris.Wrap(store.ErrUnavailable, ctx.Err().Error())
		}
	}
	if faults.Down || !allowed {
		return store.ErrUnavailable
	}
	return nil
}

// Get implements store.Client.
func (s *Store) Get(ctx context.Context, key string) (store.Object, error) {
	if err := s.startCall(ctx, false, &s.calls.Reads); err != nil {
		return store.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[key]
	if o == nil {
		return store.Object{}, store.ErrNotFound
	}
	if s.faults.StaleReads > 0 && o.previous.Tag != "" {
		s.faults.StaleReads--
		return o.previous, nil
	}
	return o.Object, nil
}

// Put implements store.Client.
func (s *Store) Put(ctx context.Context, key, tag string, body []byte) (string, error) {
	if err := s.startCall(ctx, true, &s.calls.Writes); err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := ""
	if o := s.objects[key]; o != nil {
		current = o.Tag
	}
	if current != tag {
		return "", store.ErrConflict
	}
	if len(body) > store.MaxBody {
		return "", eris.Errorf("value has %d bytes; at most %d are held", len(body), store.MaxBody)
	}
	newTag := s.set(key, body)
	if s.faults.LostReplies > 0 {
		s.faults.LostReplies--
		return "", store.ErrUnknown
	}
	return newTag, nil
}

// Watch implements store.Client.
func (s *Store) Watch(ctx context.Context, key, tag string, wait time.Duration) (store.Object, bool, error) {
	if err := s.startCall(ctx, false, &s.calls.Watches); err != nil {
		return store.Object{}, false, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if s.faults.Down {
			s.mu.Unlock()
			return store.Object{}, false, store.ErrUnavailable
		}
		o := s.objects[key]
		if o == nil {
			s.mu.Unlock()
			return store.Object{}, false, store.ErrNotFound
		}
		current, changed := o.Object, o.changed
		s.mu.Unlock()
		if current.Tag != tag {
			return current, true, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return store.Object{}, false, nil
		case <-ctx.Done():
			return store.Object{}, false, eris.Wrap(store.ErrUnavailable, ctx.Err().Error())
		}
	}
}
