package group

import (
	"fmt"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// updateConditions records since when the primary has been lost or isolated, a
// sealed term has had no primary, or the primary should hand over.
func (e *Elector) updateConditions() {
	trackSince(&e.lostSince, e.primaryIsLost(), e.now)
	trackSince(&e.isolatedSince, e.primaryIsolated(), e.now)
	trackSince(&e.unresolvedSince, e.safeguards.resolveSealed && e.higherTermSealed(), e.now)
	trackSince(&e.handOverSince, e.canHandOver(), e.now)
}

// trackSince maintains the instant since which a condition has held without
// interruption; zero while it does not hold.
func trackSince(start *time.Time, holds bool, now time.Time) {
	if !holds {
		*start = time.Time{}
		return
	}
	if start.IsZero() {
		*start = now
	}
}

// primaryIsLost reports whether both this instance and a majority of the
// group's servers have lost the primary. An isolated instance gets no answers
// from the servers, or answers of servers that still receive from their
// primary, and so promotes none.
func (e *Elector) primaryIsLost() bool {
	if e.primaryHealthy() {
		return false
	}
	if !e.safeguards.requireVotes {
		return true
	}
	return e.votes() >= e.majority()
}

// primaryIsolated reports whether a majority of the group's servers has lost
// the primary. It can't confirm any write then, even if it still answers this
// instance.
func (e *Elector) primaryIsolated() bool { return e.votes() >= e.majority() }

// primaryHealthy reports whether the primary works as far as this instance
// knows.
func (e *Elector) primaryHealthy() bool {
	p := e.find(e.primary)
	if p == nil {
		return false
	}
	if e.now.Sub(e.adoptedAt) < e.bounds.LostAfter {
		return true
	}
	return p.isPrimary(e.term) && !p.unresponsive(e.now, &e.bounds)
}

// votes counts the servers whose recent answer shows that they have lost the
// primary.
func (e *Elector) votes() int {
	count := 0
	for _, m := range e.members {
		if m.answeredRecently(e.now, &e.bounds) && e.missesPrimary(m) {
			count++
		}
	}
	return count
}

// missesPrimary reports whether the endpoint's answer shows that it has lost
// the primary of the current term.
func (e *Elector) missesPrimary(m *member) bool {
	s := &m.status
	switch {
	case s.Term < e.term:
		return true
	case s.Role == PrimaryRole:
		return s.Sealed > e.term
	}
	return s.PrimaryHeard >= e.silentAfter()
}

// silentAfter returns the silence after which a replica has lost the primary.
func (e *Elector) silentAfter() time.Duration {
	if p := e.find(e.primary); p != nil && p.refusesConnections(&e.bounds) {
		return e.bounds.RefusedSilentAfter
	}
	return e.bounds.SilentAfter
}

// higherTermSealed reports whether a server refuses the current term because
// some instance has sealed a higher one.
func (e *Elector) higherTermSealed() bool {
	for _, m := range e.members {
		if m.answeredRecently(e.now, &e.bounds) && m.status.Sealed > e.term {
			return true
		}
	}
	return false
}

// canHandOver reports whether the primary is leaving and another server could
// take over.
func (e *Elector) canHandOver() bool {
	p := e.find(e.primary)
	if p == nil || !p.leaving {
		return false
	}
	for _, m := range e.members {
		if m != p && !m.leaving && m.answeredRecently(e.now, &e.bounds) {
			return true
		}
	}
	return false
}

// replicaCaughtUp reports whether a server that is not leaving held all records
// of the primary when both were last seen.
func (e *Elector) replicaCaughtUp() bool {
	p := e.find(e.primary)
	for _, m := range e.members {
		if m != p && !m.leaving && m.answeredRecently(e.now, &e.bounds) && m.status.Last.Covers(p.status.Last) {
			return true
		}
	}
	return false
}

// takeoverDelay returns how long this instance waits for the instances before
// it in rank to act.
func (e *Elector) takeoverDelay() time.Duration { return time.Duration(e.rank) * e.bounds.TakeoverStep }

// due reports whether a condition has held for wait plus this instance's
// takeover delay.
func (e *Elector) due(start time.Time, wait time.Duration) bool {
	return !start.IsZero() && e.now.Sub(start) >= wait+e.takeoverDelay()
}

// attemptReason returns why an attempt should begin now, or noReason.
func (e *Elector) attemptReason() reason {
	switch {
	case e.due(e.lostSince, e.initialWait()), e.due(e.isolatedSince, e.bounds.LostAfter):
		return primaryLost
	case e.due(e.unresolvedSince, e.bounds.StuckAfter):
		return termUnresolved
	case e.due(e.handOverSince, e.bounds.HandOverWait), e.due(e.handOverSince, e.bounds.ProbeEvery) && e.replicaCaughtUp():
		return primaryLeaving
	}
	return noReason
}

// initialWait returns the extra wait before the first attempt of an instance
// that has not seen a primary yet, since it has measured no silence either.
func (e *Elector) initialWait() time.Duration {
	if e.primary == "" {
		return e.bounds.LostAfter
	}
	return 0
}

// reason is why a change of primary is attempted.
type reason int

// The reasons of an attempt.
const (
	noReason reason = iota
	primaryLost
	termUnresolved
	primaryLeaving
)

// eventKind returns the kind of event that records the reason.
func (r reason) eventKind() event.Kind {
	switch r {
	case termUnresolved:
		return SealedTermStuck
	case primaryLeaving:
		return HandOverBegun
	}
	return PrimaryLost
}

func (e *Elector) formatTerm(term ident.Term) string {
	return fmt.Sprintf("term %d.%x", term.Counter(), int64(term)&0xfffff)
}
