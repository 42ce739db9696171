package group

import (
	"fmt"
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/event"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// judge notes since when the primary is lost, a sealed term is stuck, or the
// primary is to hand over.
func (w *Elector) judge() {
	since(&w.lostSince, w.lost(), w.now)
	since(&w.cutSince, w.cutOff(), w.now)
	since(&w.stuckSince, w.rules.unstick && w.sealedAbove(), w.now)
	since(&w.leaveSince, w.primaryLeaves(), w.now)
}

// since keeps the instant from which a condition has held without a break.
func since(start *time.Time, holds bool, now time.Time) {
	if !holds {
		*start = time.Time{}
		return
	}
	if start.IsZero() {
		*start = now
	}
}

// lost reports whether the primary is lost to this instance and to a majority
// of the group's servers. A cut-off instance finds the servers silent or
// still hearing their primary, and promotes nobody.
func (w *Elector) lost() bool {
	if w.healthy() {
		return false
	}
	if !w.rules.askReplicas {
		return true
	}
	return w.votes() >= w.majority()
}

// cutOff reports whether a majority of the group's servers does not hear the
// primary, so that it can confirm nothing, even if it answers this instance.
func (w *Elector) cutOff() bool { return w.votes() >= w.majority() }

// healthy reports whether the primary works as far as this instance can tell.
func (w *Elector) healthy() bool {
	p := w.find(w.primary)
	if p == nil {
		return false
	}
	if w.now.Sub(w.adoptedAt) < w.bounds.LostAfter {
		return true
	}
	return p.leads(w.term) && !p.missed(w.now, &w.bounds)
}

// votes counts the servers that lately said that they have no primary.
func (w *Elector) votes() int {
	count := 0
	for _, m := range w.members {
		if m.fresh(w.now, &w.bounds) && w.misses(m) {
			count++
		}
	}
	return count
}

// misses reports whether the endpoint's answer shows that it does not hear
// the primary of the current term.
func (w *Elector) misses(m *member) bool {
	s := &m.status
	switch {
	case s.Term < w.term:
		return true
	case s.Role == PrimaryRole:
		return s.Sealed > w.term
	}
	return s.PrimaryHeard >= w.unheard()
}

// unheard is the silence that makes a replica miss the primary.
func (w *Elector) unheard() time.Duration {
	if p := w.find(w.primary); p != nil && p.refuses(&w.bounds) {
		return w.bounds.RefusedUnheard
	}
	return w.bounds.Unheard
}

// sealedAbove reports whether a server refuses the current term, since some
// instance sealed a higher one.
func (w *Elector) sealedAbove() bool {
	for _, m := range w.members {
		if m.fresh(w.now, &w.bounds) && m.status.Sealed > w.term {
			return true
		}
	}
	return false
}

// primaryLeaves reports whether the primary is leaving and another server
// could take over.
func (w *Elector) primaryLeaves() bool {
	p := w.find(w.primary)
	if p == nil || !p.leaving {
		return false
	}
	for _, m := range w.members {
		if m != p && !m.leaving && m.fresh(w.now, &w.bounds) {
			return true
		}
	}
	return false
}

// caughtUp reports whether a server that stays holds all that the primary
// had when both were last seen.
func (w *Elector) caughtUp() bool {
	p := w.find(w.primary)
	for _, m := range w.members {
		if m != p && !m.leaving && m.fresh(w.now, &w.bounds) && m.status.Last.Covers(p.status.Last) {
			return true
		}
	}
	return false
}

// turn returns how long this instance leaves the first move to those before
// it in rank.
func (w *Elector) turn() time.Duration { return time.Duration(w.place) * w.bounds.TakeoverStep }

// due reports whether a condition has held for wait, after this instance's
// turn.
func (w *Elector) due(start time.Time, wait time.Duration) bool {
	return !start.IsZero() && w.now.Sub(start) >= wait+w.turn()
}

// cause returns why an attempt should begin now, or noReason.
func (w *Elector) cause() reason {
	switch {
	case w.due(w.lostSince, w.settle()), w.due(w.cutSince, w.bounds.LostAfter):
		return primaryLost
	case w.due(w.stuckSince, w.bounds.StuckAfter):
		return termStuck
	case w.due(w.leaveSince, w.bounds.HandOverWait), w.due(w.leaveSince, w.bounds.ProbeEvery) && w.caughtUp():
		return primaryLeaving
	}
	return noReason
}

// settle is the extra wait before the first attempt of an instance that has
// not met a primary yet, for whom no time of silence has run.
func (w *Elector) settle() time.Duration {
	if w.primary == "" {
		return w.bounds.LostAfter
	}
	return 0
}

// reason says why a change of primary is attempted.
type reason int

// The reasons of an attempt.
const (
	noReason reason = iota
	primaryLost
	termStuck
	primaryLeaving
)

// kind returns the event that tells the reason.
func (r reason) kind() event.Kind {
	switch r {
	case termStuck:
		return SealedTermStuck
	case primaryLeaving:
		return HandOverBegun
	}
	return PrimaryLost
}

func (w *Elector) note(term ident.Term) string {
	return fmt.Sprintf("term %d.%x", term.Counter(), int64(term)&0xfffff)
}
