package sched

import (
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

const (
	// minProofInterval is the minimum distance between two stored proofs.
	minProofInterval = 50 * time.Millisecond
	// maxProofs is the number of stored proofs. Together they cover several
	// seconds.
	maxProofs = 128
	// floorMargin is the part of a route's lag bound that is reserved for the
	// time between the scheduling decision and the read.
	floorMargin = 250 * time.Millisecond
)

// floorProof states that every commit acknowledged before asOf lies at or below
// position.
type floorProof struct {
	asOf     time.Time
	position ident.LogPosition
}

// floorTracker stores proofs of the primary's log position, oldest first. A
// read with a lag bound uses the oldest proof within the bound, because most
// replicas already hold that position.
type floorTracker struct{ proofs []floorProof }

// record stores a position that the primary reported in an exchange that began
// at asOf. A new term invalidates older proofs, because their positions may lie
// beyond what the new primary kept.
func (f *floorTracker) record(asOf time.Time, position ident.LogPosition) {
	if position.Zero() {
		return
	}
	n := len(f.proofs)
	if n > 0 && position.Term < f.proofs[n-1].position.Term {
		return
	}
	if n > 0 && position.Term > f.proofs[n-1].position.Term {
		f.proofs = f.proofs[:0]
		n = 0
	}
	if n > 0 && asOf.Sub(f.proofs[n-1].asOf) < minProofInterval {
		return
	}
	if n == maxProofs {
		f.proofs = append(f.proofs[:0], f.proofs[1:]...)
	}
	f.proofs = append(f.proofs, floorProof{asOf: asOf, position: position})
}

// floor returns the lowest position that satisfies maxLag and the age of its
// proof. The result is false if no proof is recent enough.
func (f *floorTracker) floor(now time.Time, maxLag time.Duration) (ident.LogPosition, time.Duration, bool) {
	oldest := now.Add(floorMargin - maxLag)
	i, _ := slices.BinarySearchFunc(f.proofs, oldest, func(p floorProof, t time.Time) int { return p.asOf.Compare(t) })
	if i == len(f.proofs) {
		return ident.LogPosition{}, 0, false
	}
	p := f.proofs[i]
	return p.position, now.Sub(p.asOf), true
}
