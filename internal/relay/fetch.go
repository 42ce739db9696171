package relay

import (
	"cmp"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// feedWait is how long an instance waits for its own feed of the store
	// before it requests a newer version from another instance, whose bandwidth
	// is limited.
	feedWait = 300 * time.Millisecond
	// fetchTimeout is how long it waits for a reply before it sends the next
	// request: several times the transfer time of a large configuration on a
	// slow link.
	fetchTimeout = time.Second
)

// fetcher decides when to request a newer version from another instance, and
// from which one. It prevents all instances from requesting a large change from
// each other at the same time. The zero value is ready to use. It is not safe
// for concurrent use.
type fetcher[V cmp.Ordered] struct {
	current     V
	newest      V
	source      ident.Instance // the latest instance known to have the newest version
	behindSince time.Time      // when a newer version became known, zero if there is none
	requestedAt time.Time
}

// observe records the version that another instance has.
func (f *fetcher[V]) observe(now time.Time, source ident.Instance, version V) {
	if version <= f.current {
		return
	}
	if f.behindSince.IsZero() {
		f.behindSince = now
	}
	f.newest, f.source = max(f.newest, version), source
}

// received records a version that arrived, from the store or an instance.
func (f *fetcher[V]) received(version V) {
	f.current = version
	f.requestedAt = time.Time{}
	if f.newest <= version {
		f.behindSince = time.Time{}
	}
}

// due returns the instance to send a request to, if it is time for one. An
// instance without any version does not wait for the store.
func (f *fetcher[V]) due(now time.Time) (ident.Instance, bool) {
	var none V
	switch {
	case f.behindSince.IsZero(), now.Sub(f.requestedAt) < fetchTimeout:
		return "", false
	case f.current != none && now.Sub(f.behindSince) < feedWait:
		return "", false
	}
	f.requestedAt = now
	return f.source, true
}
