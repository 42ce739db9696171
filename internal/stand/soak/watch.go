package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/stand/layout"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	pollPause = 200 * time.Millisecond
	// hangBound is how long a proxy without a fault may leave its
	// administration address unanswered.
	hangBound = 15 * time.Second
)

// watcher polls every process while the faults go on.
type watcher struct {
	set  *set
	book *book

	mu        sync.Mutex
	spread    *spreadCheck
	stores    int // faults of the store that are on
	storeLast time.Time
	highest   ident.Version
}

func newWatcher(s *set, b *book) *watcher { return &watcher{set: s, book: b, spread: newSpreadCheck()} }

// storeFault counts the faults of the store that are on.
func (w *watcher) storeFault(change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stores += change
	w.storeLast = time.Now()
	w.spread.setStore(w.stores > 0)
}

// storeFaultSince reports whether the store was disturbed after t.
func (w *watcher) storeFaultSince(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stores > 0 || w.storeLast.After(t)
}

// accept notes a version that a command has returned.
func (w *watcher) accept(version ident.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.highest = max(w.highest, version)
	w.spread.accept(version, time.Now())
}

// watchProxy polls one proxy until ctx ends.
func (w *watcher) watchProxy(ctx context.Context, p layout.Proxy) error {
	s := proxyPoll{watcher: w, proxy: p, answered: time.Now()}
	for range ticks(ctx, pollPause) {
		s.poll(ctx)
	}
	return nil
}

// proxyPoll is what the watcher remembers of one proxy.
type proxyPoll struct {
	*watcher
	proxy    layout.Proxy
	pid      int
	since    uint64 // sequence of the last record
	broken   uint64
	answered time.Time
	hung     bool
}

func (s *proxyPoll) poll(ctx context.Context) {
	pid, err := s.set.pid(string(s.proxy.Name))
	if err != nil {
		return
	}
	if s.pid != pid {
		s.pid, s.since, s.broken = pid, 0, 0
	}
	v, err := s.set.admin.Version(ctx, s.proxy.Admin)
	now := time.Now()
	if ctx.Err() != nil {
		return
	}
	if err != nil || s.book.pausedUntil(s.proxy.Name).After(now) {
		s.missed(err, now)
		return
	}
	s.answered, s.hung = now, false
	if after, err := s.set.pid(string(s.proxy.Name)); err != nil || after != pid {
		return
	}
	s.take(pid, v.Version, now)
	s.collect(ctx, now)
}

func (s *proxyPoll) take(pid int, version ident.Version, now time.Time) {
	s.mu.Lock()
	wrong := s.spread.poll(s.proxy.Name, pid, version, now)
	s.mu.Unlock()
	for _, text := range wrong {
		s.book.violate(now, VersionOrder, text)
	}
}

func (s *proxyPoll) missed(err error, now time.Time) {
	s.mu.Lock()
	s.spread.disturb(s.proxy.Name, now)
	s.mu.Unlock()
	if err == nil || s.book.pausedUntil(s.proxy.Name).After(now) {
		s.answered = now
		return
	}
	if now.Sub(s.answered) > hangBound && !s.hung {
		s.hung = true
		s.book.violate(now, ProcessAlive, fmt.Sprintf("%s has not answered for %s: %v", s.proxy.Name, hangBound, err))
	}
}

// collect takes over the events and the broken invariants.
func (s *proxyPoll) collect(ctx context.Context, now time.Time) {
	if e, err := s.set.admin.Events(ctx, s.proxy.Admin, s.since); err == nil && len(e.Records) > 0 {
		s.book.addEvents(e.Records)
		s.since = e.Records[len(e.Records)-1].Sequence
	}
	if i, err := s.set.admin.Invariants(ctx, s.proxy.Admin); err == nil && i.Broken > s.broken {
		s.broken = i.Broken
		s.book.violate(now, Invariant, fmt.Sprintf("%s: %d broken: %q", s.proxy.Name, i.Broken, i.Reports))
	}
}

// watchProcess finds a process that ended without a fault that ends it.
func (w *watcher) watchProcess(ctx context.Context, name string) error {
	last := 0
	for now := range ticks(ctx, pollPause) {
		pid, err := w.set.pid(name)
		if err != nil {
			continue
		}
		if last != 0 && pid != last && !w.book.endExpected(last) {
			w.book.violate(now, ProcessAlive, fmt.Sprintf("%s (process %d) ended by itself", name, last))
		}
		last = pid
	}
	return nil
}
