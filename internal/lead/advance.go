package lead

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/marjoramrudder/marjoramrudder/pkg/ident"
)

// advance does what time and the latest message allow.
func (k *Elector) advance(now time.Time) {
	k.forgetGone(now)
	k.fitness(now)
	k.bar(now)
	if !k.home && !k.owes(now) {
		k.retire(now)
		return
	}
	k.claim(now)
	switch k.state {
	case Searching:
		k.probeAll(now)
		k.replaceMissing(now)
	case Steady:
		k.watch(now)
	case Doubting:
		k.doubt(now)
	case Sealing:
		k.seal(now)
	case Promoting:
		k.promote(now)
	case Switching:
		k.switchOver(now)
	}
}

func (k *Elector) forgetGone(now time.Time) {
	for id, s := range k.all() {
		if !s.gone.IsZero() && now.Sub(s.gone) > goneTime {
			delete(k.servers, id)
		}
	}
}

// claim keeps the right to promote ready, before there is trouble.
func (k *Elector) claim(now time.Time) {
	if k.epoch != 0 || now.Sub(k.claimed) < claimPause || now.Sub(k.became) < settleTime {
		return
	}
	k.claimed = now
	k.emit(AcquireEpoch{})
}

func (k *Elector) fitness(now time.Time) {
	if !k.unfit.IsZero() && now.Sub(k.unfit) > unfitTime {
		k.unfit = time.Time{}
		k.emit(PrimaryUnreachable{})
	}
}

// probeAll asks every endpoint that was not asked lately.
func (k *Elector) probeAll(now time.Time) {
	for _, s := range k.all() {
		k.probe(now, s, probeInterval)
	}
}

// probe asks an endpoint that may be known, unless it was asked lately.
func (k *Elector) probe(now time.Time, s *server, every time.Duration) {
	if s != nil && now.Sub(s.asked) >= every {
		s.asked = now
		k.emit(Probe{Endpoint: s.ID})
	}
}

// confirmed reports whether a replica has just confirmed a seal at the term, and
// seals it otherwise, unless it was asked lately.
func (k *Elector) confirmed(now time.Time, s *server, term ident.Term) bool {
	if s.confirms(now, term) {
		return true
	}
	if now.Sub(s.asked) >= probeInterval {
		s.asked = now
		k.emit(Seal{Endpoint: s.ID, Term: term})
	}
	return false
}

// replaceMissing promotes a replica when no endpoint says that it leads.
func (k *Elector) replaceMissing(now time.Time) {
	if now.Sub(k.since) < 2*deathTime || k.heardSince(k.since) == 0 {
		return
	}
	if l := k.servers[k.leader]; l != nil && l.heard.After(l.failed) && l.report.IsPrimary {
		return
	}
	k.enter(now, Sealing, "no endpoint leads")
}

func (k *Elector) heardSince(t time.Time) int {
	n := 0
	for _, s := range k.all() {
		if s.heardSince(t) {
			n++
		}
	}
	return n
}

// watch begins the replacement of a primary that is leaving or gone.
func (k *Elector) watch(now time.Time) {
	s := k.servers[k.leader]
	switch {
	case s == nil || !s.gone.IsZero():
		k.enter(now, Doubting, "it left the directory")
		k.emit(AskPeers{Endpoint: k.leader})
	case s.Draining && k.successor() != nil && k.epoch != 0:
		k.target, k.sent, k.allAt = "", time.Time{}, time.Time{}
		k.enter(now, Switching, "it is leaving")
	case now.Sub(k.proved) > quietTime:
		k.probe(now, s, probeInterval)
	}
}

// doubt waits for the primary, its replicas and the other instances.
func (k *Elector) doubt(now time.Time) {
	k.probeAll(now)
	l := k.servers[k.leader]
	answered := l != nil && l.heardSince(k.since)
	if answered && k.stuck(now) {
		k.replaceStuck(now)
		return
	}
	if answered || now.Sub(k.since) < deathTime {
		return
	}
	if k.alone {
		k.unfit = now
		k.emit(PrimaryUnreachable{Unreachable: true})
		k.enter(now, Searching, "only this instance does not reach it")
		return
	}
	k.enter(now, Sealing, "nobody reaches it")
}

// replaceStuck replaces a primary that no replica receives from, if enough
// replicas answer; until then no write is sent to it.
func (k *Elector) replaceStuck(now time.Time) {
	replicas := 0
	for id, s := range k.all() {
		if id != k.leader && s.heardSince(k.since) {
			replicas++
		}
	}
	if replicas >= k.quorum() && now.Sub(k.promotedAt) > holdTime {
		k.enter(now, Sealing, "no replica receives from it")
		return
	}
	if !k.noWrites {
		k.noWrites = true
		k.emit(StateChanged{State: k.state, Endpoint: k.leader, Term: k.term, Reason: "no replica receives from it, writes are refused"})
		k.emit(PrimaryChanged{Endpoint: k.leader, Usable: true, NoWrites: true, ExpectedAt: now.Add(stuckTime)})
	}
}

// seal stops the replicas and names the most advanced one. The primary is asked
// as well: it may lead a later term, which seals have to lie above.
func (k *Elector) seal(now time.Time) {
	term := k.sealTerm()
	heard := 0
	for id, s := range k.all() {
		if id == k.leader {
			k.probe(now, s, probeInterval)
			continue
		}
		if k.confirmed(now, s, term) {
			heard++
		}
	}
	if k.rivalled(now) {
		return
	}
	if heard < k.quorum() || k.epoch == 0 {
		k.yield(now, heard)
		return
	}
	target := k.furthest(now, term)
	if target == nil {
		return
	}
	k.target, k.sent = target.ID, time.Time{}
	k.enter(now, Promoting, "enough replicas are sealed")
	k.promote(now)
}

// yield leaves the group to another instance when too few replicas answer
// here.
func (k *Elector) yield(now time.Time, heard int) {
	if now.Sub(k.since) < sealLimit || !k.unfit.IsZero() {
		return
	}
	k.unfit = now
	k.emit(PrimaryUnreachable{Unreachable: true})
	k.emit(StateChanged{State: k.state, Endpoint: k.leader, Term: k.term, Reason: fmt.Sprintf("%d of %d replicas answer, epoch %d", heard, k.quorum(), k.epoch)})
}

// sealTerm is the term after the newest that was seen. A higher one would keep
// replicas sealed after the promotion to that very term.
func (k *Elector) sealTerm() ident.Term { return k.newest + 1 }

// heardSince reports whether the server has answered since a time.
func (s *server) heardSince(t time.Time) bool { return !s.heard.Before(t) }

// confirms reports whether a replica has just confirmed a seal.
func (s *server) confirms(now time.Time, term ident.Term) bool {
	return s.sealed >= term && !s.report.IsPrimary && now.Sub(s.sealedAt) < sealTime
}

// quorum is how many sealed replicas hold every acknowledged commit between
// them. Replicas that have left the directory count until others take their
// place, or for goneTime.
func (k *Elector) quorum() int {
	replicas := 0
	for id := range k.all() {
		if id != k.leader {
			replicas++
		}
	}
	return max(1, replicas-k.sync+1)
}

// sealed reports whether the seals that a promotion rests on have just been
// confirmed: those of enough replicas, or of all but the target.
func (k *Elector) sealed(now time.Time) bool {
	term, confirmed, others := k.sealTerm(), 0, true
	for id, s := range k.all() {
		switch {
		case id == k.leader:
		case s.confirms(now, term):
			confirmed++
		case id != k.target:
			others = false
		}
	}
	return confirmed >= k.quorum() || others
}

// furthest returns the sealed replica that has received most; among equals one
// that stays. One that lacks a commit known to be acknowledged will not do: the
// replica that held it may have become the primary, and be gone.
func (k *Elector) furthest(now time.Time, term ident.Term) *server {
	var all []*server
	for id, s := range k.all() {
		if id != k.leader && s.confirms(now, term) && s.report.Received.Position >= k.acked.Position && !s.report.Received.Zero() {
			all = append(all, s)
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b *server) int {
		return cmp.Or(
			compareMarks(b.report.Received, a.report.Received),
			compareBool(a.Draining, b.Draining),
			compareBool(a.ID == k.refused, b.ID == k.refused),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return all[0]
}

func compareMarks(a, b ident.LogPosition) int {
	return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Position, b.Position))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// successor returns the replica that a leaving primary hands over to.
func (k *Elector) successor() *server {
	var best *server
	for id, s := range k.all() {
		if id == k.leader || s.Draining || !s.gone.IsZero() {
			continue
		}
		if best == nil || compareMarks(s.report.Received, best.report.Received) > 0 ||
			compareMarks(s.report.Received, best.report.Received) == 0 && id < best.ID {
			best = s
		}
	}
	return best
}

// switchOver replaces a primary that still serves: all replicas but the
// successor are sealed, so that every later acknowledgement comes from the
// successor, and the successor has caught up with what came before.
func (k *Elector) switchOver(now time.Time) {
	if k.target == "" {
		s := k.successor()
		if s == nil {
			k.enter(now, Steady, "no successor")
			return
		}
		k.target = s.ID
	}
	target := k.servers[k.target]
	if target == nil || target.Draining || now.Sub(k.since) > promoteLimit {
		k.enter(now, Doubting, "the successor is not ready")
		return
	}
	if !k.othersSealed(now) {
		k.allAt = time.Time{}
		return
	}
	if k.allAt.IsZero() {
		k.allAt = now
	}
	k.probe(now, target, urgentInterval)
	leader := k.servers[k.leader]
	k.probe(now, leader, urgentInterval)
	if leader == nil || !k.caughtUp(leader, target) || k.epoch == 0 || k.rivalled(now) {
		return
	}
	k.enter(now, Promoting, "the successor holds all that was acknowledged")
	k.sent = time.Time{}
	k.promote(now)
}

// othersSealed seals every replica but the successor and reports whether all
// have answered. One that is away may be back and receive at any moment.
func (k *Elector) othersSealed(now time.Time) bool {
	term, all := k.sealTerm(), true
	for id, s := range k.all() {
		if id != k.leader && id != k.target && !k.confirmed(now, s, term) {
			all = false
		}
	}
	return all
}

// caughtUp reports whether the successor holds what the primary showed after
// the others were sealed.
func (k *Elector) caughtUp(leader, target *server) bool {
	return !leader.report.Asked.Before(k.allAt) && !target.report.Asked.Before(k.allAt) &&
		!leader.report.Received.Zero() && target.report.Received.Covers(leader.report.Received)
}
