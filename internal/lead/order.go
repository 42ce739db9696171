package lead

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
)

// An order is a Promote that was sent and may still be carried out: at once,
// seconds later, or never. This file holds what an instance owes for its own
// orders, and what it leaves alone for those of others.

// promote names the target and waits until it leads.
func (k *Elector) promote(now time.Time) {
	if now.Sub(k.since) > promoteLimit {
		k.enter(now, Sealing, "the promotion took too long")
		return
	}
	if k.pending != "" && k.pending != k.target && k.epoch != 0 {
		k.epoch, k.claimed = 0, now
		k.emit(AcquireEpoch{})
	}
	if k.sent.IsZero() && k.epoch != 0 && !k.sealed(now) {
		k.enter(now, Sealing, "the seals are too old")
		return
	}
	if k.sent.IsZero() && k.epoch != 0 {
		assert.That(k.target != "", "lead promotion has a target", "state %s", k.state)
		k.sent, k.ordered, k.answered = now, now, false
		k.pending = k.target
		k.emit(Promote{Endpoint: k.target, Epoch: k.epoch})
		k.emit(BroadcastProgress{})
	}
	k.probe(now, k.servers[k.target], urgentInterval)
}

func (k *Elector) promoted(now time.Time, m Promoted) {
	switch m.Result {
	case Accepted:
		k.answered = true
		if !k.unsure {
			k.pending = ""
		}
	case NoAnswer:
		k.unsure = true
	case Refused:
		k.settle()
	}
	if m.Endpoint != k.target || k.state != Promoting && k.state != Switching {
		return
	}
	switch m.Result {
	case Refused:
		k.epoch, k.claimed = 0, time.Time{}
		k.refused = m.Endpoint
		k.sent = time.Time{}
		k.enter(now, Sealing, "the promotion was refused")
	case NoAnswer:
		k.sent = time.Time{} // the same call is repeated
	}
}

// owes reports whether a promotion that was ordered here may still be carried
// out. The instance then goes on until it has an answer, also when another one
// serves the group by now: the other knows nothing of the order, and the seals
// that it rests on may end.
func (k *Elector) owes(now time.Time) bool {
	return !k.answered && k.ordering(now)
}

// ordering reports whether a promotion that was ordered here may still change
// the primary.
func (k *Elector) ordering(now time.Time) bool {
	limit := lateTime
	if k.answered {
		limit = promoteLimit
	}
	return !k.ordered.IsZero() && now.Sub(k.ordered) < limit
}

// settle notes that no promotion ordered here is open any more.
func (k *Elector) settle() {
	if !k.ordered.IsZero() {
		k.ordered, k.answered = time.Time{}, false
		k.emit(BroadcastProgress{})
	}
}

// Progress returns what the other instances need to know.
func (k *Elector) Progress(now time.Time) PeerProgress {
	return PeerProgress{Acked: k.acked, Term: k.newest, PromotionPending: k.ordering(now)}
}

// news takes what another instance knows.
func (k *Elector) news(now time.Time, m PeerProgress) {
	k.learnAcked(m.Acked)
	k.learnTerm(m.Term)
	switch {
	case m.PromotionPending && m.Term == k.newest:
		k.rival, k.rivalEnd = m.From, now.Add(newsTime)
	case m.From == k.rival:
		k.rival = ""
	}
}

// rivalled reports whether a promotion that another instance ordered may still
// be carried out. It takes away the seals that one ordered here would rest on,
// and drops what the present primary acknowledges meanwhile.
func (k *Elector) rivalled(now time.Time) bool {
	return k.rival != "" && now.Before(k.rivalEnd)
}

// bar refuses writes to the present primary while a promotion that was ordered
// may yet drop them.
func (k *Elector) bar(now time.Time) {
	contested := k.rivalled(now) || k.owes(now)
	if (k.state == Steady || k.state == Switching) && k.noWrites && !contested {
		k.noWrites = false
		k.emit(PrimaryChanged{Endpoint: k.leader, Usable: true})
	}
	if (k.state == Steady || k.state == Doubting || k.state == Switching) && !k.noWrites && contested {
		k.noWrites = true
		k.emit(StateChanged{State: k.state, Endpoint: k.leader, Term: k.term, Reason: "its replacement was ordered, writes are refused"})
		k.emit(PrimaryChanged{Endpoint: k.leader, Usable: true, NoWrites: true, ExpectedAt: now.Add(promoteTime)})
	}
}
