package relay

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/fetch"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
	"github.com/marjoramrudder/marjoramrudder/internal/roster"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// evacuationsWait is how long an instance with a configuration waits for the
	// set of evacuated data centres before it proceeds without it. Callers wait
	// as long for the configuration.
	evacuationsWait = 1500 * time.Millisecond
	// evacuationSourceTimeout is how long an instance relies on peers for the set
	// after the latest heartbeat of one that follows the store and knows the set:
	// two and a half intervals.
	evacuationSourceTimeout = 2500 * time.Millisecond
)

// Evacuations is a set of data centres that the operator has taken out of
// service.
type Evacuations struct {
	// Revision is the store's version of the newest change of the set.
	Revision ident.Revision
	// Read is the store's version up to which the set is complete, zero if it
	// comes from another instance.
	Read        ident.Revision
	DataCentres []ident.DataCentre
}

// evacuationList is what an instance knows of evacuations. It is not safe for
// concurrent use.
type evacuationList struct {
	enabled bool
	known   bool // a set has been received
	// proceeded is set once the instance serves although it knows no set.
	proceeded    bool
	configuredAt time.Time // when the wait for the set began
	revision     ident.Revision
	read         ident.Revision // the newest version of the store that this instance has read
	dataCentres  []ident.DataCentre
	fetch        fetch.Fetcher[ident.Revision]
	sourceAt     time.Time // of the latest heartbeat of a follower that knows the set
	returns      returns
}

// replace applies a set unless a newer one is known. It reports whether that
// changed the data centres or made them known.
func (l *evacuationList) replace(now time.Time, e Evacuations) bool {
	fromStore := e.Read != 0
	before := l.read
	l.read = max(l.read, e.Read)
	slices.Sort(e.DataCentres)
	differs := !l.known || !slices.Equal(l.dataCentres, e.DataCentres)
	revision := e.Revision
	switch {
	case l.known && fromStore && (e.Read < before || e.Read < l.revision):
		return false
	case l.known && fromStore && differs && revision <= l.revision:
		// A peer's set was wrong, and the peers have to learn of the right one.
		revision = e.Read
	case l.known && !fromStore && (revision <= l.revision || revision <= l.read):
		// This instance has read the store at or after the peer's revision.
		l.fetch.Received(now, max(revision, l.revision))
		return false
	}
	if !l.known || revision > l.revision {
		l.fetch.Received(now, revision)
	}
	l.returns.update(now, l.dataCentres, e.DataCentres)
	l.known, l.revision, l.dataCentres = true, max(revision, l.revision), e.DataCentres
	return differs
}

// observe records what a heartbeat shows.
func (l *evacuationList) observe(now time.Time, source fetch.Source, m peer.Heartbeat) {
	if !l.enabled || m.Evacuations == 0 {
		return
	}
	l.fetch.Observe(now, source, m.Evacuations)
	if roster.StoreState(m.Store) == roster.Following {
		l.sourceAt = now
	}
}

// hasSource reports whether a peer follows the store and knows the set. An
// instance of an older version follows the store without knowing it.
func (l *evacuationList) hasSource(now time.Time) bool {
	return now.Sub(l.sourceAt) < evacuationSourceTimeout
}

// ready reports whether endpoints may be used: the set is known, evacuations are
// ignored, or the instance has waited long enough for the set.
func (l *evacuationList) ready() bool { return !l.enabled || l.known || l.proceeded }

// proceed reports, once, that the instance has waited long enough for the set.
func (l *evacuationList) proceed(now time.Time, configured bool) bool {
	switch {
	case l.ready() || !configured:
		return false
	case l.configuredAt.IsZero():
		l.configuredAt = now
	}
	l.proceeded = now.Sub(l.configuredAt) >= evacuationsWait
	return l.proceeded
}

func (l *evacuationList) includes(dc ident.DataCentre) bool {
	return slices.Contains(l.dataCentres, dc)
}
