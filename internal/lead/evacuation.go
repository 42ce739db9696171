package lead

import "time"

// leaving reports whether the endpoint is about to be out of use: it drains, or
// its data centre is evacuated. It is not chosen as the successor of a primary
// that still serves.
func (e Endpoint) leaving() bool { return e.Draining || e.Evacuated }

// leavingReason returns why the endpoint is replaced as the primary.
func (e Endpoint) leavingReason() string {
	if e.Evacuated {
		return "its data centre is evacuated"
	}
	return "it is draining"
}

// targetEvacuated reports whether the target of a planned switch is in an evacuated
// data centre and its promotion was not requested yet.
func (el *Elector) targetEvacuated() bool {
	s := el.servers[el.target]
	return s != nil && s.Evacuated && el.unusableSince.IsZero() && el.promotion.sentAt.IsZero() && el.promotion.pendingTarget != el.target
}

// abandonTarget starts a planned switch again with another target.
func (el *Elector) abandonTarget(now time.Time) {
	el.clearTarget()
	el.setState(now, Switching, "the data centre of the successor is evacuated")
}

// targetCutOff reports whether the target of a planned switch lacks commits that
// it can't receive, because it was sealed for an earlier target. Only a promotion
// removes the seal, so this also holds after the evacuations are withdrawn.
func (el *Elector) targetCutOff(primary, target *server) bool {
	return target.sealedTerm >= el.sealTerm() &&
		!primary.lastResult.SentAt.Before(el.othersSealedAt) && !target.lastResult.SentAt.Before(el.othersSealedAt) &&
		!target.lastResult.Received.Covers(primary.lastResult.Received)
}
