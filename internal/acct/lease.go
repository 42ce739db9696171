package acct

import (
	"time"

	"github.com/marjoramrudder/marjoramrudder/internal/assert"
	"github.com/marjoramrudder/marjoramrudder/internal/store"
)

// read takes the rows of one read of the store.
func (q *Quota) read(m LeasesRead, now time.Time) {
	q.reading = false
	q.lastRead = now
	for _, r := range m.Rows {
		l := q.ledger(r.Key.Account)
		s := l.share(r.Key, now)
		if m.Began.Before(s.written) {
			continue // the read may have missed our own write
		}
		q.observe(l, s, r, now)
	}
	for _, a := range q.order {
		q.confirm(q.ledgers[a], m.Began, now)
	}
}

// observe takes the present state of a row.
func (q *Quota) observe(l *ledger, s *share, row store.Lease, now time.Time) {
	if sameRow(row, s.row) {
		return
	}
	a, ours := s.find(row)
	wasMine := s.mine()
	s.row = row
	s.seen = now
	s.forget()
	switch {
	case ours && row.Holder == q.self:
		s.row = a.fresh
		s.sent = a.sent
		if !wasMine {
			q.adopt(l, s, now)
			return
		}
		q.extend(l, s, now)
	case wasMine:
		q.drop(l, s, now)
		if !ours {
			q.do(Record{Kind: LeaseLost, Account: l.account, Peer: row.Holder})
		}
	}
}

// extend sets the end of a held lease: the earliest by any state in which its
// row may be, each counted from before its write was sent.
func (q *Quota) extend(l *ledger, s *share, now time.Time) {
	end := q.safeUntil(s.row, s.sent)
	s.eachVersion(func(row store.Lease, sent time.Time) {
		assert.That(!sent.After(now), "LeaseFromFuture", "part %d", s.key.Part)
		end = earlier(end, q.safeUntil(row, sent))
	})
	s.end = end
	s.bucket.end.Store(q.limiter.at(end))
	if s.lapsed && now.Before(end) {
		s.lapsed = false
		q.touch(l)
	}
}

// adopt starts to hold a part, closed until it is confirmed.
func (q *Quota) adopt(l *ledger, s *share, now time.Time) {
	s.bucket = l.bucket(s)
	s.adopted = now
	s.confirmed = false
	s.lapsed = false
	s.leaving = false
	s.loans = nil
	q.extend(l, s, now)
	if q.stopping || !l.current(s) {
		q.leave(l, s, now)
		return
	}
	q.readSoon(now)
}

// confirm opens adopted parts after a read that began later and shows no part
// of another cut in use. Whoever claims writes first and reads then, so of two
// instances that claim by different cuts at least one sees the other.
func (q *Quota) confirm(l *ledger, began, now time.Time) {
	alone := l.clear(now)
	newer := l.newer(q.version, now)
	for _, s := range l.shares {
		if !s.mine() || s.leaving {
			continue
		}
		if newer {
			q.leave(l, s, now)
			continue
		}
		if !alone || s.confirmed || began.Before(s.adopted) {
			continue
		}
		s.confirmed = true
		s.bucket.open(0, q.limiter.at(now))
		q.touch(l)
		q.do(Record{Kind: LeaseTaken, Account: l.account})
	}
}

// leave stops spending from a part, to release it once its loans have ended.
func (q *Quota) leave(l *ledger, s *share, now time.Time) {
	s.leaving = true
	s.bucket.close(q.limiter.at(now))
	q.touch(l)
}

// drop forgets a part that this instance no longer holds.
func (q *Quota) drop(l *ledger, s *share, now time.Time) {
	s.bucket.close(q.limiter.at(now))
	s.bucket = nil
	s.loans = nil
	s.leaving = false
	s.confirmed = false
	q.touch(l)
}

// keepLeases renews, releases and claims the parts of one account.
func (q *Quota) keepLeases(l *ledger, now time.Time) {
	for _, s := range l.shares {
		if s.mine() {
			s.endLoans(now, q.limiter.at(now))
			q.keepHeld(l, s, now)
			continue
		}
		if q.mayClaim(l, s, now) {
			q.write(l, s, q.claimed(l, s, now), now)
		}
	}
	q.move(l, now)
}

func (q *Quota) keepHeld(l *ledger, s *share, now time.Time) {
	if !s.lapsed && !now.Before(s.end) {
		s.lapsed = true
		q.touch(l)
		q.do(Record{Kind: LeaseLapsed, Account: l.account})
	}
	if s.pending != 0 || now.Before(s.retry) || s.doubtful(q.lastRead) {
		return
	}
	if s.leaving {
		if len(s.loans) == 0 {
			q.write(l, s, q.released(l, s, now), now)
		}
		return
	}
	if now.Sub(s.sent) >= q.timing.Renew || q.witnessFails(l, s, now) {
		q.write(l, s, q.renewed(l, s, now), now)
	}
}

func (q *Quota) mayClaim(l *ledger, s *share, now time.Time) bool {
	if q.stopping || !l.current(s) || q.lastRead.IsZero() {
		return false
	}
	if s.pending != 0 || now.Before(s.retry) || s.doubtful(q.lastRead) {
		return false
	}
	if s.row.Holder != "" && s.row.Witness == q.self && !now.Before(q.witnessFree(s)) {
		return !l.newer(q.version, now)
	}
	turn := l.placement.turn(indexOf(s.key.Part), q.self)
	at := s.free().Add(time.Duration(turn) * q.timing.ClaimStep)
	return !now.Before(at) && !l.newer(q.version, now)
}

// move gives up a part when this instance holds more than an even share and
// another one is preferred for it. Parts are never taken from a holder.
func (q *Quota) move(l *ledger, now time.Time) {
	if q.stopping || l.held() <= l.placement.most || l.placement.most == 0 {
		return
	}
	if now.Sub(q.liveFrom) < q.timing.MoveAfter || now.Sub(l.moved) < q.timing.MoveAfter {
		return
	}
	if now.Sub(q.lastRead) > 2*q.timing.Poll {
		return // nobody could take it
	}
	for _, s := range l.shares {
		if s.usable(now) && l.current(s) && l.placement.turn(indexOf(s.key.Part), q.self) > 0 {
			l.moved = now
			q.leave(l, s, now)
			return
		}
	}
}

func (q *Quota) claimed(l *ledger, s *share, now time.Time) store.Lease {
	f := q.renewed(l, s, now)
	f.Epoch++
	return f
}

func (q *Quota) renewed(l *ledger, s *share, now time.Time) store.Lease {
	return store.Lease{
		Key:      s.key,
		Holder:   q.self,
		Epoch:    s.row.Epoch,
		Length:   q.timing.Lease,
		Renewal:  q.random.Uint64() | 1,
		Document: q.version,
		Witness:  q.chooseWitness(l, s, now),
	}
}

func (q *Quota) released(l *ledger, s *share, now time.Time) store.Lease {
	f := q.renewed(l, s, now)
	f.Holder, f.Witness = "", ""
	return f
}

// write sends a swap. The lease that it may give counts from now, before it
// is sent.
func (q *Quota) write(l *ledger, s *share, fresh store.Lease, now time.Time) {
	s.attempts = append(s.attempts, attempt{fresh: fresh, old: s.row.Renewal, sent: now})
	s.pending = fresh.Renewal
	if s.mine() {
		q.extend(l, s, now)
	}
	q.do(SwapLease{Old: s.row, Fresh: fresh})
}

func (q *Quota) swapped(m SwapDone, now time.Time) {
	l := q.ledger(m.Fresh.Key.Account)
	s := l.share(m.Fresh.Key, now)
	if s.pending == m.Fresh.Renewal {
		s.pending = 0
	}
	if m.Result != SwapOK {
		s.retry = now.Add(q.jitter(q.timing.Retry))
		q.readSoon(now)
		return
	}
	if _, ours := s.find(m.Fresh); !ours {
		return // a later state of the row was seen meanwhile
	}
	s.written = now
	q.observe(l, s, m.Fresh, now)
	if m.Fresh.Holder == "" {
		q.do(Record{Kind: LeaseReleased, Account: l.account})
	}
}
