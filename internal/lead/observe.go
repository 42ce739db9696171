package lead

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// This file applies what endpoints and other instances have shown: terms,
// acknowledged commits, answers and their absence.

// recordAcked records the position of an acknowledged commit. Acknowledged
// commits are never dropped, so the position counts in all later terms.
func (el *Elector) recordAcked(now time.Time, position ident.LogPosition) {
	if position.Position > el.acked.Position {
		el.acked = position
	}
	el.recordTerm(now, position.Term)
}

// recordTerm records that a term has begun. It settles a pending promotion,
// unless a copy of it may still arrive: the term may have begun by another one.
func (el *Elector) recordTerm(now time.Time, t ident.Term) {
	if t <= el.newestTerm {
		return
	}
	if el.newestTerm != 0 {
		el.failing.switchedAt, el.failing.switching = now, false
	}
	el.newestTerm = t
	if !el.promotion.copyMayArrive(now) {
		el.clearPromotion()
	}
}

func (el *Elector) primaryProof(now time.Time, m PrimaryProof) {
	el.recordTerm(now, m.Term)
	if m.Wrote {
		el.recordAcked(now, m.Position)
	}
	if m.Term < el.term {
		return
	}
	changed := m.Endpoint != el.primary || m.Term > el.term
	el.provedAt = now
	el.primary, el.term = m.Endpoint, m.Term
	if el.state == Steady && !changed || el.state == Sealing || el.state == Switching {
		return
	}
	if el.state == Doubting && !changed && !m.Wrote {
		return // it is the primary, but may be isolated from its replicas
	}
	if el.state == Promoting && m.Endpoint != el.target {
		return
	}
	el.setState(now, Steady, "it proved that it is the primary")
}

func (el *Elector) endpointFailure(now time.Time, m EndpointFailure) {
	if m.Kind == FailsCalls || m.Kind == ReplicasLag {
		el.primaryFailing(now, m)
		return
	}
	if m.Endpoint != el.primary || el.state != Steady || now.Sub(el.steadySince) < recoveryGrace && m.Kind != NotPrimary {
		return
	}
	if m.Kind == NotPrimary {
		if s := el.servers[m.Endpoint]; s != nil {
			s.IsPrimary = false
		}
		el.setState(now, Searching, "it refused a request as a replica")
		el.adoptListedPrimary(now)
		return
	}
	el.setState(now, Doubting, "it did not answer")
	el.emit(AskPeers{Endpoint: el.primary})
}

func (el *Elector) probeResult(now time.Time, m ProbeResult) {
	s := el.servers[m.Endpoint]
	if s == nil {
		return
	}
	if m.Failed {
		s.failedAt = now
		el.endpointFailure(now, EndpointFailure{Endpoint: m.Endpoint, Kind: Unanswered})
		return
	}
	if m.Refused {
		s.refusedAt = now
		el.probeRefused(now, m.Endpoint)
		return
	}
	s.lastResult, s.answeredAt = m, now
	el.recordTerm(now, max(m.Term, m.Received.Term))
	if m.Sealed {
		s.sealedTerm, s.sealedAt = m.SealedTerm, m.SentAt
	}
	if !m.IsPrimary {
		if m.Endpoint == el.primary && (el.state == Doubting || el.state == Steady) {
			el.setState(now, Searching, "it reports that it is a replica")
		}
		return
	}
	if m.Endpoint == el.primary {
		el.provedAt = now
	}
	replacesDoubted := el.state == Doubting && m.Endpoint != el.primary
	if m.Term > el.term && (el.state == Sealing || replacesDoubted) {
		el.primary, el.term = m.Endpoint, m.Term
		el.settleLatePromotion()
		if !el.mustFinishPromotion(now) {
			el.setState(now, Steady, "it is the primary of a later term")
		}
		return
	}
	if el.state == Searching && m.Term >= el.term || el.state == Promoting && m.Endpoint == el.target {
		if el.state == Promoting {
			el.promotedAt = now
		}
		el.primary, el.term = m.Endpoint, m.Term
		el.setState(now, Steady, "it reports that it is the primary")
		return
	}
	if el.state == Doubting && m.Endpoint == el.primary && !el.replicationStalled(now) {
		if el.unreplicated.Zero() {
			el.setState(now, Steady, "it answers again")
		}
	}
}

// probeRefused applies that an endpoint is too busy to answer. A primary that is
// only overloaded is not replaced, unless its replicas may receive nothing from
// it.
func (el *Elector) probeRefused(now time.Time, id ident.Endpoint) {
	if id == el.primary && el.state == Doubting && el.unreplicated.Zero() {
		el.setState(now, Steady, "it is busy")
	}
}

// replicationStalled reports whether the primary has had a position for
// replicationTimeout that no replica has received.
func (el *Elector) replicationStalled(now time.Time) bool {
	primary := el.servers[el.primary]
	if primary == nil || primary.lastResult.Received.Zero() {
		return false
	}
	if el.unreplicated.Zero() {
		if el.replicaHolds(primary.lastResult.Received) {
			return false
		}
		el.unreplicated, el.unreplicatedSince = primary.lastResult.Received, now
		return false
	}
	if el.replicaHolds(el.unreplicated) {
		el.unreplicated = ident.LogPosition{}
		return false
	}
	return now.Sub(el.unreplicatedSince) > replicationTimeout
}

func (el *Elector) replicaHolds(position ident.LogPosition) bool {
	for id, s := range el.sortedServers() {
		if id != el.primary && s.lastResult.Received.Covers(position) {
			return true
		}
	}
	return false
}

func (el *Elector) peerOpinion(now time.Time, m PeerOpinion) {
	el.recordTerm(now, m.Term)
	if el.state != Doubting || m.Endpoint != el.primary || !m.Reached || !m.IsPrimary {
		return
	}
	el.peerReaches = true
}
