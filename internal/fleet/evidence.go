package fleet

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// evidence is the time at which a successful read of the store began that
// showed no later version than the one it is kept with.
type evidence struct {
	at    time.Time
	known bool
}

func (e evidence) later(o evidence) evidence {
	if !e.known || o.known && o.at.After(e.at) {
		return o
	}
	return e
}

// announcement says that an instance may write a version.
type announcement struct {
	version ident.Version
	at      time.Time
}

// prove notes that the store showed no version later than version at at.
func (s *DocumentTracker) prove(version ident.Version, at time.Time) {
	if version != s.wanted.version {
		return
	}
	s.wantedProof = s.wantedProof.later(evidence{at: at, known: true})
	if s.caughtUp() {
		s.proof = s.proof.later(s.wantedProof)
	}
	if !at.Before(s.started.Add(s.bounds.Announce)) {
		s.settled = true
	}
}

// caughtUp reports whether the latest version known is in force, or was
// refused because this build can't read it.
func (s *DocumentTracker) caughtUp() bool {
	return s.current.version == s.wanted.version || s.refused == s.wanted.version
}

// TrustedUntil returns when the instance must stop to honour keys unless it
// learns more. It is the zero time before a document is in force.
//
// Two grounds are enough. Either a read of the store that began within the
// bound Evidence showed no later version. Or more than half of the known
// instances, this one included, were in touch within the bound Contact and
// none has heard of an announcement: a later version can't have been written,
// since its author must announce it to half of them first.
func (s *DocumentTracker) TrustedUntil() time.Time {
	if s.current.version == 0 {
		return time.Time{}
	}
	var until time.Time
	if s.proof.known {
		until = s.proof.at.Add(s.bounds.Evidence)
	}
	if m := s.majorityUntil(); m.After(until) {
		until = m
	}
	if s.off&evidenceBound != 0 {
		until = s.last.Add(time.Hour)
	}
	return until
}

// majorityUntil returns until when the contacts add up to more than half.
func (s *DocumentTracker) majorityUntil() time.Time {
	if !s.caughtUp() || s.pending() || len(s.known) == 0 {
		return time.Time{}
	}
	var at []time.Time
	for _, n := range s.known {
		if n == s.self && s.settledNow() {
			at = append(at, s.last)
		}
		if c := s.contacts[n]; c != nil && !c.at.IsZero() && (c.settled || s.off&settling != 0) {
			at = append(at, c.at)
		}
	}
	need := len(s.known)/2 + 1
	if len(at) < need {
		return time.Time{}
	}
	slices.SortFunc(at, func(a, b time.Time) int { return b.Compare(a) })
	return at[need-1].Add(s.bounds.Contact)
}

// pending reports whether a version later than the one in force may have been
// written after the latest evidence.
func (s *DocumentTracker) pending() bool {
	a := s.announced
	if a.version <= s.current.version {
		return false
	}
	over := a.at.Add(s.bounds.Announce)
	return !s.wantedProof.known || s.wantedProof.at.Before(over)
}

// announce takes in an announcement made at at. The latest one counts.
func (s *DocumentTracker) announce(version ident.Version, at time.Time) (news bool) {
	a := &s.announced
	if version < a.version || version == a.version && !at.After(a.at) {
		return false
	}
	news = version > a.version
	*a = announcement{version: version, at: at}
	return news
}

func (s *DocumentTracker) settledNow() bool { return s.settled || s.off&settling != 0 }
