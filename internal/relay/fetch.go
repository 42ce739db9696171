package relay

import (
	"cmp"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// fetchPatience is how long an instance waits for its own feed of the store
	// before it asks another instance, which has few bytes to spare.
	fetchPatience = 300 * time.Millisecond
	// fetchAgain is how long it waits for an answer before it asks another one:
	// the time of a large configuration on a narrow link, several times.
	fetchAgain = time.Second
)

// fetch decides when to ask another instance for what it has in a newer
// version, and which one. It answers a large change that all instances hear of
// from all others at once. The zero value is ready; it is not safe for
// concurrent use.
type fetch[V cmp.Ordered] struct {
	own    V
	newest V
	holder ident.Instance // the latest that was heard to have it
	behind time.Time      // since when a newer version is known to exist
	asked  time.Time
}

// hear takes the version that another instance has.
func (f *fetch[V]) hear(now time.Time, holder ident.Instance, theirs V) {
	if theirs <= f.own {
		return
	}
	if f.behind.IsZero() {
		f.behind = now
	}
	f.newest, f.holder = max(f.newest, theirs), holder
}

// got takes a version that came in, from anywhere.
func (f *fetch[V]) got(own V) {
	f.own = own
	f.asked = time.Time{}
	if f.newest <= own {
		f.behind = time.Time{}
	}
}

// due returns the instance to ask now, if there is one. An instance that has no
// version yet does not wait for the store.
func (f *fetch[V]) due(now time.Time) (ident.Instance, bool) {
	var none V
	switch {
	case f.behind.IsZero(), now.Sub(f.asked) < fetchAgain:
		return "", false
	case f.own != none && now.Sub(f.behind) < fetchPatience:
		return "", false
	}
	f.asked = now
	return f.holder, true
}
