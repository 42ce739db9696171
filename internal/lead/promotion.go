package lead

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// A promotion is pending from the moment Promote is sent until its effect is
// known: it may take effect immediately, seconds later, or never. This file
// handles the pending promotions of this instance and of its peers.

// promotion is what this instance knows of its latest promotion and of earlier
// ones that may still take effect.
type promotion struct {
	sentAt time.Time // time of the latest Promote, zero if it has to be sent
	failed bool      // the latest Promote got no answer, so it has to be repeated
	// pendingTarget is the target of a Promote with the present epoch that may
	// still take effect. Promoting another target requires a new epoch.
	// answerMissing is set once a Promote with this epoch got no answer,
	// because a copy of it may arrive late.
	pendingTarget ident.Endpoint
	answerMissing bool
	// lateUntil is until when a Promote of lateTarget without an answer may take
	// effect.
	lateUntil  time.Time
	lateTarget ident.Endpoint
	// pendingSince is when a Promote was sent that may still take effect,
	// because no later term has been seen. accepted is set once the platform
	// accepted it.
	pendingSince time.Time
	accepted     bool
	// newestTerm is the newest term when the pending Promote was sent, and
	// acceptedTarget its target once it is accepted.
	newestTerm     ident.Term
	acceptedTarget ident.Endpoint
	// unsealedTerm is the term in which a replica lost the seal that a pending
	// promotion depends on, so that the promotion may drop commits of the term.
	unsealedTerm ident.Term
}

// pending reports whether the promotion may still change the primary.
func (p *promotion) pending(now time.Time) bool {
	if p.pendingSince.IsZero() {
		return false
	}
	limit := latePromotionLimit
	if p.accepted && !p.copyMayArrive(now) {
		limit = promotionTimeout // no earlier copy can still take effect
	}
	return now.Sub(p.pendingSince) < limit
}

// resend makes the next Promote be sent without delay.
func (p *promotion) resend() { p.sentAt, p.failed = time.Time{}, false }

// copyMayArrive reports whether an earlier copy without an answer may still take
// effect.
func (p *promotion) copyMayArrive(now time.Time) bool { return now.Before(p.lateUntil) }

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
	if el.promotion.failed && now.Sub(el.promotion.sentAt) >= promotionRetryPause {
		el.promotion.resend()
	}
	if el.promotion.pendingTarget != "" && el.promotion.pendingTarget != el.target && el.epoch != 0 {
		el.epoch, el.epochRequestedAt = 0, now
		el.emit(AcquireEpoch{Servers: el.knownServers()})
	}
	if el.promotion.sentAt.IsZero() && el.epoch != 0 && !el.sealsValid(now) {
		el.setState(now, Sealing, "the seals have expired")
		return
	}
	if el.promotion.sentAt.IsZero() && el.epoch != 0 {
		assert.That(el.target != "", "lead promotion has a target", "state %s", el.state)
		if !el.promotion.pending(now) {
			el.promotion.unsealedTerm = 0
		}
		el.promotion.sentAt, el.promotion.pendingSince, el.promotion.accepted = now, now, false
		el.promotion.pendingTarget, el.promotion.newestTerm = el.target, el.newestTerm
		el.emit(Promote{Endpoint: el.target, Epoch: el.epoch})
		el.emit(BroadcastProgress{})
	}
	el.probe(now, el.servers[el.target], urgentProbeInterval)
}

func (el *Elector) promotionResult(now time.Time, m Promoted) {
	switch m.Result {
	case Accepted:
		el.promotion.accepted, el.promotion.acceptedTarget = true, m.Endpoint
		if !el.promotion.answerMissing {
			el.promotion.pendingTarget = ""
		}
	case NoAnswer:
		el.promotion.answerMissing, el.promotion.lateTarget, el.promotion.lateUntil = true, m.Endpoint, now.Add(latePromotionLimit)
	case Refused:
		if !el.promotion.copyMayArrive(now) {
			el.clearPromotion()
		}
	}
	if m.Endpoint != el.target || el.state != Promoting && el.state != Switching {
		return
	}
	switch m.Result {
	case Refused:
		el.dropEpoch()
		el.refusedTarget = m.Endpoint
		el.promotion.resend()
		el.setState(now, el.afterRefusal(), "the promotion was refused")
	case NoAnswer:
		el.promotion.failed = true
	}
}

// mustFinishPromotion reports whether a promotion that this instance requested
// may still take effect without having been accepted. The instance then
// continues until it has an answer, even if another instance owns the group by
// now: the new owner doesn't know of the promotion, and the seals that the
// promotion depends on expire.
func (el *Elector) mustFinishPromotion(now time.Time) bool {
	return !el.promotion.accepted && el.promotion.pending(now)
}

// settleLatePromotion ends the wait for a Promote without an answer once its
// target is the primary of the newest term.
func (el *Elector) settleLatePromotion() {
	if !el.promotion.lateUntil.IsZero() && el.primary == el.promotion.lateTarget && el.term == el.newestTerm {
		el.clearPromotion()
	}
}

// clearPromotion records that no promotion of this instance is pending any
// more.
func (el *Elector) clearPromotion() {
	el.promotion.lateUntil = time.Time{}
	if !el.promotion.pendingSince.IsZero() {
		el.promotion.pendingSince, el.promotion.accepted = time.Time{}, false
		el.emit(BroadcastProgress{})
	}
}

// Progress returns the progress of the group for the other instances.
func (el *Elector) Progress(now time.Time) PeerProgress {
	return PeerProgress{Acked: el.acked, Term: el.newestTerm, PromotionPending: el.promotion.pending(now)}
}

// peerProgress applies the progress that another instance reported.
func (el *Elector) peerProgress(now time.Time, m PeerProgress) {
	el.recordAcked(now, m.Acked)
	el.recordTerm(now, m.Term)
	el.recordPromotingPeer(now, m)
	switch {
	case m.PromotionPending && (m.Term == el.newestTerm || m.From == el.peerPromoter):
		el.peerPromoter, el.peerPromoterUntil = m.From, now.Add(progressValidity)
	case m.From == el.peerPromoter:
		el.peerPromoter = ""
	}
}

// recordPromotingPeer records whether another instance has a pending promotion. A
// promotion that begins there has a newer epoch than the one that this instance
// holds, and a copy of it may arrive after a later promotion of this instance. Only
// an epoch that is newer still fences it off.
func (el *Elector) recordPromotingPeer(now time.Time, m PeerProgress) {
	if !m.PromotionPending {
		delete(el.promotingPeers, m.From)
		return
	}
	reportedAt, known := el.promotingPeers[m.From]
	el.promotingPeers[m.From] = now
	if known && now.Sub(reportedAt) <= progressValidity {
		return
	}
	el.peerPromotedAt = now
	el.dropEpoch()
}

// epochAcquired stores an acquired epoch, unless another instance may have acquired
// a newer one since it was requested, and takes in what the group's record says.
func (el *Elector) epochAcquired(now time.Time, m EpochAcquired) {
	if m.Epoch != 0 {
		el.addRecorded(now, m)
	}
	if m.SentAt.Before(el.peerPromotedAt) {
		return
	}
	el.epoch, el.promotion.pendingTarget, el.promotion.answerMissing = m.Epoch, "", false
}

// epochOutdated gives up an epoch that another instance has superseded, unless a
// promotion with it has to be finished.
func (el *Elector) epochOutdated(now time.Time, m EpochOutdated) {
	if m.Epoch == el.epoch && !el.mustFinishPromotion(now) {
		el.dropEpoch()
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
	if el.promotion.pending(now) {
		el.promotion.unsealedTerm = el.newestTerm
	}
}

// sealsBroken reports whether a promotion of this instance is pending whose
// target may lack commits that the present primary acknowledges.
func (el *Elector) sealsBroken(now time.Time) bool {
	return el.promotion.unsealedTerm != 0 && el.promotion.unsealedTerm == el.newestTerm && el.promotion.pending(now)
}

// CommitUncertain reports whether a commit that the primary of a term has
// acknowledged may be dropped, because a promotion that may lack it is pending
// or has taken effect.
func (el *Elector) CommitUncertain(now time.Time, t ident.Term) bool {
	if t < el.newestTerm {
		return t <= el.promotion.unsealedTerm
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
	return el.promotion.accepted && el.promotion.pending(now) && el.newestTerm > el.promotion.newestTerm && el.primary != el.promotion.acceptedTarget
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
