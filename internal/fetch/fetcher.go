// Package fetch decides when an instance requests state that is newer than its own
// from other instances, and from which one. Fetcher decides for any versioned state,
// Document fetches the text of a configuration in pieces, and History serves them.
// The deciding types do no I/O and are not safe for concurrent use.
package fetch

import (
	"cmp"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// feedWait is how long an instance waits for its own feed of the store, or
	// for a source in its data centre, before it requests a newer version from a
	// distant instance.
	feedWait = 300 * time.Millisecond
	// replyTimeout is how long it waits for a reply before it sends the next
	// request, to another source if there is one.
	replyTimeout = time.Second
	// fetchSpacing is the minimum time between a version that arrived and the
	// next request, so that changes in quick succession are requested together.
	fetchSpacing = 500 * time.Millisecond
	// maxSources is how many sources of the newest version are remembered.
	maxSources = 8
)

// Source is an instance that has a version. Near is set if it is in the same data
// centre.
type Source struct {
	Instance ident.Instance
	Near     bool
}

// Fetcher decides when to request a newer version from another instance, and
// from which one. It prevents all instances from requesting a large change from
// each other at the same time. The zero value is ready to use.
type Fetcher[V cmp.Ordered] struct {
	// NoFeed is set while this instance does not follow the store, so that
	// nothing is gained by waiting for its own feed.
	NoFeed bool

	current V
	newest  V
	// sources are instances known to have the newest version, the preferred one
	// first.
	sources     []Source
	behindSince time.Time // when a newer version became known, zero if there is none
	requestedAt time.Time
	receivedAt  time.Time
}

// Newest returns the newest version that is known.
func (f *Fetcher[V]) Newest() V { return f.newest }

// BehindSince returns since when a newer version is known than the one that this
// instance has, or the zero time.
func (f *Fetcher[V]) BehindSince() time.Time { return f.behindSince }

// Observe records the version that another instance has.
func (f *Fetcher[V]) Observe(now time.Time, source Source, version V) {
	if version <= f.current || version < f.newest {
		return
	}
	if f.behindSince.IsZero() {
		f.behindSince = now
	}
	if version > f.newest {
		f.newest, f.sources = version, nil
	}
	f.addSource(source)
}

// addSource adds a source of the newest version. A near one goes before the others.
func (f *Fetcher[V]) addSource(source Source) {
	if slices.Contains(f.sources, source) {
		return
	}
	at := len(f.sources)
	if far := slices.IndexFunc(f.sources, func(s Source) bool { return !s.Near }); source.Near && far >= 0 {
		at = far
	}
	f.sources = slices.Insert(f.sources, at, source)
	f.sources = f.sources[:min(len(f.sources), maxSources)]
}

// Forget removes a source that can't be reached any more. A request to it counts as
// unanswered.
func (f *Fetcher[V]) Forget(source ident.Instance) {
	if len(f.sources) > 0 && f.sources[0].Instance == source {
		f.requestedAt = time.Time{}
	}
	f.sources = slices.DeleteFunc(f.sources, func(s Source) bool { return s.Instance == source })
}

// Received records a version that arrived, from the store or an instance.
func (f *Fetcher[V]) Received(now time.Time, version V) {
	f.current = version
	f.requestedAt, f.receivedAt = time.Time{}, now
	if f.newest <= version {
		f.behindSince = time.Time{}
	} else if !f.behindSince.IsZero() {
		f.behindSince = now
	}
}

// Due returns the instance to send a request to, if it is time for one. An
// instance without any version does not wait. After a request without a reply, the
// next one goes to another source.
func (f *Fetcher[V]) Due(now time.Time) (ident.Instance, bool) {
	var none V
	switch {
	case f.behindSince.IsZero(), len(f.sources) == 0, now.Sub(f.requestedAt) < replyTimeout:
		return "", false
	case f.current != none && (now.Sub(f.behindSince) < f.patience() || now.Sub(f.receivedAt) < fetchSpacing):
		return "", false
	}
	if !f.requestedAt.IsZero() {
		f.NextSource()
	}
	f.requestedAt = now
	return f.sources[0].Instance, true
}

// patience returns how long to wait for the own feed or a near source.
func (f *Fetcher[V]) patience() time.Duration {
	if f.NoFeed && f.sources[0].Near {
		return 0
	}
	return feedWait
}

// NextSource makes another source the preferred one, if there is one.
func (f *Fetcher[V]) NextSource() { f.sources = append(f.sources[1:], f.sources[0]) }
