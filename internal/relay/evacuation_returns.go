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
// starts learns of returns from its peers, because it may become the owner of a
// group at once and would otherwise send as much to the cold endpoints there as to
// others.
type returns map[ident.DataCentre]returned

// returned is one return from an evacuation.
type returned struct {
	at time.Time
	// observed is set if this instance saw the data centre leave the set. Its
	// schedulers then know of the return without this entry.
	observed bool
}

// update records the data centres that are missing from a newer set.
func (r returns) update(now time.Time, before, after []ident.DataCentre) {
	for _, dc := range before {
		if !slices.Contains(after, dc) {
			r[dc] = returned{at: now, observed: true}
		}
	}
	for _, dc := range after {
		delete(r, dc)
	}
}

// learn records the returns that a peer reports. It returns whether one of them is
// new.
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

// age returns how long ago a data centre returned, according to a peer. It is the
// longest duration if no peer reported a return or this instance saw it.
func (r returns) age(now time.Time, dc ident.DataCentre) time.Duration {
	if p, ok := r[dc]; ok && !p.observed {
		return now.Sub(p.at)
	}
	return math.MaxInt64
}
