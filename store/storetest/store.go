// SPDX-License-Identifier: MIT

// Package storetest is a small stand-in of the platform's object API, in
// memory, with faults to switch on.
//
// [Store] is a store.Client itself, for tests within a process, and
// [Store.Handle] serves the same objects over HTTP for separate processes.
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

// The platform's rates, in calls a second. A waiting watch counts as a read.
const (
	WritesPerSecond = 100
	ReadsPerSecond  = 2000
)

// Faults are what the stand-in does wrong. The zero value is healthy.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// Delay holds up every call.
	Delay time.Duration `json:"delay_ns"`
	// LostReplies is how many of the next writes take effect and lose their
	// reply.
	LostReplies int `json:"lost_replies"`
	// StaleReads is how many of the next reads return the version before.
	StaleReads int `json:"stale_reads"`
}

// Calls counts calls by kind.
type Calls struct {
	Reads   int64 `json:"reads"`
	Watches int64 `json:"watches"`
	Writes  int64 `json:"writes"`
	// Limited counts the calls that were over the platform's rates.
	Limited int64 `json:"limited"`
}

type object struct {
	store.Object
	before  store.Object
	changed chan struct{}
}

// Store is the stand-in. The zero value is empty and usable.
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
		close(o.changed) // Watches that wait meet the new faults.
		o.changed = make(chan struct{})
	}
}

// Calls returns the counts since the start.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Set stores a value whatever its version, as the platform itself would.
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
	o.before = o.Object
	o.Object = store.Object{Body: append([]byte(nil), body...), Tag: fmt.Sprintf("%q", fmt.Sprint("v", s.version))}
	close(o.changed)
	o.changed = make(chan struct{})
	return o.Tag
}

// enter applies the rates and the faults that every call meets.
func (s *Store) enter(ctx context.Context, write bool, count *int64) error {
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
	if err := s.enter(ctx, false, &s.calls.Reads); err != nil {
		return store.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[key]
	if o == nil {
		return store.Object{}, store.ErrNotFound
	}
	if s.faults.StaleReads > 0 && o.before.Tag != "" {
		s.faults.StaleReads--
		return o.before, nil
	}
	return o.Object, nil
}

// Put implements store.Client.
func (s *Store) Put(ctx context.Context, key, tag string, body []byte) (string, error) {
	if err := s.enter(ctx, true, &s.calls.Writes); err != nil {
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
	if err := s.enter(ctx, false, &s.calls.Watches); err != nil {
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
