package fleet

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// evidence is the start time of a successful read of the store that showed no
// later version than the one with which the evidence is stored.
type evidence struct {
	at    time.Time
	known bool
}

func (e evidence) newer(o evidence) evidence {
	if !e.known || o.known && o.at.After(e.at) {
		return o
	}
	return e
}

// announcement is a notice that an instance may write a version.
type announcement struct {
	version ident.Version
	at      time.Time
}

// addProof records that the store contained no version later than version at
// the given time.
func (t *DocumentTracker) addProof(version ident.Version, at time.Time) {
	if version != t.latest.version {
		return
	}
	t.latestProof = t.latestProof.newer(evidence{at: at, known: true})
	if t.caughtUp() {
		t.currentProof = t.currentProof.newer(t.latestProof)
	}
	if !at.Before(t.started.Add(t.bounds.Announce)) {
		t.settled = true
	}
}

// caughtUp reports whether the latest known version is in force, or was refused
// because this build cannot parse it.
func (t *DocumentTracker) caughtUp() bool {
	return t.current.version == t.latest.version || t.refused == t.latest.version
}

// TrustedUntil returns when the instance must stop honouring keys unless it
// obtains newer evidence. It is the zero time before a document is in force.
//
// Either of two conditions is sufficient. A read of the store that started
// within the bound Evidence showed no later version. Or more than half of the
// known instances, including this one, were connected within the bound Contact
// and none knows of an announcement: a later version cannot have been written,
// because its author must announce it to half of them first.
func (t *DocumentTracker) TrustedUntil() time.Time {
	if t.current.version == 0 {
		return time.Time{}
	}
	var until time.Time
	if t.currentProof.known {
		until = t.currentProof.at.Add(t.bounds.Evidence)
	}
	if m := t.majorityUntil(); m.After(until) {
		until = m
	}
	if t.disabled&evidenceExpiry != 0 {
		until = t.lastUpdate.Add(time.Hour)
	}
	return until
}

// majorityUntil returns until when more than half of the known instances count
// as connected.
func (t *DocumentTracker) majorityUntil() time.Time {
	if !t.caughtUp() || t.laterWritePossible() || len(t.known) == 0 {
		return time.Time{}
	}
	var at []time.Time
	for _, n := range t.known {
		if n == t.self && t.isSettled() {
			at = append(at, t.lastUpdate)
		}
		if c := t.contacts[n]; c != nil && !c.aliveAt.IsZero() && (c.settled || t.disabled&settleAfterStart != 0) {
			at = append(at, c.aliveAt)
		}
	}
	need := len(t.known)/2 + 1
	if len(at) < need {
		return time.Time{}
	}
	slices.SortFunc(at, func(a, b time.Time) int { return b.Compare(a) })
	return at[need-1].Add(t.bounds.Contact)
}

// laterWritePossible reports whether a version later than the one in force may
// have been written after the latest evidence.
func (t *DocumentTracker) laterWritePossible() bool {
	a := t.announced
	if a.version <= t.current.version {
		return false
	}
	expiresAt := a.at.Add(t.bounds.Announce)
	return !t.latestProof.known || t.latestProof.at.Before(expiresAt)
}

// observeAnnouncement records an announcement made at the given time, and
// reports whether its version is higher than any announced before. The latest
// announcement counts.
func (t *DocumentTracker) observeAnnouncement(version ident.Version, at time.Time) (isNew bool) {
	a := &t.announced
	if version < a.version || version == a.version && !at.After(a.at) {
		return false
	}
	isNew = version > a.version
	*a = announcement{version: version, at: at}
	return isNew
}

func (t *DocumentTracker) isSettled() bool { return t.settled || t.disabled&settleAfterStart != 0 }
