package lead

import "time"

// This file replaces a primary that still serves: it drains, is evacuated or
// serves badly.

// successor returns the replica that takes over from a primary that still
// answers: the most advanced one that is neither draining nor evacuated nor
// departed nor unfit.
func (el *Elector) successor() *server {
	var best *server
	for id, s := range el.sortedServers() {
		if id == el.primary || s.leaving() || !s.departedAt.IsZero() || el.unfit(id) {
			continue
		}
		if best == nil || comparePositions(s.lastResult.Received, best.lastResult.Received) > 0 ||
			comparePositions(s.lastResult.Received, best.lastResult.Received) == 0 && id < best.ID {
			best = s
		}
	}
	return best
}

// clearTarget makes a planned switch choose its successor and seal the others anew.
func (el *Elector) clearTarget() {
	el.target, el.othersSealedAt = "", time.Time{}
	el.promotion.resend()
}

// switchOver replaces a primary that is still serving. First all replicas
// except the successor are sealed, so that every later acknowledgement comes
// from the successor. Then the successor has to catch up with the earlier
// commits.
func (el *Elector) switchOver(now time.Time) {
	if el.target == "" {
		s := el.successor()
		if s == nil {
			el.setState(now, Steady, "no replica can take over")
			return
		}
		el.target = s.ID
	}
	if el.targetEvacuated() {
		el.abandonTarget(now)
		return
	}
	target := el.servers[el.target]
	if target == nil || target.leaving() || now.Sub(el.stateSince) > promotionTimeout {
		el.setState(now, Doubting, "the successor is not ready")
		return
	}
	if !el.ensureOthersSealed(now) {
		el.othersSealedAt = time.Time{}
		return
	}
	if el.othersSealedAt.IsZero() {
		el.othersSealedAt = now
	}
	el.probe(now, target, urgentProbeInterval)
	primary := el.servers[el.primary]
	el.probe(now, primary, urgentProbeInterval)
	if primary != nil && el.targetCutOff(primary, target) {
		el.setState(now, Sealing, "the successor is sealed and lacks commits")
		return
	}
	if primary == nil || !el.caughtUp(primary, target) || el.epoch == 0 || el.peerPromotionPending(now) {
		return
	}
	el.setState(now, Promoting, "the successor holds all acknowledged commits")
	el.promotion.resend()
	el.awaitPromotion(now)
}

// ensureOthersSealed seals every replica except the successor and reports
// whether all of them have confirmed. Unreachable replicas count as well,
// because they may return and receive at any time.
func (el *Elector) ensureOthersSealed(now time.Time) bool {
	term, all := el.sealTerm(), true
	for id, s := range el.sortedServers() {
		if id != el.primary && id != el.target && !el.ensureSealed(now, s, term) {
			all = false
		}
	}
	return all
}

// replicaSealed reports whether a replica was sealed above the newest term. In a
// group whose primary stays, such seals are left from a switch that was given up:
// these replicas receive nothing until the next promotion.
func (el *Elector) replicaSealed() bool {
	for id, s := range el.sortedServers() {
		if id != el.primary && s.sealedTerm >= el.sealTerm() {
			return true
		}
	}
	return false
}

// caughtUp reports whether the successor holds the position that the primary
// reported after the other replicas were sealed.
func (el *Elector) caughtUp(primary, target *server) bool {
	return !primary.lastResult.SentAt.Before(el.othersSealedAt) && !target.lastResult.SentAt.Before(el.othersSealedAt) &&
		!primary.lastResult.Received.Zero() && target.lastResult.Received.Covers(primary.lastResult.Received)
}
