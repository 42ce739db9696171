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
	// hangBound is how long the administration address of a proxy without a
	// fault may be unresponsive.
	hangBound = 15 * time.Second
)

// watcher polls every process during the run.
type watcher struct {
	deployment *deployment
	recorder   *recorder

	mu               sync.Mutex
	rollout          *rolloutCheck
	storeFaults      int // number of store faults in effect
	lastStoreFaultAt time.Time
	highest          ident.Version
}

func newWatcher(d *deployment, rc *recorder) *watcher {
	return &watcher{deployment: d, recorder: rc, rollout: newRolloutCheck()}
}

// countStoreFault adds change to the number of store faults in effect.
func (w *watcher) countStoreFault(change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeFaults += change
	w.lastStoreFaultAt = time.Now()
	w.rollout.setStoreDown(w.storeFaults > 0)
}

// storeFaultSince reports whether a fault affected the store after t.
func (w *watcher) storeFaultSince(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeFaults > 0 || w.lastStoreFaultAt.After(t)
}

// accept records a version that a command returned.
func (w *watcher) accept(version ident.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.highest = max(w.highest, version)
	w.rollout.accept(version, time.Now())
}

// watchProxy polls one proxy until ctx ends.
func (w *watcher) watchProxy(ctx context.Context, p layout.Proxy) error {
	s := proxyPoll{watcher: w, proxy: p, answered: time.Now()}
	for range ticks(ctx, pollPause) {
		s.poll(ctx)
	}
	return nil
}

// proxyPoll holds the state of the polling of one proxy.
type proxyPoll struct {
	*watcher
	proxy      layout.Proxy
	pid        int
	since      uint64 // sequence of the last record
	violations uint64
	answered   time.Time
	hung       bool
}

func (s *proxyPoll) poll(ctx context.Context) {
	pid, err := s.deployment.procs.PID(string(s.proxy.Name))
	if err != nil {
		return
	}
	if s.pid != pid {
		s.pid, s.since, s.violations = pid, 0, 0
	}
	v, err := s.deployment.admin.Version(ctx, s.proxy.Admin)
	now := time.Now()
	if ctx.Err() != nil {
		return
	}
	if err != nil || s.recorder.pausedUntil(s.proxy.Name).After(now) {
		s.missed(err, now)
		return
	}
	s.answered, s.hung = now, false
	if after, err := s.deployment.procs.PID(string(s.proxy.Name)); err != nil || after != pid {
		return
	}
	s.checkVersion(pid, v.Version, now)
	s.collect(ctx, now)
}

func (s *proxyPoll) checkVersion(pid int, version ident.Version, now time.Time) {
	s.mu.Lock()
	wrong := s.rollout.poll(s.proxy.Name, pid, version, now)
	s.mu.Unlock()
	for _, text := range wrong {
		s.recorder.violate(now, VersionOrder, text)
	}
}

func (s *proxyPoll) missed(err error, now time.Time) {
	s.mu.Lock()
	s.rollout.disturb(s.proxy.Name, now)
	s.mu.Unlock()
	if err == nil || s.recorder.pausedUntil(s.proxy.Name).After(now) {
		s.answered = now
		return
	}
	if now.Sub(s.answered) > hangBound && !s.hung {
		s.hung = true
		s.recorder.violate(now, ProcessAlive, fmt.Sprintf("%s has been unresponsive for %s: %v", s.proxy.Name, hangBound, err))
	}
}

// collect fetches the new events and the violated invariants.
func (s *proxyPoll) collect(ctx context.Context, now time.Time) {
	if e, err := s.deployment.admin.Events(ctx, s.proxy.Admin, s.since); err == nil && len(e.Records) > 0 {
		s.recorder.addEvents(e.Records)
		s.since = e.Records[len(e.Records)-1].Sequence
	}
	if i, err := s.deployment.admin.Invariants(ctx, s.proxy.Admin); err == nil && i.Broken > s.violations {
		s.violations = i.Broken
		s.recorder.violate(now, Invariant, fmt.Sprintf("%s: %d violated: %q", s.proxy.Name, i.Broken, i.Reports))
	}
}

// watchProcess detects processes that end although no fault ended them.
func (w *watcher) watchProcess(ctx context.Context, name string) error {
	last := 0
	for now := range ticks(ctx, pollPause) {
		pid, err := w.deployment.procs.PID(name)
		if err != nil {
			continue
		}
		if last != 0 && pid != last && !w.recorder.endExpected(last) {
			w.recorder.violate(now, ProcessAlive, fmt.Sprintf("%s (process %d) ended unexpectedly", name, last))
		}
		last = pid
	}
	return nil
}
