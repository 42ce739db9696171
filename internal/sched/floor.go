package sched

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// floorStep is the least distance between two kept proofs.
	floorStep = 50 * time.Millisecond
	// floorKept is how many proofs are kept: several seconds at floorStep.
	floorKept = 128
	// floorMargin is the part of a route's lag bound that is left to the way
	// between this decision and the read.
	floorMargin = 250 * time.Millisecond
)

// proof says that every commit acknowledged before asOf lies at or below mark.
type proof struct {
	asOf time.Time
	mark ident.LogPosition
}

// floors keeps proofs of the primary's log position, oldest first. A read that
// may lag by some time needs the oldest proof that is young enough, so that
// most replicas already hold it.
type floors struct{ proofs []proof }

// learn takes a position that the primary of its term showed in an exchange
// that began at asOf. A new term makes older proofs void: their positions may
// lie beyond what the new primary kept.
func (f *floors) learn(asOf time.Time, mark ident.LogPosition) {
	if mark.Zero() {
		return
	}
	n := len(f.proofs)
	if n > 0 && mark.Term < f.proofs[n-1].mark.Term {
		return
	}
	if n > 0 && mark.Term > f.proofs[n-1].mark.Term {
		f.proofs = f.proofs[:0]
		n = 0
	}
	if n > 0 && asOf.Sub(f.proofs[n-1].asOf) < floorStep {
		return
	}
	if n == floorKept {
		f.proofs = append(f.proofs[:0], f.proofs[1:]...)
	}
	f.proofs = append(f.proofs, proof{asOf: asOf, mark: mark})
}

// floor returns the least demanding position that satisfies maxLag, with the
// age of its proof.
func (f *floors) floor(now time.Time, maxLag time.Duration) (ident.LogPosition, time.Duration, bool) {
	oldest := now.Add(floorMargin - maxLag)
	for _, p := range f.proofs {
		if !p.asOf.Before(oldest) {
			return p.mark, now.Sub(p.asOf), true
		}
	}
	return ident.LogPosition{}, 0, false
}
