package lead

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// A promotion is pending from the moment Promote is sent until its effect is
// known: it may take effect immediately, seconds later, or never. This file
// handles the pending promotions of this instance and of its peers.

// awaitPromotion sends the Promote command and waits until the target is the
// primary.
func (el *Elector) awaitPromotion(now time.Time) {
	if el.targetEvacuated() {
		el.abandonTarget(now)
		return
	}
	if now.Sub(el.stateSince) > promotionTimeout {
		el.setState(now, Sealing, "the promotion timed out")
		return
	}
	if el.pendingTarget != "" && el.pendingTarget != el.target && el.epoch != 0 {
		el.epoch, el.epochRequestedAt = 0, now
		el.emit(AcquireEpoch{})
	}
	if el.promoteSentAt.IsZero() && el.epoch != 0 && !el.sealsValid(now) {
		el.setState(now, Sealing, "the seals have expired")
		return
	}
	if el.promoteSentAt.IsZero() && el.epoch != 0 {
		assert.That(el.target != "", "lead promotion has a target", "state %s", el.state)
		if !el.promotionPending(now) {
			el.unsealedTerm = 0
		}
		el.promoteSentAt, el.pendingSince, el.accepted = now, now, false
		el.pendingTarget, el.termAtPromote = el.target, el.newestTerm
		el.emit(Promote{Endpoint: el.target, Epoch: el.epoch})
		el.emit(BroadcastProgress{})
	}
	el.probe(now, el.servers[el.target], urgentProbeInterval)
}

func (el *Elector) promotionResult(now time.Time, m Promoted) {
	switch m.Result {
	case Accepted:
		el.accepted, el.acceptedTarget = true, m.Endpoint
		if !el.answerMissing {
			el.pendingTarget = ""
		}
	case NoAnswer:
		el.answerMissing, el.lateTarget, el.lateUntil = true, m.Endpoint, now.Add(latePromotionLimit)
	case Refused:
		if !now.Before(el.lateUntil) { // no earlier copy may arrive late
			el.clearPromotion()
		}
	}
	if m.Endpoint != el.target || el.state != Promoting && el.state != Switching {
		return
	}
	switch m.Result {
	case Refused:
		el.epoch, el.epochRequestedAt = 0, time.Time{}
		el.refusedTarget = m.Endpoint
		el.promoteSentAt = time.Time{}
		el.setState(now, el.afterRefusal(), "the promotion was refused")
	case NoAnswer:
		el.promoteSentAt = time.Time{} // the same request is repeated
	}
}

// mustFinishPromotion reports whether a promotion that this instance requested
// may still take effect without having been accepted. The instance then
// continues until it has an answer, even if another instance owns the group by
// now: the new owner doesn't know of the promotion, and the seals that the
// promotion depends on expire.
func (el *Elector) mustFinishPromotion(now time.Time) bool {
	return !el.accepted && el.promotionPending(now)
}

// promotionPending reports whether a promotion that this instance requested may
// still change the primary.
func (el *Elector) promotionPending(now time.Time) bool {
	if el.pendingSince.IsZero() {
		return false
	}
	limit := latePromotionLimit
	if el.accepted && !now.Before(el.lateUntil) {
		limit = promotionTimeout // no earlier copy can still take effect
	}
	return now.Sub(el.pendingSince) < limit
}

// settleLatePromotion ends the wait for a Promote without an answer once its
// target is the primary of the newest term.
func (el *Elector) settleLatePromotion() {
	if !el.lateUntil.IsZero() && el.primary == el.lateTarget && el.term == el.newestTerm {
		el.clearPromotion()
	}
}

// clearPromotion records that no promotion of this instance is pending any
// more.
func (el *Elector) clearPromotion() {
	el.lateUntil = time.Time{}
	if !el.pendingSince.IsZero() {
		el.pendingSince, el.accepted = time.Time{}, false
		el.emit(BroadcastProgress{})
	}
}

// Progress returns the progress of the group for the other instances.
func (el *Elector) Progress(now time.Time) PeerProgress {
	return PeerProgress{Acked: el.acked, Term: el.newestTerm, PromotionPending: el.promotionPending(now)}
}

// peerProgress applies the progress that another instance reported.
func (el *Elector) peerProgress(now time.Time, m PeerProgress) {
	el.recordAcked(now, m.Acked)
	el.recordTerm(now, m.Term)
	switch {
	case m.PromotionPending && (m.Term == el.newestTerm || m.From == el.peerPromoter):
		el.peerPromoter, el.peerPromoterUntil = m.From, now.Add(progressValidity)
	case m.From == el.peerPromoter:
		el.peerPromoter = ""
	}
}

// peerPromotionPending reports whether a promotion of another instance may
// still take effect. Such a promotion removes the seals that a promotion of
// this instance would depend on, and drops the commits that the present primary
// acknowledges in the meantime.
func (el *Elector) peerPromotionPending(now time.Time) bool {
	return el.peerPromoter != "" && now.Before(el.peerPromoterUntil)
}

// sealLost records that a replica started anew and lost its seal.
func (el *Elector) sealLost(now time.Time, s *server) {
	if s.sealedTerm >= el.sealTerm() {
		el.markUnsealed(now)
	}
	s.sealedTerm = 0
}

// markUnsealed records that a replica receives without the seal that a pending
// promotion depends on.
func (el *Elector) markUnsealed(now time.Time) {
	if el.promotionPending(now) {
		el.unsealedTerm = el.newestTerm
	}
}

// sealsBroken reports whether a promotion of this instance is pending whose
// target may lack commits that the present primary acknowledges.
func (el *Elector) sealsBroken(now time.Time) bool {
	return el.unsealedTerm != 0 && el.unsealedTerm == el.newestTerm && el.promotionPending(now)
}

// CommitUncertain reports whether a commit that the primary of a term has
// acknowledged may be dropped, because a promotion that may lack it is pending
// or has taken effect.
func (el *Elector) CommitUncertain(now time.Time, t ident.Term) bool {
	if t < el.newestTerm {
		return t <= el.unsealedTerm
	}
	return t == el.newestTerm && (el.sealsBroken(now) || el.peerPromotionPending(now) || el.overtaken(now))
}

// writesContested reports whether a pending promotion may drop commits of the
// present primary. During a planned switch the seals make sure that it does
// not.
func (el *Elector) writesContested(now time.Time) bool {
	return el.peerPromotionPending(now) || el.sealsBroken(now) || el.overtaken(now) || el.state != Promoting && el.mustFinishPromotion(now)
}

// overtaken reports whether a promotion of this instance was accepted and may
// still take effect, although a later term has begun by another promotion. The
// seals of the accepted one do not prevent commits of that term from being
// acknowledged, so it may drop them.
func (el *Elector) overtaken(now time.Time) bool {
	return el.accepted && el.promotionPending(now) && el.newestTerm > el.termAtPromote && el.primary != el.acceptedTarget
}

// updateWrites refuses writes to the present primary while a pending promotion
// may drop them.
func (el *Elector) updateWrites(now time.Time) {
	contested := el.writesContested(now)
	switching := el.state == Promoting && el.unusableSince.IsZero()
	if (el.state == Steady || el.state == Switching) && el.noWrites && !contested {
		el.noWrites = false
		el.emit(PrimaryChanged{Endpoint: el.primary, Usable: true})
	}
	if (el.state == Steady || el.state == Doubting || el.state == Switching || switching) && !el.noWrites && contested {
		el.noWrites = true
		el.emit(StateChanged{State: el.state, Endpoint: el.primary, Term: el.term, Reason: "its replacement is pending, writes are refused"})
		el.emit(PrimaryChanged{Endpoint: el.primary, Usable: true, NoWrites: true, ExpectedAt: now.Add(usualPromotionTime)})
	}
}
