package relay

import (
	"math"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// maxReturnAge is how long a return is remembered. It exceeds the time for which
// an endpoint may be cold.
const maxReturnAge = 2 * time.Minute

// returns holds when data centres returned from an evacuation. An instance that
// starts learns it from its peers: it would otherwise send as much to the cold
// endpoints there as to others, and may become the owner at once.
type returns map[ident.DataCentre]returned

// returned is one return. The schedulers know of it already if this instance saw
// it itself.
type returned struct {
	at   time.Time
	seen bool
}

// update records the data centres that are missing from a newer set.
func (r returns) update(now time.Time, before, after []ident.DataCentre) {
	for _, dc := range before {
		if !slices.Contains(after, dc) {
			r[dc] = returned{at: now, seen: true}
		}
	}
	for _, dc := range after {
		delete(r, dc)
	}
}

// learn records what a peer reports. It reports whether that is new.
func (r returns) learn(now time.Time, all []peer.DataCentreReturn) bool {
	changed := false
	for _, p := range all {
		if _, known := r[p.DataCentre]; !known && p.Age < maxReturnAge {
			r[p.DataCentre] = returned{at: now.Add(-p.Age)}
			changed = true
		}
	}
	return changed
}

// recent returns the returns for another instance, sorted.
func (r returns) recent(now time.Time) []peer.DataCentreReturn {
	var all []peer.DataCentreReturn
	for dc, p := range r {
		if age := now.Sub(p.at); age < maxReturnAge {
			all = append(all, peer.DataCentreReturn{DataCentre: dc, Age: age})
		} else {
			delete(r, dc)
		}
	}
	slices.SortFunc(all, func(a, b peer.DataCentreReturn) int { return int(a.Age - b.Age) })
	return all
}

// age returns how long ago a data centre returned, according to a peer. It is very
// large for one that did not.
func (r returns) age(now time.Time, dc ident.DataCentre) time.Duration {
	if p, ok := r[dc]; ok && !p.seen {
		return now.Sub(p.at)
	}
	return math.MaxInt64
}
