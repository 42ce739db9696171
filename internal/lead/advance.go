package lead

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// advance runs the transitions that the current time and the latest message
// allow.
func (el *Elector) advance(now time.Time) {
	el.forgetDeparted(now)
	el.expireUnreachable(now)
	el.updateWrites(now)
	el.renewExpectation(now)
	if !el.owner && !el.mustFinishPromotion(now) {
		el.standDown(now)
		return
	}
	el.requestEpoch(now)
	el.updateRecord(now)
	switch el.state {
	case Searching:
		el.probeAll(now)
		el.replaceMissing(now)
	case Steady:
		el.monitorPrimary(now)
	case Doubting:
		el.investigate(now)
	case Sealing:
		el.sealReplicas(now)
	case Promoting:
		el.awaitPromotion(now)
	case Switching:
		el.switchOver(now)
	}
}

// forgetDeparted drops the endpoints that left the directory more than
// departedRetention ago.
func (el *Elector) forgetDeparted(now time.Time) {
	for id, s := range el.sortedServers() {
		if !s.departedAt.IsZero() && now.Sub(s.departedAt) > departedRetention {
			el.forget(id)
		}
	}
}

// requestEpoch keeps an epoch ready, so that a failover doesn't have to wait
// for one.
func (el *Elector) requestEpoch(now time.Time) {
	if el.epoch != 0 || now.Sub(el.epochRequestedAt) < epochRetryPause || now.Sub(el.ownerChangedAt) < ownershipSettleTime {
		return
	}
	el.epochRequestedAt = now
	el.emit(AcquireEpoch{Servers: el.knownServers()})
}

// expireUnreachable withdraws this instance's report that it can't reach the
// primary after unreachableTime.
func (el *Elector) expireUnreachable(now time.Time) {
	if !el.unreachableSince.IsZero() && now.Sub(el.unreachableSince) > unreachableTime {
		el.unreachableSince = time.Time{}
		el.emit(PrimaryUnreachable{})
	}
}

// probeAll probes every endpoint that was not probed within probeInterval.
func (el *Elector) probeAll(now time.Time) {
	for _, s := range el.sortedServers() {
		el.probe(now, s, probeInterval)
	}
}

// probe probes an endpoint unless it was probed within the given interval. A
// nil server is ignored.
func (el *Elector) probe(now time.Time, s *server, interval time.Duration) {
	if s != nil && now.Sub(s.probedAt) >= interval {
		s.probedAt = now
		el.emit(Probe{Endpoint: s.ID})
	}
}

// ensureSealed reports whether a replica has a valid seal at the term. If it
// has none, it is sealed again, at most once per probeInterval.
func (el *Elector) ensureSealed(now time.Time, s *server, term ident.Term) bool {
	if s.hasSeal(now, term) {
		return true
	}
	if now.Sub(s.probedAt) >= probeInterval {
		s.probedAt = now
		el.emit(Seal{Endpoint: s.ID, Term: term})
	}
	return false
}

// replaceMissing starts the promotion of a replica if no endpoint reports that
// it is the primary, and enough of them answer. Seals would keep replicas from
// receiving, so none is requested before. The primary may be the next endpoint to
// be listed.
func (el *Elector) replaceMissing(now time.Time) {
	if now.Sub(el.stateSince) < 2*primaryTimeout || now.Sub(el.listedAt) < 2*primaryTimeout {
		return
	}
	primary := el.servers[el.primary]
	switch {
	case primary == nil:
	case primary.answeredAt.After(primary.failedAt) && primary.lastResult.IsPrimary:
		return
	case now.Sub(primary.refusedAt) < primaryTimeout:
		return // it lives, and is too busy to tell its role
	}
	answered := el.countReplicasSince(el.stateSince)
	if answered < el.quorum() || !el.serversKnown(now) {
		el.reportUnreachable(now, answered) // the primary may be among the missing ones
		return
	}
	el.setState(now, Sealing, "no endpoint is the primary")
}

// countReplicasSince returns how many servers other than the primary have answered
// since t.
func (el *Elector) countReplicasSince(t time.Time) int {
	n := 0
	for id, s := range el.sortedServers() {
		if id != el.primary && s.answeredSince(t) {
			n++
		}
	}
	return n
}

// monitorPrimary starts the replacement of a primary that is draining or evacuated,
// has left the directory, serves badly, or has replicas that are still sealed for an
// earlier attempt. An idle primary is probed.
func (el *Elector) monitorPrimary(now time.Time) {
	s := el.servers[el.primary]
	switch {
	case s == nil || !s.departedAt.IsZero():
		el.setState(now, Doubting, "it left the directory")
		el.emit(AskPeers{Endpoint: el.primary})
	case s.leaving() && el.successor() != nil && el.epoch != 0:
		el.startSwitch(now, s.leavingReason(), false)
	case el.mustReplaceFailing(now):
		el.startSwitch(now, el.failing.reason(), true)
	case !el.failing.switching && el.epoch != 0 && el.replicaSealed():
		el.setState(now, Sealing, "replicas are sealed for a switch that was given up")
	case now.Sub(el.provedAt) > idleProbeDelay:
		el.probe(now, s, probeInterval)
	}
}

// investigate waits for answers from the suspected primary, its replicas and
// the other instances.
func (el *Elector) investigate(now time.Time) {
	el.probeAll(now)
	primary := el.servers[el.primary]
	answered := primary != nil && primary.answeredSince(el.stateSince)
	if answered && el.replicationStalled(now) {
		el.replaceStalled(now)
	}
	if el.state != Doubting {
		return
	}
	if answered && now.Sub(primary.answeredAt) >= primaryTimeout {
		el.peerReaches = false // the others may have reached it before it stopped
		el.setState(now, Doubting, "it has stopped answering")
		el.emit(AskPeers{Endpoint: el.primary})
		return
	}
	if answered || now.Sub(el.stateSince) < primaryTimeout {
		return
	}
	if el.peerReaches {
		el.unreachableSince = now
		el.emit(PrimaryUnreachable{Unreachable: true})
		el.setState(now, Searching, "only this instance can't reach it")
		return
	}
	el.setState(now, Sealing, "no instance reaches it")
}

// replaceStalled replaces a primary that no replica receives from, provided
// that enough replicas answer. Until then the primary is announced as unable to
// take writes.
func (el *Elector) replaceStalled(now time.Time) {
	if el.countReplicasSince(el.stateSince) >= el.quorum() && now.Sub(el.promotedAt) > promotionGrace {
		el.setState(now, Sealing, "no replica receives from it")
		return
	}
	if !el.noWrites {
		el.noWrites = true
		el.emit(StateChanged{State: el.state, Endpoint: el.primary, Term: el.term, Reason: "no replica receives from it, writes are refused"})
		el.emit(PrimaryChanged{Endpoint: el.primary, Usable: true, NoWrites: true, ExpectedAt: now.Add(replicationTimeout)})
	}
}

// sealReplicas seals the replicas and chooses the most advanced one for
// promotion. It also probes the primary, which may be in a later term: seals
// have to be above that term.
func (el *Elector) sealReplicas(now time.Time) {
	term := el.sealTerm()
	confirmed := 0
	for id, s := range el.sortedServers() {
		if id == el.primary {
			el.probe(now, s, probeInterval)
			continue
		}
		if el.ensureSealed(now, s, term) {
			confirmed++
		}
	}
	if el.peerPromotionPending(now) {
		return
	}
	if confirmed < el.quorum() || el.epoch == 0 || !el.serversKnown(now) {
		el.reportUnreachable(now, confirmed)
		return
	}
	target := el.mostAdvanced(now, term)
	if target == nil {
		return
	}
	el.target = target.ID
	el.promotion.resend()
	el.emit(PromotionDecided{Endpoint: el.target, Sealed: confirmed, Needed: el.quorum(), Servers: el.knownServers(), Recorded: el.record.servers})
	el.setState(now, Promoting, "enough replicas are sealed")
	el.awaitPromotion(now)
}

// reportUnreachable hands the group over to another instance when too few
// replicas answer this one.
func (el *Elector) reportUnreachable(now time.Time, answered int) {
	if answered == 0 && el.state == Searching || now.Sub(el.stateSince) < sealTimeout || !el.unreachableSince.IsZero() {
		return
	}
	el.unreachableSince = now
	el.emit(PrimaryUnreachable{Unreachable: true})
	el.emit(StateChanged{State: el.state, Endpoint: el.primary, Term: el.term, Reason: fmt.Sprintf("%d of %d replicas answer, epoch %d", answered, el.quorum(), el.epoch)})
}

// sealTerm returns the term after the newest known one. A higher term would
// keep the replicas sealed after the promotion to the next term.
func (el *Elector) sealTerm() ident.Term { return el.newestTerm + 1 }

// answeredSince reports whether the server has answered since t.
func (s *server) answeredSince(t time.Time) bool { return !s.answeredAt.Before(t) }

// hasSeal reports whether a replica has recently confirmed a seal at the term.
// An empty log confirms nothing: the server has started without its data.
func (s *server) hasSeal(now time.Time, term ident.Term) bool {
	return s.sealedTerm >= term && !s.lastResult.IsPrimary && !s.lastResult.Received.Zero() && now.Sub(s.sealedAt) < sealValidity
}

// quorum returns how many sealed replicas are guaranteed to hold every
// acknowledged commit between them: a commit is held by its primary and by
// SyncReplicas replicas. Servers that have left the directory, or that are only
// recorded, count until replacements are listed, or for departedRetention.
func (el *Elector) quorum() int {
	servers := len(el.servers)
	if !el.primaryCounted() {
		servers++
	}
	return max(1, servers-el.syncReplicas)
}

// sealsValid reports whether the seals that a promotion depends on are recent:
// those of a quorum, or of every replica except the target.
func (el *Elector) sealsValid(now time.Time) bool {
	term, confirmed, othersSealed := el.sealTerm(), 0, true
	for id, s := range el.sortedServers() {
		switch {
		case id == el.primary:
		case s.hasSeal(now, term):
			confirmed++
		case id != el.target:
			othersSealed = false
		}
	}
	return confirmed >= el.quorum() || othersSealed
}

// mostAdvanced returns the sealed replica that has received the most. Among
// equal ones it prefers a replica that is not evacuated, then one that is not
// draining, then one that was not refused as the target of the latest refused
// promotion. It skips replicas that lack a commit known to be acknowledged: the
// replica that held the commit may have become the primary and then disappeared.
func (el *Elector) mostAdvanced(now time.Time, term ident.Term) *server {
	var all []*server
	for id, s := range el.sortedServers() {
		if id != el.primary && s.hasSeal(now, term) && s.lastResult.Received.Position >= el.acked.Position {
			all = append(all, s)
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b *server) int {
		return cmp.Or(
			comparePositions(b.lastResult.Received, a.lastResult.Received),
			compareBool(a.Evacuated, b.Evacuated),
			compareBool(a.Draining, b.Draining),
			compareBool(a.ID == el.refusedTarget, b.ID == el.refusedTarget),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return all[0]
}

// comparePositions orders log positions by term, then by position.
func comparePositions(a, b ident.LogPosition) int {
	return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Position, b.Position))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
